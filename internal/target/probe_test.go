package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// TestProbeAfterDeadlineOfCall guards against probes that fail on a kept connection because
// the deadline of the call before them is over.
func TestProbeAfterDeadlineOfCall(t *testing.T) {
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "{}")
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	reports := make(chan ProbeReport, 1)
	cl := New(Options{
		Common: &common.Dependencies{
			Clock: common.SystemClock{},
		},
		Listed: tarragonwell.ListedTarget{
			Address: server.Listener.Addr().String(),
		},
		Connections: 4,
		Report:      func(r ProbeReport) { reports <- r },
	})
	defer cl.closeIdleConnections()
	call := newCall(http.MethodGet, "", true)
	call.Deadline = time.Now().Add(time.Second)
	if err := sendAndRead(cl, call); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(call.Deadline) + time.Millisecond)
	cl.ProbeForPlacement(context.Background())
	if got := (<-reports).Err; got != nil {
		t.Errorf("got %v, want no error", got)
	}
	if got, want := connections.Load(), int64(1); got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
}
