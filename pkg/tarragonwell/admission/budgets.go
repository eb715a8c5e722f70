package admission

import "time"

const (
	// retryBurst bounds the retries saved up in quiet times.
	retryBurst = 10
	// retryFloor is the number of retries that a service may make before it has
	// earned any.
	retryFloor = 3
)

// RetryBudget lets a share of the calls be sent once more. The zero value has
// the floor saved up.
type RetryBudget struct {
	// Ratio is between 0 and 1.
	Ratio float64
	// Slack is the number of retries that may be made at a time beside the ratio,
	// in any span of time; 0 for the usual floor and burst.
	Slack float64
	// debt is spent less earned; at most the floor, at least minus the burst.
	debt float64
}

// Deposit takes in a first attempt.
func (b *RetryBudget) Deposit() {
	_, burst := b.bounds()
	b.debt = max(-burst, b.debt-b.Ratio)
}

// TryWithdraw takes one retry out of the budget, or returns false.
func (b *RetryBudget) TryWithdraw() bool {
	floor, _ := b.bounds()
	if b.debt+1 > floor {
		return false
	}
	b.debt++
	return true
}

// bounds returns what may be spent before anything is earned, and what may be
// saved up beyond that.
func (b *RetryBudget) bounds() (floor, burst float64) {
	if b.Slack > 0 {
		return b.Slack, 0
	}
	return retryFloor, retryBurst
}

// NestedRetries is what an attempt may pass on of the retries that came with its
// call. The call keeps one for itself, and its own retry passes on none, so the
// attempts at any depth below are at most one more than the retries that came.
func NestedRetries(left int, retry bool) int {
	if retry {
		return 0
	}
	return max(0, left-1)
}

// ProbeInterval is the time between two probes of one target by one instance,
// such that the whole fleet stays within the budget, in probes a second. It
// divides by the highest count of instances that anything names and never by
// those that can be heard, for under a partition these are too few. It returns
// 0 where no probe is allowed.
func ProbeInterval(budget float64, instancesAtMost, listed, known int) time.Duration {
	if budget <= 0 {
		return 0
	}
	instances := max(1, instancesAtMost, listed, known)
	return time.Duration(float64(instances) / budget * float64(time.Second))
}
