package target

import (
	"math"
	"net"
	"sync/atomic"
	"time"
)

const (
	// noisySlowdown is the factor on service times while a noisy neighbour is
	// active.
	noisySlowdown = 6
	// noisyMeanMs and undisturbedMeanMs are the mean lengths of the periods with
	// and without a noisy neighbour.
	noisyMeanMs       = 30
	undisturbedMeanMs = 120
	// coldSlowdown is the factor on service times of a cold target.
	coldSlowdown = 8
)

// noiseProcess alternates between undisturbed and noisy periods, whose lengths
// are exponentially distributed.
type noiseProcess struct {
	// until is the end of the current period.
	until time.Time
	noisy bool
}

// serviceTime draws the service time of a short call: half of the mean is
// fixed, the other half is exponentially distributed.
func (t *Target) serviceTime(b Behaviour) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := b.ServiceMs * (0.5 + 0.5*t.random.ExpFloat64())
	return ms(x * t.currentSlowdown(b))
}

// currentSlowdown returns the present factor on the service time.
func (t *Target) currentSlowdown(b Behaviour) float64 {
	f := math.Max(1, b.Slowdown)
	now := time.Now()
	if b.ColdMs > 0 && now.Sub(t.started) < ms(b.ColdMs) {
		f *= coldSlowdown
	}
	if !b.Noisy {
		return f
	}
	for now.After(t.noise.until) {
		t.noise.noisy = !t.noise.noisy
		mean := float64(undisturbedMeanMs)
		if t.noise.noisy {
			mean = noisyMeanMs
		}
		if t.noise.until.IsZero() {
			t.noise.until = now
		}
		t.noise.until = t.noise.until.Add(ms(mean * t.random.ExpFloat64()))
	}
	if t.noise.noisy {
		f *= noisySlowdown
	}
	return f
}

// limitedListener closes new connections above a limit.
type limitedListener struct {
	net.Listener
	// limit returns the maximum of open connections; 0 is no limit.
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
