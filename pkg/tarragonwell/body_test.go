package tarragonwell

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"
)

// TestBodyIsReleasedByItsLastHolder guards against memory that is counted as free while an
// attempt still reads it, and against memory that is never returned because a reader is
// closed twice, as the HTTP transport may do.
func TestBodyIsReleasedByItsLastHolder(t *testing.T) {
	released := 0
	b := &Body{
		Blocks: [][]byte{
			[]byte("ab"),
			[]byte("cde"),
		},
		Size:    5,
		Release: func() { released++ },
	}
	first, second := b.NewReader(), b.NewReader()
	b.Close()
	content, err := io.ReadAll(iotest.OneByteReader(first))
	if got, want := string(content), "abcde"; got != want || err != nil {
		t.Errorf("first reader: got %q and %v, want %q", got, err, want)
	}
	_ = first.Close()
	_ = first.Close()
	if got, want := released, 0; got != want {
		t.Errorf("releases while a reader is open: got %d, want %d", got, want)
	}
	var out bytes.Buffer
	if _, err := second.WriteTo(&out); err != nil || out.String() != "abcde" {
		t.Errorf("second reader: got %q and %v", out.String(), err)
	}
	_ = second.Close()
	if got, want := released, 1; got != want {
		t.Errorf("releases: got %d, want %d", got, want)
	}
	if _, err := second.Read(make([]byte, 1)); err != io.ErrClosedPipe {
		t.Errorf("closed reader: got %v, want %v", err, io.ErrClosedPipe)
	}
}
