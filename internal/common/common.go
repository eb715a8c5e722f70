// Package common holds what every part of an instance is handed.
package common

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"golang.org/x/sys/unix"

	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// Dependencies is handed down from the instance to its parts.
type Dependencies struct {
	Settings *settingsfile.Settings
	// Log takes lines on changes, failures and refusals.
	Log *log.Logger
	// RoutineLog takes lines on calls that go well; nil for Log.
	RoutineLog *log.Logger
	Metrics    *metrics.Set
	Audit      tarragonwell.AuditSink
	Clock      tarragonwell.Clock
	// Incarnation is the random name of this life of the process.
	Incarnation tarragonwell.Incarnation
	Started     time.Time
}

// SystemClock tells the time of the machine.
type SystemClock struct{}

// Now implements tarragonwell.Clock.
func (SystemClock) Now() time.Time {
	return time.Now()
}

// Uptime implements tarragonwell.Clock.
func (SystemClock) Uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock is part of every kernel in use; without it, suspensions of the
		// machine go unnoticed, as pauses of the process do not.
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()

// NewRandom returns a random source for one task.
func NewRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// NewLogger returns a logger of JSON lines.
func NewLogger(w io.Writer, level, instance string) (*log.Logger, error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	logger := log.NewWithOptions(w, log.Options{
		Level:           l,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Formatter:       log.JSONFormatter,
	})
	return logger.With("instance", instance), nil
}

// RoutineLogger takes lines on calls that go well.
func (c *Dependencies) RoutineLogger() *log.Logger {
	if c.RoutineLog == nil {
		return c.Log
	}
	return c.RoutineLog
}

// RecordChange records a change in the audit trail and the log.
func (c *Dependencies) RecordChange(r tarragonwell.AuditRecord) {
	r.Time = c.Clock.Now()
	r.Instance = c.Settings.Name
	c.Audit.Record(r)
	c.Log.Info(r.Event, "revision", r.Revision, "asked-by", r.AskedBy, "learnt-from", r.LearntFrom, "detail", r.Detail)
}
