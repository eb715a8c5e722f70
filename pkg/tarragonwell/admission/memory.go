package admission

const (
	// MinMemory is the least memory for which PlanMemory leaves room for callers.
	MinMemory = 64 << 20
	// outsideBytes is what the operating system counts for the process outside the memory
	// that the runtime manages: the pages of the program file and the buffers of idle
	// sockets.
	outsideBytes = 24 << 20
	// outsideShare is a further part of the memory, as its inverse, for the socket buffers
	// that grow with the traffic to several megabytes for each large body, and for what the
	// runtime allocates beyond its soft limit until a collection ends.
	outsideShare = 8
	// stateBytes is the memory for rules, targets, peers, metrics and goroutines.
	stateBytes = 24 << 20
)

// MemoryPlan divides the memory of an instance. Sizes are in bytes; 0 means no limit.
type MemoryPlan struct {
	// SoftLimit is the size of all memory that the runtime manages above which it collects
	// garbage more often.
	SoftLimit int64
	// Account bounds what is held for callers and targets.
	Account int64
	// Requests, Heads, Responses and Connections bound the parts of Account.
	Requests    int64
	Heads       int64
	Responses   int64
	Connections int64
}

// PlanMemory divides the memory of the machine. reserved is the bound on further memory
// that the instance keeps for itself.
//
// A fifth of what is left between the instance's own state and the soft limit is garbage
// that is not yet collected: bodies are large blocks without pointers, so that a collection
// is cheap and may run often. The parts together may exceed the account, as they rarely
// reach their bounds at the same time. Bodies get four fifths of it: one of the largest size
// must fit on a small machine, and the rest stays for heads and connections, without which
// no caller can be answered. Responses get a fifth only, since those that find no room are
// streamed.
func PlanMemory(total, reserved int64) MemoryPlan {
	if total <= 0 {
		return MemoryPlan{}
	}
	soft := total - outsideBytes - total/outsideShare
	// An account of 0 bytes would have no limit.
	account := max(1, (soft-stateBytes-reserved)/5*4)
	fifth := max(1, account/5)
	return MemoryPlan{
		SoftLimit:   soft,
		Account:     account,
		Requests:    max(1, account-fifth),
		Heads:       fifth,
		Responses:   fifth,
		Connections: fifth,
	}
}
