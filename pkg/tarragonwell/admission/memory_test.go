package admission

import "testing"

// TestPlanMemory guards against a division that lets the parts exceed the machine, or that
// leaves no room for one body of 64 MiB on the smallest machine of a deployment.
func TestPlanMemory(t *testing.T) {
	for _, total := range []int64{MinMemory, 184_000_000, 284_000_000, 536_000_000, 8 << 30} {
		p := PlanMemory(total, 0)
		if p.Account <= 1 || p.Account+stateBytes > p.SoftLimit || p.SoftLimit+outsideBytes > total {
			t.Errorf("%d bytes: got %+v", total, p)
		}
		if got, want := p.Requests+p.Heads, p.Account; got > want {
			t.Errorf("%d bytes: bodies leave %d of %d bytes for heads, want %d or more", total, p.Account-p.Requests, want, p.Heads)
		}
		if got, want := p.Requests, int64(64<<20); total >= 184_000_000 && got < want {
			t.Errorf("%d bytes: got %d for bodies, want %d or more", total, got, want)
		}
	}
	if got, want := PlanMemory(0, 1), (MemoryPlan{}); got != want {
		t.Errorf("without a limit: got %+v, want %+v", got, want)
	}
	if got := PlanMemory(MinMemory, 1<<30); got.Account <= 0 || got.Heads <= 0 {
		t.Errorf("more reserved than there is: got %+v, want no part without a limit", got)
	}
}
