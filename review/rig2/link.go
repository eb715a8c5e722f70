package rig2

import (
	"sync"
	"time"
)

// Link is the link of a machine, with a bandwidth. What is sent over it arrives in the order in
// which it was sent. It serves one direction.
type Link struct {
	// BytesPerSecond is the bandwidth.
	BytesPerSecond float64

	mu sync.Mutex
	// free is when the last bytes that were sent will have arrived.
	free time.Time
	// longest is the longest time that bytes waited for others.
	longest time.Duration
}

// Pass returns when the bytes that are sent now have arrived.
func (l *Link) Pass(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.longest = max(l.longest, l.free.Sub(now))
	l.free = l.free.Add(time.Duration(float64(n) / l.BytesPerSecond * float64(time.Second)))
	arrival := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(arrival))
}

// Longest returns the longest time that bytes have waited for others so far.
func (l *Link) Longest() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.longest
}
