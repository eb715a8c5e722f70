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
	// idleTimeout is short because an instance changes its gossip peers at times and
	// does not need the connections to the former ones.
	idleTimeout = 10 * time.Second
	// pingInterval is the time without data after which a connection is checked. It
	// detects connections that a network partition has broken.
	pingInterval    = 5 * time.Second
	pingTimeout     = time.Second
	maxMessageBytes = 64 << 20
	// fetchTimeout bounds the time until a response with the rules or the list begins, and a
	// pause in it. It is short, because an instance fetches from one peer at a time and an
	// unresponsive peer must not delay data that other peers have.
	fetchTimeout = 600 * time.Millisecond
	// handOverTimeout bounds the time until a peer responds to a hand-over, and a pause while it
	// is sent.
	handOverTimeout = 2 * time.Second
	// refreshBytes is an estimate of the size of an exchange in both directions.
	refreshBytes = 1 << 10
)

// ErrRequestFailed means that a request to a peer failed.
var ErrRequestFailed = eris.New("peer request failed")

// ErrNotSent means that no byte of the request can have reached the peer.
var ErrNotSent = eris.New("peer can't be reached")

// newClient returns an HTTP/2 client without TLS that counts its traffic.
func newClient(c *common.Dependencies) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := sockets.NewDialer(dialTimeout)
	dialer.LocalAddr = sourceAddress(c.Settings.PeerListenAddress)
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

// sourceAddress returns the source address of connections to peers: the IP address
// on which the instance listens, so that firewalls can tell instances apart. It is
// nil if the instance listens on all addresses.
func sourceAddress(listen string) net.Addr {
	a, err := netip.ParseAddrPort(listen)
	if err != nil || a.Addr().IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{
		IP: a.Addr().AsSlice(),
	}
}

// serviceClient returns a client for the peer service at an address.
func (p *Peers) serviceClient(address string) tarragonwellv1connect.PeerServiceClient {
	return newServiceClient(p.client, address)
}

// progressClient is serviceClient for requests or responses that may be large. The request has to
// go on being sent, and the response to begin within the timeout and then to go on arriving; as a
// whole they have no time limit.
func (p *Peers) progressClient(address string, timeout time.Duration) tarragonwellv1connect.PeerServiceClient {
	client := sockets.ProgressClient{
		HTTP:         p.client,
		HeadTimeout:  timeout,
		StallTimeout: timeout,
	}
	return newServiceClient(client, address)
}

func newServiceClient(client connect.HTTPClient, address string) tarragonwellv1connect.PeerServiceClient {
	return tarragonwellv1connect.NewPeerServiceClient(client, "http://"+address,
		connect.WithReadMaxBytes(maxMessageBytes))
}

// Exchange sends gossip to a peer and returns the peer's own. The error wraps
// ErrRequestFailed.
func (p *Peers) Exchange(ctx context.Context, address string, r *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	response, err := p.serviceClient(address).Exchange(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, eris.Wrap(ErrRequestFailed, err.Error())
	}
	return response.Msg, nil
}

// FetchRules returns the rules that a peer has in force. The error wraps
// ErrRequestFailed.
func (p *Peers) FetchRules(ctx context.Context, address string) (*tarragonwell.PublishedRules, error) {
	response, err := p.progressClient(address, fetchTimeout).FetchRules(ctx, connect.NewRequest(&pb.FetchRulesRequest{}))
	if err != nil {
		return nil, eris.Wrap(ErrRequestFailed, err.Error())
	}
	return rulesFromProto(response.Msg), nil
}

// FetchList returns the changes after a position, from a peer's copy of the platform's
// list, and the peer's rules if they are newer than the version. The error wraps
// ErrRequestFailed.
func (p *Peers) FetchList(ctx context.Context, address string, since tarragonwell.ListPosition, rules tarragonwell.RulesVersion) (tarragonwell.PlatformUpdate, error) {
	var none tarragonwell.PlatformUpdate
	response, err := p.progressClient(address, fetchTimeout).FetchList(ctx, connect.NewRequest(&pb.FetchListRequest{
		Era:   since.Era,
		Since: since.Revision,
		Rules: versionToProto(rules),
	}))
	if err != nil {
		return none, eris.Wrap(ErrRequestFailed, err.Error())
	}
	if !response.Msg.GetCoversRules() {
		return none, eris.Wrap(ErrRequestFailed, "the list comes without the rules that belong to it")
	}
	if !response.Msg.GetCoversDrains() {
		// The revision of the list would go past drains that the platform is then not
		// asked for again.
		return none, eris.Wrap(ErrRequestFailed, "the list comes without the drains of data centres")
	}
	return tarragonwell.PlatformUpdate{
		Rules: rulesFromProto(response.Msg.GetRules()),
		List:  listChangeFromProto(response.Msg.GetChange()),
	}, nil
}

// Forward implements tarragonwell.Forwarder. The error wraps ErrRequestFailed.
func (p *Peers) Forward(ctx context.Context, address string, o *tarragonwell.Operation) (tarragonwell.ForwardResponse, error) {
	// The message holds a second copy of the body.
	budget, size := &p.options.Common.RequestBytes, o.Body.Length()
	if !budget.Reserve(size) {
		return tarragonwell.ForwardResponse{}, eris.Wrap(ErrRequestFailed, "no memory for the message")
	}
	defer budget.Release(size)
	response, err := p.serviceClient(address).Operate(ctx, connect.NewRequest(operationToProto(o)))
	if err != nil {
		return tarragonwell.ForwardResponse{}, eris.Wrap(ErrRequestFailed, err.Error())
	}
	return forwardResponseFromProto(response.Msg), nil
}

// HolderOf implements tarragonwell.Forwarder.
func (p *Peers) HolderOf(i tarragonwell.Incarnation) string {
	return p.Snapshot().holderAddresses[i]
}

// IsMember implements tarragonwell.Forwarder. It also returns true for addresses in the
// settings and on the platform's list at which no instance was seen yet.
func (p *Peers) IsMember(address string) bool {
	return p.Snapshot().knownAddresses[address]
}

// HandOver hands operations over to a successor. The error wraps ErrNotSent,
// ErrDeclined or ErrRequestFailed. With the last, the successor may have taken the
// operations over.
func (p *Peers) HandOver(ctx context.Context, to tarragonwell.Member, h tarragonwell.OperationHandOver) error {
	_, err := p.progressClient(to.PeerAddress, handOverTimeout).HandOver(ctx, connect.NewRequest(handOverToProto(h, to.Incarnation)))
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

// ErrDeclined means that a peer declined to take over operations.
var ErrDeclined = eris.New("the peer declined the hand-over")

// Refresh asks the given peers for their gossip, within the traffic limit of relayed
// confirmations: while the platform fails, all instances do so again and again.
func (p *Peers) Refresh(ctx context.Context, addresses []string) {
	for n := range addresses {
		if !p.relayLimiter.AllowN(p.options.Common.Clock.Now(), refreshBytes) {
			p.countSkipped()
			addresses = addresses[:n]
			break
		}
	}
	p.GossipWith(ctx, addresses)
}

// GossipWith runs a gossip round with the given peers and returns the versions of the
// rules of those that responded. It has no traffic limit, as instances need it only when
// they start and after a pause.
func (p *Peers) GossipWith(ctx context.Context, addresses []string) []tarragonwell.RulesVersion {
	// An empty gossip field asks for the instance's own gossip and merges nothing.
	g, err := task.Ask(ctx, p.mailbox, func(reply chan<- gossip) any {
		return gossipMessage{
			reply: reply,
		}
	})
	if err != nil {
		return nil
	}
	responses := make(chan *pb.ExchangeResponse, len(addresses))
	for _, a := range addresses {
		go func() {
			responses <- p.exchangeAndMerge(ctx, a, g.request())
		}()
	}
	var versions []tarragonwell.RulesVersion
	for range addresses {
		if r := <-responses; r != nil {
			versions = append(versions, versionFromProto(r.GetRules()))
		}
	}
	return versions
}

// AwaitMerged waits until the gossip received so far has been merged and its newer versions
// have been reported, or until ctx is done.
func (p *Peers) AwaitMerged(ctx context.Context) {
	_, err := task.Ask(ctx, p.mailbox, func(reply chan<- gossip) any {
		return gossipMessage{
			reply: reply,
		}
	})
	if err != nil {
		p.options.Common.Log.Debug("waiting for gossip failed", "error", err)
	}
}

// SampleKnown draws up to n addresses of recorded peers and of those in the settings and on
// the platform's list, whether alive or not.
func (p *Peers) SampleKnown(n int) []string {
	var out []string
	for a := range p.Snapshot().knownAddresses {
		if a != "" && a != p.options.Common.Settings.PeerAddress {
			out = append(out, a)
		}
	}
	rand.Shuffle(len(out), func(i, j int) {
		out[i], out[j] = out[j], out[i]
	})
	return out[:min(n, len(out))]
}

// SampleAlive draws up to n addresses of live peers.
func (p *Peers) SampleAlive(n int) []string {
	return sampleAddresses(p.Snapshot().Alive, n)
}

// SampleLocal draws up to n addresses of live peers in the local data centre.
func (p *Peers) SampleLocal(n int) []string {
	local := slices.DeleteFunc(slices.Clone(p.Snapshot().Alive), func(m tarragonwell.Member) bool {
		return m.DataCenter != p.options.Common.Settings.DataCenter
	})
	return sampleAddresses(local, n)
}

// sampleAddresses draws up to n peer addresses of members.
func sampleAddresses(members []tarragonwell.Member, n int) []string {
	var out []string
	for _, i := range rand.Perm(len(members))[:min(n, len(members))] {
		out = append(out, members[i].PeerAddress)
	}
	return out
}
