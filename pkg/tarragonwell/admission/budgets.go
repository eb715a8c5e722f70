package admission

import "time"

const (
	// retryBurst is the number of unused retries that a service may accumulate.
	retryBurst = 10
	// retryAllowance is the number of retries that a service may make before any first
	// attempt has been counted.
	retryAllowance = 3
)

// RetryBudget limits retries to a share of the first attempts. The zero value
// allows retryFloor retries.
type RetryBudget struct {
	// Ratio is the number of retries per first attempt, 0 to 1.
	Ratio float64
	// Slack is the number of retries allowed in addition to the ratio over any
	// period of time; 0 selects retryFloor and retryBurst.
	Slack float64
	// netWithdrawn is the number of retries withdrawn less those deposited, between -burst
	// and floor as returned by limits.
	netWithdrawn float64
}

// Deposit records a first attempt, which adds Ratio retries to the budget.
func (b *RetryBudget) Deposit() {
	_, burst := b.limits()
	b.netWithdrawn = max(-burst, b.netWithdrawn-b.Ratio)
}

// TryWithdraw withdraws one retry. It returns false if the budget is exhausted.
func (b *RetryBudget) TryWithdraw() bool {
	floor, _ := b.limits()
	if b.netWithdrawn+1 > floor {
		return false
	}
	b.netWithdrawn++
	return true
}

// limits returns the number of retries that may be withdrawn before any deposit,
// and the number that may accumulate in addition.
func (b *RetryBudget) limits() (floor, burst float64) {
	if b.Slack > 0 {
		return b.Slack, 0
	}
	return retryAllowance, retryBurst
}

// NestedRetries returns the number of retries that an attempt passes on to nested
// calls, given the number that its call has left. The call reserves one for
// itself, and its own retry passes on none. At any depth below, the number of
// attempts therefore exceeds the number of retries by at most one.
func NestedRetries(left int, isRetry bool) int {
	if isRetry {
		return 0
	}
	return max(0, left-1)
}

// ProbeInterval returns the time between two probes of a target by one instance
// that keeps the whole fleet within the budget, in probes per second and target.
// It divides the budget by the highest known count of instances and never by the
// number of reachable ones, which is too low during a network partition. It
// returns 0 if no probes are allowed.
func ProbeInterval(budget float64, instancesAtMost, listed, known int) time.Duration {
	if budget <= 0 {
		return 0
	}
	instances := max(1, instancesAtMost, listed, known)
	return time.Duration(float64(instances) / budget * float64(time.Second))
}
