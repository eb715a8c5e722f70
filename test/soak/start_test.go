package main

import (
	"context"
	"testing"

	"github.com/tarragonwell/tarragonwell/test/fleet"
)

// startEnvironment starts a fleet that ends with the test.
func startEnvironment(t *testing.T, seed uint64, instances, targets int) *environment {
	t.Helper()
	folder := t.TempDir()
	program, err := fleet.Build(folder, "tarragonwell", ".")
	if err != nil {
		t.Fatal(err)
	}
	e, err := newEnvironment(program, folder, seed, instances, targets)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.close)
	return e
}

// startClients starts clients. stop ends them and waits for their last requests.
func startClients(t *testing.T, e *environment, seed uint64, count int) (c *clients, stop func()) {
	t.Helper()
	c = &clients{
		environment: e,
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		c.run(ctx, seed, count)
		close(done)
	}()
	return c, func() {
		cancel()
		<-done
	}
}
