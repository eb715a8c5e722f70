package yamldoc

import (
	"math"
	"net/netip"
	"strings"
	"time"
)

// Checker validates decoded fields, parses durations and collects errors with the line of each
// field.
type Checker struct {
	Decoder *Decoder
	// Prefix is the path of the message whose fields are checked.
	Prefix string
	// Errs holds the errors in the order in which they were found.
	Errs []*FieldError
}

// Fail adds an error for a field. Its line is that of the field, else that of
// Prefix, else the first line of the document.
func (c *Checker) Fail(field, message string) {
	path := joinPath(c.Prefix, field)
	line := c.Decoder.Line(path)
	if line == 0 {
		line = c.Decoder.Line(c.Prefix)
	}
	if line == 0 {
		line = 1 + c.Decoder.LineOffset
	}
	c.Errs = append(c.Errs, &FieldError{
		Line:    line,
		Field:   path,
		Message: message,
	})
}

// Duration parses a positive duration. It returns the fallback if the text is
// empty or invalid.
func (c *Checker) Duration(field, text string, fallback time.Duration) time.Duration {
	if text == "" {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		c.Fail(field, "want a duration with a unit, such as 800ms or 2s, got \""+text+"\"")
		return fallback
	}
	if d <= 0 {
		c.Fail(field, "must be more than 0, got "+text)
		return fallback
	}
	return d
}

// Required checks that a text is not empty.
func (c *Checker) Required(field, text string) {
	if text == "" {
		c.Fail(field, "is missing")
	}
}

// Name checks that a name is not empty and consists of lowercase letters, digits and
// hyphens.
func (c *Checker) Name(field, text string) {
	if text == "" {
		c.Fail(field, "is missing")
		return
	}
	for _, r := range text {
		if r != '-' && (r < 'a' || r > 'z') && (r < '0' || r > '9') {
			c.Fail(field, "want lowercase letters, digits and hyphens, got \""+text+"\"")
			return
		}
	}
}

// Address checks that a text has the form ip:port. An empty text fails.
func (c *Checker) Address(field, text string) {
	if text == "" {
		c.Fail(field, "is missing")
		return
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		c.Fail(field, "want an IP address with a port, such as 127.0.0.1:8080, got \""+text+"\"")
	}
}

// Fraction checks that a number is between 0 and 1.
func (c *Checker) Fraction(field string, x float64) {
	if !(x >= 0 && x <= 1) {
		c.Fail(field, "must be between 0 and 1")
	}
}

// NotNegative checks that a number is finite and at least 0.
func (c *Checker) NotNegative(field string, x float64) {
	if !(x >= 0) || math.IsInf(x, 0) {
		c.Fail(field, "must be a number of at least 0")
	}
}

// OneOf checks that a text is one of the allowed values. An empty text passes.
func (c *Checker) OneOf(field, text string, allowed ...string) {
	if text == "" {
		return
	}
	for _, a := range allowed {
		if a == text {
			return
		}
	}
	c.Fail(field, "want one of "+strings.Join(allowed, ", ")+", got \""+text+"\"")
}
