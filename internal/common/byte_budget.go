package common

import "sync/atomic"

// ByteBudget bounds the memory that many users reserve together. It is safe for concurrent
// use. The zero value has no limit.
type ByteBudget struct {
	// Limit is in bytes; 0 for none. It does not change while the budget is in use.
	Limit    int64
	reserved atomic.Int64
}

// Reserve reserves n bytes and reports whether they were within the limit. If not, nothing
// is reserved.
func (b *ByteBudget) Reserve(n int64) bool {
	if b.reserved.Add(n) > b.Limit && b.Limit > 0 {
		b.reserved.Add(-n)
		return false
	}
	return true
}

// Release returns n bytes that were reserved.
func (b *ByteBudget) Release(n int64) {
	b.reserved.Add(-n)
}

// Reserved returns the bytes that are reserved.
func (b *ByteBudget) Reserved() int64 {
	return b.reserved.Load()
}
