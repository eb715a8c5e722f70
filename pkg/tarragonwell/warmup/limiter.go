package warmup

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// Limiter decides for one instance and one service whether a target that is warming up may
// be sent a call. The zero value has no limit and no view of the fleet. It is not safe for
// concurrent use.
type Limiter struct {
	limit Limit
	fleet fleet
	// startedAt is when the first view was set.
	startedAt time.Time
	// buckets holds the state of the targets that are or were warming up, by ID.
	buckets map[string]*bucket
}

// bucket is the state of one target.
type bucket struct {
	// next is when the next call may be sent. Buckets are empty when the limiter starts,
	// since a predecessor of this instance at the same address may just have sent a call.
	next time.Time
	// rank is the number of instances before this one in the target's rendezvous order.
	rank int
	// generation is the fleet's generation that rank is based on.
	generation uint64
}

// retryAfterStart is the retry delay that a caller is given if this instance is not a
// sender. It is long enough for the caller to reach another instance.
const retryAfterStart = time.Second

// SetLimit replaces the limit.
func (l *Limiter) SetLimit(limit Limit) {
	l.limit = limit
}

// Enabled reports whether calls are limited.
func (l *Limiter) Enabled() bool {
	return l.limit.Enabled()
}

// SetFleet replaces the view of the fleet. A view counts as outdated after maxViewAge, so
// it has to be set at least that often.
func (l *Limiter) SetFleet(now time.Time, v tarragonwell.FleetView) {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	l.fleet.set(now, v)
}

// RecordPause records that the process was paused: the view of the fleet is from before
// the pause, in which others may have become senders.
func (l *Limiter) RecordPause(now time.Time) {
	l.fleet.resettle(now)
}

// Retain forgets the targets for which keep returns false, once their buckets are full.
func (l *Limiter) Retain(now time.Time, keep func(id string) bool) {
	for id, b := range l.buckets {
		if !keep(id) && !now.Before(b.next) {
			delete(l.buckets, id)
		}
	}
}

// IsSender reports whether this instance may send calls to a target while it is warming
// up.
func (l *Limiter) IsSender(now time.Time, id, dataCenter string) bool {
	return l.senderBucket(now, id, dataCenter) != nil
}

// Available reports whether a call may be sent to the target now.
func (l *Limiter) Available(now time.Time, id, dataCenter string) bool {
	b := l.senderBucket(now, id, dataCenter)
	return b != nil && !now.Before(b.next)
}

// senderBucket returns the state of a target, or nil if this instance is not one of its
// senders.
func (l *Limiter) senderBucket(now time.Time, id, dataCenter string) *bucket {
	senders, _ := l.limit.share(l.fleet.alone())
	if senders == 0 || !l.fleet.settled(now) {
		return nil
	}
	if b := l.bucket(id, dataCenter); b.rank < senders {
		return b
	}
	return nil
}

// Take takes the token for a call that is about to be sent to the target. It must be called
// only if Available has returned true.
func (l *Limiter) Take(now time.Time, id, dataCenter string) {
	l.bucket(id, dataCenter).next = now.Add(l.interval())
}

// RetryAfter returns the time after which a call that was refused a token is more likely
// to get one, for a target that warms up until the given time.
func (l *Limiter) RetryAfter(now time.Time, id, dataCenter string, until time.Time) time.Duration {
	if b := l.senderBucket(now, id, dataCenter); b != nil {
		return min(b.next.Sub(now), until.Sub(now))
	}
	return min(retryAfterStart, until.Sub(now))
}

// interval returns the time in which a bucket is filled by one token.
func (l *Limiter) interval() time.Duration {
	_, rate := l.limit.share(l.fleet.alone())
	if rate <= 0 {
		return maxInterval
	}
	return min(maxInterval, time.Duration(float64(time.Second)/rate))
}

// maxInterval stands for the time between two calls where there is no rate. It is not
// shorter than any warm-up time.
const maxInterval = time.Hour

// bucket returns the state of a target with its current rank.
func (l *Limiter) bucket(id, dataCenter string) *bucket {
	b := l.buckets[id]
	if b == nil {
		if l.buckets == nil {
			l.buckets = map[string]*bucket{}
		}
		b = &bucket{
			next: l.startedAt.Add(l.interval()),
			rank: l.fleet.rank(id, dataCenter),
		}
		b.generation = l.fleet.generation
		l.buckets[id] = b
	}
	if b.generation != l.fleet.generation {
		b.rank = l.fleet.rank(id, dataCenter)
		b.generation = l.fleet.generation
	}
	return b
}
