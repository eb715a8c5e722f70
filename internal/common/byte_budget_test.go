package common

import "testing"

// TestByteBudgetParent guards against a part that exceeds the whole, and against bytes that
// stay reserved in one of them after the other has refused.
func TestByteBudgetParent(t *testing.T) {
	whole := &ByteBudget{
		Limit: 10,
	}
	part := &ByteBudget{
		Limit:  8,
		Parent: whole,
	}
	other := &ByteBudget{
		Parent: whole,
	}
	steps := []struct {
		name   string
		budget *ByteBudget
		bytes  int64
		want   bool
	}{
		{
			name:   "more than the part",
			budget: part,
			bytes:  9,
			want:   false,
		},
		{
			name:   "within both",
			budget: part,
			bytes:  8,
			want:   true,
		},
		{
			name:   "more than the whole",
			budget: other,
			bytes:  3,
			want:   false,
		},
		{
			name:   "the rest of the whole",
			budget: other,
			bytes:  2,
			want:   true,
		},
	}
	for _, s := range steps {
		if got := s.budget.Reserve(s.bytes); got != s.want {
			t.Errorf("%s: got %v, want %v", s.name, got, s.want)
		}
	}
	part.Release(8)
	other.Release(2)
	if got, want := whole.Reserved()+part.Reserved()+other.Reserved(), int64(0); got != want {
		t.Errorf("reserved at the end: got %d, want %d", got, want)
	}
	if got, want := other.Refused(), uint64(1); got != want {
		t.Errorf("refused: got %d, want %d", got, want)
	}
}
