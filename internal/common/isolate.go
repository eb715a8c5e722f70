package common

import (
	"fmt"
	"runtime/debug"

	"github.com/rotisserie/eris"
)

// ErrPanic is wrapped by the errors of Isolate.
var ErrPanic = eris.New("panic")

// maxLoggedStackBytes bounds the part of a stack trace that is logged.
const maxLoggedStackBytes = 2 << 10

// Isolate runs work on one input, such as a message of a peer. If the work panics, it is
// given up: Isolate logs the panic and returns an error that wraps ErrPanic. The work must
// leave state that can be used, wherever it ends.
func (c *Dependencies) Isolate(name string, work func()) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = eris.Wrapf(ErrPanic, "%s: %v", name, r)
			c.logPanic(name, r)
		}
	}()
	work()
	return nil
}

// RunTask runs a task, which owns state that other tasks depend on. If it panics, RunTask
// logs the panic and calls OnTaskFailure, because the instance can't serve without it.
func (c *Dependencies) RunTask(name string, run func()) {
	if err := c.Isolate(name, run); err != nil && c.OnTaskFailure != nil {
		c.OnTaskFailure(err)
	}
}

func (c *Dependencies) logPanic(name string, value any) {
	c.Metrics.GetOrCreateCounter("tarragonwell_panics_total").Inc()
	stack := debug.Stack()
	if len(stack) > maxLoggedStackBytes {
		stack = stack[:maxLoggedStackBytes]
	}
	c.Log.Error("panic", "in", name, "error", fmt.Sprint(value), "stack", string(stack))
}
