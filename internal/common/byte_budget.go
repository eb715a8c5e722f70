package common

import "sync/atomic"

// noLimit is the value of ByteBudget.replaced for a budget whose limit was removed.
const noLimit = -1

// ByteBudget bounds the memory that many users reserve together. It is safe for concurrent
// use. The zero value has no limit.
type ByteBudget struct {
	// Limit is in bytes; 0 for none. It does not change while the budget is in use;
	// SetLimit replaces it.
	Limit int64
	// Parent is the budget that this one is a part of: what is reserved here is reserved
	// there too. Nil for none. It does not change while the budget is in use.
	Parent *ByteBudget
	// replaced is the limit that replaces Limit, or noLimit; 0 if none does.
	replaced atomic.Int64
	reserved atomic.Int64
	refused  atomic.Uint64
}

// SetLimit replaces the limit; 0 removes it. What is reserved beyond a lower limit stays
// reserved until it is released, and nothing is added before that.
func (b *ByteBudget) SetLimit(limit int64) {
	if limit <= 0 {
		limit = noLimit
	}
	b.replaced.Store(limit)
}

// CurrentLimit returns the limit in bytes; 0 for none.
func (b *ByteBudget) CurrentLimit() int64 {
	switch n := b.replaced.Load(); n {
	case 0:
		return b.Limit
	case noLimit:
		return 0
	default:
		return n
	}
}

// Reserve reserves n bytes and reports whether they were within the limits of this budget
// and of its parents. If not, nothing is reserved.
func (b *ByteBudget) Reserve(n int64) bool {
	if !b.add(n) {
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

// add adds n bytes if they are within the limit. Bytes beyond it are at no time part of the
// sum, so that a large reservation that is refused does not cause the refusal of a small
// one at the same time.
func (b *ByteBudget) add(n int64) bool {
	for {
		reserved := b.reserved.Load()
		if limit := b.CurrentLimit(); limit > 0 && n > limit-reserved {
			return false
		}
		if b.reserved.CompareAndSwap(reserved, reserved+n) {
			return true
		}
	}
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
