package target

import (
	"net/http"
	"reflect"
	"testing"
)

// TestForwardableHeaderLeavesCallHeader guards against an attempt that changes the header of
// its call, with which it shares the values and which other attempts send at the same time.
func TestForwardableHeaderLeavesCallHeader(t *testing.T) {
	call := http.Header{
		"Connection": {"X-Hop, Keep-Alive"},
		"X-Hop":      {"1"},
		"X-End":      {"2", "3"},
	}
	before := call.Clone()
	got := ForwardableHeader(call)
	got.Set("X-Set", "4")
	got.Set("X-End", "5")
	if !reflect.DeepEqual(call, before) {
		t.Errorf("call's header: got %v, want %v", call, before)
	}
	want := http.Header{
		"X-End": {"5"},
		"X-Set": {"4"},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("copy: got %v, want %v", got, want)
	}
}
