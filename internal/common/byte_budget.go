package common

import "sync/atomic"

// ByteBudget bounds the memory that many users reserve together. It is safe for concurrent
// use. The zero value has no limit.
type ByteBudget struct {
	// Limit is in bytes; 0 for none. It does not change while the budget is in use.
	Limit int64
	// Parent is the budget that this one is a part of: what is reserved here is reserved
	// there too. Nil for none. It does not change while the budget is in use.
	Parent   *ByteBudget
	reserved atomic.Int64
	refused  atomic.Uint64
}

// Reserve reserves n bytes and reports whether they were within the limits of this budget
// and of its parents. If not, nothing is reserved.
func (b *ByteBudget) Reserve(n int64) bool {
	if b.reserved.Add(n) > b.Limit && b.Limit > 0 {
		b.reserved.Add(-n)
		b.refused.Add(1)
		return false
	}
	if b.Parent == nil || b.Parent.Reserve(n) {
		return true
	}
	b.reserved.Add(-n)
	b.refused.Add(1)
	return false
}

// Release returns n bytes that were reserved.
func (b *ByteBudget) Release(n int64) {
	b.reserved.Add(-n)
	if b.Parent != nil {
		b.Parent.Release(n)
	}
}

// Reserved returns the bytes that are reserved.
func (b *ByteBudget) Reserved() int64 {
	return b.reserved.Load()
}

// Refused returns how many reservations were refused.
func (b *ByteBudget) Refused() uint64 {
	return b.refused.Load()
}
