package yamldoc

import (
	"net/netip"
	"strings"
	"time"
)

// Checker reads and checks decoded fields. It gathers errors with the line of
// each field.
type Checker struct {
	Decoder *Decoder
	// Prefix is put before field names in paths.
	Prefix string
	Errs   []*FieldError
}

// Fail records an error of a field.
func (c *Checker) Fail(field, message string) {
	path := join(c.Prefix, field)
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

// Duration parses a positive duration; an empty one is the fallback.
func (c *Checker) Duration(field, text string, fallback time.Duration) time.Duration {
	if text == "" {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		c.Fail(field, "want a time with its unit, as 800ms or 2s, got \""+text+"\"")
		return fallback
	}
	if d <= 0 {
		c.Fail(field, "must be more than 0, got "+text)
		return fallback
	}
	return d
}

// Required checks that a text is there.
func (c *Checker) Required(field, text string) {
	if text == "" {
		c.Fail(field, "is missing")
	}
}

// Name checks a kebab-case name.
func (c *Checker) Name(field, text string) {
	if text == "" {
		c.Fail(field, "is missing")
		return
	}
	for _, r := range text {
		if r != '-' && (r < 'a' || r > 'z') && (r < '0' || r > '9') {
			c.Fail(field, "want small letters, digits and hyphens, got \""+text+"\"")
			return
		}
	}
}

// Address checks an ip:port.
func (c *Checker) Address(field, text string) {
	if text == "" {
		c.Fail(field, "is missing")
		return
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		c.Fail(field, "want an IP number with a port, as 127.0.0.1:8080, got \""+text+"\"")
	}
}

// Fraction checks a number between 0 and 1.
func (c *Checker) Fraction(field string, x float64) {
	if !(x >= 0 && x <= 1) {
		c.Fail(field, "must be between 0 and 1")
	}
}

// OneOf checks a word against a list; an empty word passes.
func (c *Checker) OneOf(field, text string, words ...string) {
	if text == "" {
		return
	}
	for _, w := range words {
		if w == text {
			return
		}
	}
	c.Fail(field, "want one of "+strings.Join(words, ", ")+", got \""+text+"\"")
}
