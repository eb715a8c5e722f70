package admission

import "time"

const (
	// retryBurst is the number of unused retries that a service may accumulate.
	retryBurst = 10
	// retryAllowance is the number of retries that a service may make in excess of
	// those that its first attempts have deposited.
	retryAllowance = 3
)

// RetryBudget limits retries to a share of the first attempts. The zero value
// allows retryAllowance retries.
type RetryBudget struct {
	// Ratio is the number of retries per first attempt, 0 to 1.
	Ratio float64
	// Slack, if set, replaces retryAllowance and retryBurst: within any period at
	// most Ratio times the first attempts plus Slack retries are made. 0 selects the
	// two constants.
	Slack float64
	// netWithdrawn is the number of retries withdrawn less those deposited. It is
	// negative while unused retries have accumulated, at least -burst and at most
	// allowance, as returned by limits.
	netWithdrawn float64
}

// Deposit records a first attempt, which adds Ratio retries to the budget.
func (b *RetryBudget) Deposit() {
	_, burst := b.limits()
	b.netWithdrawn = max(-burst, b.netWithdrawn-b.Ratio)
}

// TryWithdraw withdraws one retry. It returns false if the budget is exhausted.
func (b *RetryBudget) TryWithdraw() bool {
	allowance, _ := b.limits()
	if b.netWithdrawn+1 > allowance {
		return false
	}
	b.netWithdrawn++
	return true
}

// limits returns the number of retries that may be withdrawn in excess of the
// deposits, and the number of unused retries that may accumulate.
func (b *RetryBudget) limits() (allowance, burst float64) {
	if b.Slack > 0 {
		return b.Slack, 0
	}
	return retryAllowance, retryBurst
}

// NestedRetries returns the number of retries that an attempt passes on to nested
// calls, which are calls that the target makes while it executes this one, given
// the number that its call has left. The first attempt reserves one retry for the
// instance; the retry itself passes on none. If each instance retries a call at most
// once, the number of attempts at any depth below therefore exceeds left by at most
// one.
func NestedRetries(left int, isRetry bool) int {
	if isRetry {
		return 0
	}
	return max(0, left-1)
}

// ProbeInterval returns the time between two probes of a target by one instance
// that keeps the whole fleet within the budget, in probes per second and target.
// The counts of instances are the expected maximum in the rules, the number on the
// platform's list, and the number known otherwise, such as the highest number seen
// alive at once; 0 if one is not available. ProbeInterval divides the budget by
// the highest and never by the number of reachable instances, which is too low
// during a network partition. It returns 0 if no probes are allowed.
func ProbeInterval(budget float64, instancesAtMost, listed, known int) time.Duration {
	if budget <= 0 {
		return 0
	}
	instances := max(1, instancesAtMost, listed, known)
	return time.Duration(float64(instances) / budget * float64(time.Second))
}
