package common

import "testing"

// discardWriter discards lines. The benchmark can't use io.Discard: the logger skips
// the encoding of lines for it.
type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) {
	return len(p), nil
}

// BenchmarkCallLogLine measures the cost of one log line on a call.
func BenchmarkCallLogLine(b *testing.B) {
	l, err := NewLogger(discardWriter{}, "info", "entry-1")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Info("call-placed", "call", "9c41d07be2a35f68", "attempt", 1, "kind", "idempotent-rank-2-400ms", "service", "s",
			"target", "i-44e877a9db", "hedge", false, "candidates", 27, "own-calls", 1, "occupancy", 1.5, "slowness", 1.0, "news-age-ms", 3, "late", false)
	}
}
