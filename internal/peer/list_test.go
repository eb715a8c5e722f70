package peer

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"

	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1/tarragonwellv1connect"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// earlierPeer is an instance of a release that sends a list without the rules that belong
// to it.
type earlierPeer struct {
	tarragonwellv1connect.UnimplementedPeerServiceHandler
}

// FetchList implements tarragonwellv1connect.PeerServiceHandler.
func (earlierPeer) FetchList(context.Context, *connect.Request[pb.FetchListRequest]) (*connect.Response[pb.FetchListResponse], error) {
	return connect.NewResponse(&pb.FetchListResponse{
		Change: &pb.ListChange{
			Revision: 7,
		},
	}), nil
}

// fixedData is an instance with one state of its rules and list.
type fixedData struct {
	PlatformData
}

var fixedRules = tarragonwell.RulesVersion{
	Revision: 5,
	Digest:   []byte{1},
}

// afterFirst is the position after the first revision.
var afterFirst = tarragonwell.ListPosition{
	Revision: 1,
}

// ChangesSince implements PlatformData.
func (fixedData) ChangesSince(_ context.Context, since tarragonwell.ListPosition, rules tarragonwell.RulesVersion) (tarragonwell.PlatformUpdate, error) {
	u := tarragonwell.PlatformUpdate{
		List: &tarragonwell.ListChange{
			Since:    since.Revision,
			Revision: 7,
		},
	}
	if fixedRules.After(rules) {
		u.Rules = &tarragonwell.PublishedRules{
			Revision: fixedRules.Revision,
			Content:  []byte("rules"),
		}
	}
	return u, nil
}

// servePeer serves the handler over HTTP/2 without TLS and returns its address.
func servePeer(t *testing.T, h http.Handler) string {
	t.Helper()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := httptest.NewUnstartedServer(h)
	server.Config.Protocols = protocols
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestListWithoutItsRulesIsNotTaken checks that the list of an instance that sends no rules
// with it is not taken: it may be ahead of the rules of this instance, which would then
// never be read from the platform.
func TestListWithoutItsRulesIsNotTaken(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(tarragonwellv1connect.NewPeerServiceHandler(earlierPeer{}))
	p := newPeers(t, nil)
	t.Cleanup(p.client.CloseIdleConnections)
	u, err := p.FetchList(t.Context(), servePeer(t, mux), afterFirst, tarragonwell.RulesVersion{})
	if !errors.Is(err, ErrRequestFailed) || u.List != nil {
		t.Errorf("got %v and %v, want no list and ErrRequestFailed", u.List, err)
	}
}

// TestListComesWithNewerRules checks that the response to a request for the list has the
// rules if, and only if, those of the requester are older, and that a requester of an
// earlier release, which states no version, still gets the list.
func TestListComesWithNewerRules(t *testing.T) {
	p := newPeers(t, nil)
	t.Cleanup(p.client.CloseIdleConnections)
	s := &Server{
		PlatformData: fixedData{},
	}
	address := servePeer(t, s.Handler())
	older := tarragonwell.RulesVersion{
		Revision: 4,
	}
	for _, x := range []struct {
		name      string
		rules     tarragonwell.RulesVersion
		wantRules bool
	}{
		{
			name:      "no rules yet",
			wantRules: true,
		},
		{
			name:      "older rules",
			rules:     older,
			wantRules: true,
		},
		{
			name:  "the same rules",
			rules: fixedRules,
		},
	} {
		u, err := p.FetchList(t.Context(), address, afterFirst, x.rules)
		if err != nil || u.List == nil {
			t.Fatalf("%s: got %v and %v, want a list", x.name, u.List, err)
		}
		if got, want := u.Rules != nil, x.wantRules; got != want {
			t.Errorf("%s: got rules %v, want %v", x.name, got, want)
		}
	}
	response, err := p.serviceClient(address).FetchList(t.Context(), connect.NewRequest(&pb.FetchListRequest{
		Since: 1,
	}))
	if err != nil || response.Msg.GetChange().GetRevision() != 7 || response.Msg.GetRules() != nil {
		t.Errorf("request without a version: got %v and %v, want the list alone", response, err)
	}
}
