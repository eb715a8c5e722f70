package instance

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/peer"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/test/standin/link"
)

// successor records the operations that it takes over.
type successor struct {
	peer.OperationHolder
	taken chan int
}

// TakeOver implements peer.OperationHolder.
func (s *successor) TakeOver(_ context.Context, h tarragonwell.OperationHandOver) error {
	s.taken <- len(h.Entries)
	return nil
}

// TestLargeHandOverOverSlowLink guards against operations that are lost at a planned stop, as
// their hand-over takes longer over the successor's link than a request could take.
func TestLargeHandOverOverSlowLink(t *testing.T) {
	t.Parallel()
	const (
		bytesPerSecond = 10e6 / 8
		entries        = 16
		resultBytes    = 256 << 10
	)
	leaving, other := startFetchFixture(t, &fakeStore{}), startFetchFixture(t, &fakeStore{})
	holder := &successor{
		taken: make(chan int, handOverRetries),
	}
	server := httptest.NewUnstartedServer((&peer.Server{
		Peers:      other.peers,
		Operations: holder,
	}).Handler())
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Listener = &link.Listener{
		Listener:       server.Listener,
		BytesPerSecond: bytesPerSecond,
	}
	server.Start()
	t.Cleanup(server.Close)
	var h tarragonwell.OperationHandOver
	for range entries {
		h.Entries = append(h.Entries, tarragonwell.OperationEntry{
			Result: tarragonwell.StoredResult{
				Body: make([]byte, resultBytes),
			},
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	accepted, _ := leaving.tryHandOver(ctx, tarragonwell.Member{
		PeerAddress: server.Listener.Addr().String(),
		Incarnation: other.common.Incarnation,
	}, h)
	if got, want := accepted, true; got != want {
		t.Fatalf("accepted: got %t, want %t", got, want)
	}
	if got, want := <-holder.taken, entries; got != want {
		t.Errorf("got %d operations, want %d", got, want)
	}
}
