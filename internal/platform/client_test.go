package platform

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/test/standin/link"
)

// TestLargeRulesOverSlowLink guards against rules that are never read, as they take longer over
// the link than responseSlack.
func TestLargeRulesOverSlowLink(t *testing.T) {
	t.Parallel()
	const (
		rulesBytes     = 1 << 20
		bytesPerSecond = 500e3
	)
	response, err := protojson.Marshal(&pb.PublishedRules{
		Revision: 1,
		Content:  make([]byte, rulesBytes),
	})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(response)
	}))
	server.Listener = &link.Listener{
		Listener:       server.Listener,
		BytesPerSecond: bytesPerSecond,
	}
	server.Start()
	t.Cleanup(server.Close)
	c := &Client{
		Address: server.Listener.Addr().String(),
	}
	u, err := c.Feeds()[0].Watch(t.Context(), tarragonwell.PlatformPosition{}, 0)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(u.Rules.Content); got != rulesBytes {
		t.Errorf("got rules of %d bytes, want %d", got, rulesBytes)
	}
}
