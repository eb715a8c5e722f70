package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/sockets"
	"github.com/tarragonwell/tarragonwell/internal/task"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1/tarragonwellv1connect"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	dialTimeout = 250 * time.Millisecond
	// idleTimeout gives up the connections to former partners soon.
	idleTimeout = 10 * time.Second
	// pingInterval finds connections that a cut has left silent.
	pingInterval = 5 * time.Second
	pingTimeout  = time.Second
	maxMessage   = 64 << 20
)

// ErrRequestFailed is the root of the errors of peers.
var ErrRequestFailed = eris.New("the peer failed")

// ErrNotSent means that no byte could have reached the peer.
var ErrNotSent = eris.New("the peer can't be reached")

// newClient returns a client for HTTP/2 without TLS that counts its bytes.
func newClient(c *common.Dependencies) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := sockets.NewDialer(dialTimeout)
	dialer.LocalAddr = sourceOf(c.Settings.PeerListenAddress)
	return &http.Client{
		Transport: &http.Transport{
			Protocols:       protocols,
			IdleConnTimeout: idleTimeout,
			HTTP2: &http.HTTP2Config{
				SendPingTimeout: pingInterval,
				PingTimeout:     pingTimeout,
			},
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, eris.Wrap(ErrNotSent, err.Error())
				}
				return CountConn(conn, c.Metrics), nil
			},
		},
	}
}

// sourceOf makes connections to peers come from the address that the instance
// listens on, so that firewalls can tell instances apart.
func sourceOf(listen string) net.Addr {
	a, err := netip.ParseAddrPort(listen)
	if err != nil || a.Addr().IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{
		IP: a.Addr().AsSlice(),
	}
}

func (p *Peers) service(address string) tarragonwellv1connect.PeerServiceClient {
	return tarragonwellv1connect.NewPeerServiceClient(p.client, "http://"+address,
		connect.WithReadMaxBytes(maxMessage))
}

// Exchange tells a peer the news and returns the peer's. It fails with ErrPeer.
func (p *Peers) Exchange(ctx context.Context, address string, r *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	response, err := p.service(address).Exchange(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, eris.Wrap(ErrRequestFailed, err.Error())
	}
	return response.Msg, nil
}

// FetchRules reads the rules that a peer has in force. It fails with ErrPeer.
func (p *Peers) FetchRules(ctx context.Context, address string) (*tarragonwell.PublishedRules, error) {
	response, err := p.service(address).FetchRules(ctx, connect.NewRequest(&pb.FetchRulesRequest{}))
	if err != nil {
		return nil, eris.Wrap(ErrRequestFailed, err.Error())
	}
	return &tarragonwell.PublishedRules{
		Revision: response.Msg.GetVersion().GetRevision(),
		Content:  response.Msg.GetContent(),
	}, nil
}

// FetchList reads what has changed on the list that a peer has. It fails with
// ErrPeer.
func (p *Peers) FetchList(ctx context.Context, address string, since uint64) (*tarragonwell.ListChange, error) {
	response, err := p.service(address).FetchList(ctx, connect.NewRequest(&pb.FetchListRequest{
		Since: since,
	}))
	if err != nil {
		return nil, eris.Wrap(ErrRequestFailed, err.Error())
	}
	return listOf(response.Msg.GetChange()), nil
}

// Forward implements tarragonwell.Forwarder.
func (p *Peers) Forward(ctx context.Context, address string, o *tarragonwell.Operation) (tarragonwell.ForwardResponse, error) {
	response, err := p.service(address).Operate(ctx, connect.NewRequest(operateMessage(o)))
	if err != nil {
		return tarragonwell.ForwardResponse{}, eris.Wrap(ErrRequestFailed, err.Error())
	}
	return resultOf(response.Msg), nil
}

// HolderOf implements tarragonwell.Forwarder.
func (p *Peers) HolderOf(i tarragonwell.Incarnation) string {
	return p.Snapshot().holders[i]
}

// IsMember implements tarragonwell.Forwarder.
func (p *Peers) IsMember(address string) bool {
	return p.Snapshot().known[address]
}

// HandOver gives operations to a successor. Unless the error is ErrNotSent or
// ErrDeclined, the successor may have taken them.
func (p *Peers) HandOver(ctx context.Context, to tarragonwell.Member, h tarragonwell.OperationHandOver) error {
	_, err := p.service(to.PeerAddress).HandOver(ctx, connect.NewRequest(handOverMessage(h, to.Incarnation)))
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrNotSent):
		return eris.Wrap(ErrNotSent, to.PeerAddress)
	case connect.CodeOf(err) == connect.CodeFailedPrecondition:
		return eris.Wrap(ErrDeclined, to.PeerAddress)
	default:
		return eris.Wrap(ErrRequestFailed, err.Error())
	}
}

// ErrDeclined means that a peer did not take over operations.
var ErrDeclined = eris.New("the peer declined the hand-over")

// GossipWith exchanges news with several peers at a time and returns the versions of
// the rules of those that answered.
func (p *Peers) GossipWith(ctx context.Context, addresses []string) []tarragonwell.RulesVersion {
	request, err := task.Ask(ctx, p.mailbox, func(reply chan<- news) any {
		return heardMessage{
			reply: reply,
		}
	})
	if err != nil {
		return nil
	}
	answers := make(chan *pb.ExchangeResponse, len(addresses))
	for _, a := range addresses {
		go func() {
			answers <- p.exchange(ctx, a, request.request())
		}()
	}
	var versions []tarragonwell.RulesVersion
	for range addresses {
		if r := <-answers; r != nil {
			versions = append(versions, versionOf(r.GetRules()))
		}
	}
	return versions
}

// SampleAlive draws up to n addresses of peers heard of lately.
func (p *Peers) SampleAlive(n int) []string {
	return draw(p.Snapshot().Alive, n)
}

// SampleLocal draws up to n addresses of peers of the own data centre heard of
// lately.
func (p *Peers) SampleLocal(n int) []string {
	near := slices.DeleteFunc(slices.Clone(p.Snapshot().Alive), func(m tarragonwell.Member) bool {
		return m.DataCenter != p.options.Common.Settings.DataCenter
	})
	return draw(near, n)
}

func draw(members []tarragonwell.Member, n int) []string {
	var out []string
	for _, i := range rand.Perm(len(members))[:min(n, len(members))] {
		out = append(out, members[i].PeerAddress)
	}
	return out
}
