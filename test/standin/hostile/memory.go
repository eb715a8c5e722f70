package hostile

import "runtime"

// HeapBytes returns the bytes on the heap that are in use, after a garbage collection.
// Tests use it to bound the memory that a hostile response takes.
func HeapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
