package target

import (
	"math"
	"strconv"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// maxLoggedValue bounds the part of a header's value that an explanation quotes.
const maxLoggedValue = 40

// ParseRetryAfter parses the value of a target's Retry-After header: a number of
// seconds, which may have a fraction. The time is 0 if the value is not such a number,
// as for a date, and at most tarragonwell.MaxRetryAfter. In both cases, ignored explains
// why the value is not in effect as it stands.
func ParseRetryAfter(text string) (retryAfter time.Duration, ignored string) {
	if text == "" {
		return 0, ""
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, "Retry-After: want seconds, got " + quoteBounded(text)
	}
	if seconds > tarragonwell.MaxRetryAfter.Seconds() {
		return tarragonwell.MaxRetryAfter, "Retry-After: " + quoteBounded(text) + " is bounded"
	}
	return time.Duration(seconds * float64(time.Second)), ""
}

func quoteBounded(text string) string {
	if len(text) > maxLoggedValue {
		text = text[:maxLoggedValue]
	}
	return strconv.Quote(text)
}
