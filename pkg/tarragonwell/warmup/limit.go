// Package warmup limits the calls that targets receive while they are warming up. It
// decides which instances may send calls to such a target, and when. The load that it
// responds to is a burst of calls at the moment at which many targets, such as those of a
// whole data centre, have just started: each sustains a few calls a second at first.
//
// Instances share no state, so the limit is divided in advance. The first few instances in
// rendezvous order of (target, instance) are the target's senders, and each has a token
// bucket of its own. The rate of the buckets leaves headroom for more senders than
// intended, because instances that see different members choose different senders.
//
// The package does no I/O, and its functions are passed the current time.
package warmup

import (
	"time"

	"github.com/rotisserie/eris"
)

var (
	// ErrNoBound means that a rate has no effect, because there is no bound.
	ErrNoBound = eris.New("warm-up rate without a bound: calls are not limited")
	// ErrBoundTooLow means that the bound does not allow for any sender.
	ErrBoundTooLow = eris.New("warm-up bound too low for a sender: targets get no calls while they are warming up")
)

const (
	// intendedSenders is the number of senders of a target if all instances see the same
	// members: one alone may be out of service, or have no calls.
	intendedSenders = 2
	// senderHeadroom is the ratio of the senders that the limit allows for to the intended
	// ones. If each instance sees a random half of the members, there are on average twice
	// as many senders as intended, and more for some targets.
	senderHeadroom = 4
	// leastHeadroom takes its place where the bound allows for no more, and for an instance
	// that has no peers. It covers the overlap of an instance with its successor.
	leastHeadroom = 2
	// bucketSize is the size of a token bucket. It counts once for each sender, so the
	// smallest size leaves the most for the rate.
	bucketSize = 1
	// MaxSendDelay is how long after its token was taken a call may be written. Calls that
	// were granted over a second and this delay may arrive within the same second.
	MaxSendDelay = 250 * time.Millisecond
)

// Limit is the limit on the calls that a target receives while it is warming up: in any
// second at most Rate*Overshoot + Slack, from all instances together. The zero value does
// not limit calls.
type Limit struct {
	// Rate is the number of calls a second that the target sustains.
	Rate      float64
	Overshoot float64
	Slack     float64
}

// Enabled reports whether calls are limited.
func (l Limit) Enabled() bool {
	return l.Rate > 0 && l.Bound() > 0
}

// Bound returns the highest number of calls in any second; 0 if it is not set.
func (l Limit) Bound() float64 {
	if l.Overshoot <= 0 && l.Slack <= 0 {
		return 0
	}
	return l.Rate*max(0, l.Overshoot) + max(0, l.Slack)
}

// Check returns ErrNoBound or ErrBoundTooLow if the limit does not do what its rate asks
// for.
func (l Limit) Check() error {
	if l.Rate > 0 && l.Bound() == 0 {
		return ErrNoBound
	}
	if senders, _ := l.share(false); l.Enabled() && senders == 0 {
		return ErrBoundTooLow
	}
	return nil
}

// share returns the number of senders of a target and the rate of each one's bucket, in
// calls a second. Where the bound is too low for the intended number and headroom, there is
// one sender, with less headroom if necessary, or none.
func (l Limit) share(alone bool) (senders int, rate float64) {
	if alone {
		// Instances without seeds don't know of each other.
		if senders, rate = l.shareOf(1, intendedSenders*senderHeadroom); senders > 0 {
			return senders, rate
		}
	}
	if senders, rate = l.shareOf(intendedSenders, senderHeadroom); senders > 0 {
		return senders, rate
	}
	if senders, rate = l.shareOf(1, senderHeadroom); senders > 0 {
		return senders, rate
	}
	return l.shareOf(1, leastHeadroom)
}

// shareOf returns n and the rate at which headroom*n senders keep the bound, and together n
// of them keep the rate of the target. It returns zeros if there is no such rate.
func (l Limit) shareOf(n, headroom int) (senders int, rate float64) {
	perSender := l.Bound()/float64(headroom*n) - bucketSize
	rate = min(l.Rate/float64(n), perSender/(time.Second+MaxSendDelay).Seconds())
	if rate <= 0 {
		return 0, 0
	}
	return n, rate
}
