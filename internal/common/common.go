// Package common holds the dependencies that all parts of an instance share.
package common

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"golang.org/x/sys/unix"

	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// Dependencies is passed from the instance to its parts.
type Dependencies struct {
	Settings *settingsfile.Settings
	// Log receives lines on changes, failures and rejections (the urgent lines of
	// package logs).
	Log *log.Logger
	// RoutineLog receives lines on successful calls (the routine lines of package
	// logs). It defaults to Log.
	RoutineLog *log.Logger
	Metrics    *metrics.Set
	Audit      tarragonwell.AuditSink
	Clock      tarragonwell.Clock
	// Memory bounds all memory that is held for callers and targets. The budgets below are
	// its parts.
	Memory ByteBudget
	// RequestBytes bounds the bodies of the requests in flight.
	RequestBytes ByteBudget
	// HeadBytes bounds the request heads that are being read or are in flight.
	HeadBytes ByteBudget
	// ResponseBytes bounds the buffered responses of all services.
	ResponseBytes ByteBudget
	// ConnectionBytes bounds what connections take by themselves.
	ConnectionBytes ByteBudget
	// Drain is the state of a planned stop.
	Drain Drain
	// Incarnation is the random ID of this run of the process.
	Incarnation tarragonwell.Incarnation
	Started     time.Time
	// OnTaskFailure is called if a task panics. It must not block. Nil ignores it.
	OnTaskFailure func(error)
}

// SystemClock reads the clocks of the machine.
type SystemClock struct{}

// Now implements tarragonwell.Clock.
func (SystemClock) Now() time.Time {
	return time.Now()
}

// Uptime implements tarragonwell.Clock. Only differences between its results are
// meaningful.
func (SystemClock) Uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every supported kernel has this clock. Without it, suspensions of the
		// machine are not detected; pauses of the process still are.
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()

// NewRandom returns a random source for one task. It is not safe for concurrent
// use.
func NewRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// NewLogger returns a logger that writes JSON lines with the instance's name to w.
// The level is one of debug, info, warn and error.
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

// SetBudgets sets the limits of the memory budgets from the settings. It may be called again
// with other settings while the budgets are in use.
func (c *Dependencies) SetBudgets(s *settingsfile.Settings) {
	p := s.MemoryPlan()
	c.Memory.SetLimit(p.Account)
	for _, x := range c.budgetParts() {
		// The first call precedes all use.
		if x.budget.Parent == nil {
			x.budget.Parent = &c.Memory
		}
	}
	c.RequestBytes.SetLimit(lowerLimit(p.Requests, s.MaxTotalRequestBytes))
	c.HeadBytes.SetLimit(lowerLimit(p.Heads, s.MaxTotalHeadBytes))
	c.ResponseBytes.SetLimit(lowerLimit(p.Responses, s.MaxTotalResponseBytes))
	c.ConnectionBytes.SetLimit(lowerLimit(p.Connections, s.MaxConnectionBytes))
}

// lowerLimit returns the lower of two limits, of which 0 means none.
func lowerLimit(a, b int64) int64 {
	if a <= 0 || b <= 0 {
		return max(a, b)
	}
	return min(a, b)
}

// budgetPart is a part of Memory with its name in metrics.
type budgetPart struct {
	name   string
	budget *ByteBudget
}

func (c *Dependencies) budgetParts() []budgetPart {
	return []budgetPart{
		{
			name:   "requests",
			budget: &c.RequestBytes,
		},
		{
			name:   "heads",
			budget: &c.HeadBytes,
		},
		{
			name:   "responses",
			budget: &c.ResponseBytes,
		},
		{
			name:   "connections",
			budget: &c.ConnectionBytes,
		},
	}
}

// RegisterBudgets adds the metrics of the memory budgets to Metrics. The part "all" is the
// whole account.
func (c *Dependencies) RegisterBudgets() {
	parts := append(c.budgetParts(), budgetPart{
		name:   "all",
		budget: &c.Memory,
	})
	for _, x := range parts {
		for name, value := range map[string]func() float64{
			"tarragonwell_held_bytes":               func() float64 { return float64(x.budget.Reserved()) },
			"tarragonwell_held_bytes_limit":         func() float64 { return float64(x.budget.CurrentLimit()) },
			"tarragonwell_held_bytes_refused_total": func() float64 { return float64(x.budget.Refused()) },
		} {
			c.Metrics.GetOrCreateGauge(fmt.Sprintf("%s{part=%q}", name, x.name), value)
		}
	}
}

// RoutineLogger returns the logger for lines on successful calls.
func (c *Dependencies) RoutineLogger() *log.Logger {
	if c.RoutineLog == nil {
		return c.Log
	}
	return c.RoutineLog
}

// RecordChange sets the time and the instance of a record and adds it to the audit
// trail and the log.
func (c *Dependencies) RecordChange(r tarragonwell.AuditRecord) {
	r.Time = c.Clock.Now()
	r.Instance = c.Settings.Name
	c.Audit.Record(r)
	c.Log.Info(r.Event, "revision", r.Revision, "asked-by", r.AskedBy, "learnt-from", r.LearntFrom, "detail", r.Detail)
}
