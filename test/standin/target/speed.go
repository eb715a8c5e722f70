package target

import (
	"math"
	"net"
	"sync/atomic"
	"time"
)

const (
	// noisyFactor is how much slower a target is beside a noisy neighbour.
	noisyFactor = 6
	noisyMeanMs = 30
	quietMeanMs = 120
	// coldFactor is how much slower a cold target is.
	coldFactor = 8
)

// speedProcess switches between quiet and noisy at random times.
type speedProcess struct {
	until time.Time
	noisy bool
}

// serviceTime draws the time of a short call: half of the mean is fixed, the
// other half is exponential.
func (t *Target) serviceTime(b Behaviour) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := b.ServiceMs * (0.5 + 0.5*t.random.ExpFloat64())
	return ms(x * t.factor(b))
}

// factor is how much slower than its best the target is now.
func (t *Target) factor(b Behaviour) float64 {
	f := math.Max(1, b.Slowdown)
	now := time.Now()
	if b.ColdMs > 0 && now.Sub(t.started) < ms(b.ColdMs) {
		f *= coldFactor
	}
	if !b.Noisy {
		return f
	}
	for now.After(t.speed.until) {
		t.speed.noisy = !t.speed.noisy
		mean := float64(quietMeanMs)
		if t.speed.noisy {
			mean = noisyMeanMs
		}
		if t.speed.until.IsZero() {
			t.speed.until = now
		}
		t.speed.until = t.speed.until.Add(ms(mean * t.random.ExpFloat64()))
	}
	if t.speed.noisy {
		f *= noisyFactor
	}
	return f
}

// limitedListener closes connections above a limit; 0 is no limit.
type limitedListener struct {
	net.Listener
	limit func() int
	open  atomic.Int64
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if limit := l.limit(); limit > 0 && l.open.Load() >= int64(limit) {
			_ = c.Close()
			continue
		}
		l.open.Add(1)
		return &limitedConn{
			Conn:     c,
			listener: l,
		}, nil
	}
}

type limitedConn struct {
	net.Conn
	listener *limitedListener
	closed   atomic.Bool
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}
