package target

import (
	"strings"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// TestParseRetryAfter checks that only a number of seconds has an effect, and that its
// effect is bounded.
func TestParseRetryAfter(t *testing.T) {
	for _, test := range []struct {
		text    string
		want    time.Duration
		ignored bool
	}{
		{
			text: "",
		},
		{
			text: "0",
		},
		{
			text: "2",
			want: 2 * time.Second,
		},
		{
			text: "0.25",
			want: 250 * time.Millisecond,
		},
		{
			text:    "1e300",
			want:    tarragonwell.MaxRetryAfter,
			ignored: true,
		},
		{
			text:    "9223372036854775808",
			want:    tarragonwell.MaxRetryAfter,
			ignored: true,
		},
		{
			text:    "1e999",
			ignored: true,
		},
		{
			text:    "-1",
			ignored: true,
		},
		{
			text:    "NaN",
			ignored: true,
		},
		{
			text:    "Inf",
			ignored: true,
		},
		{
			text:    "Fri, 31 Dec 1999 23:59:59 GMT",
			ignored: true,
		},
		{
			text:    strings.Repeat("soon", 20_000),
			ignored: true,
		},
	} {
		got, ignored := ParseRetryAfter(test.text)
		if got != test.want {
			t.Errorf("%.40q: got %v, want %v", test.text, got, test.want)
		}
		if got, want := ignored != "", test.ignored; got != want {
			t.Errorf("%.40q: got ignored %v (%s), want %v", test.text, got, ignored, want)
		}
		if got, want := len(ignored), 200; got > want {
			t.Errorf("%.40q: got an explanation of %d bytes, want at most %d", test.text, got, want)
		}
	}
}
