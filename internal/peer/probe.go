package peer

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/internal/task"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// probeHelpers is the number of peers through which a peer is probed that did not
	// respond.
	probeHelpers = 3
	// helperTimeout leaves a helper the time of an exchange of its own.
	helperTimeout = 2 * exchangeTimeout
	// pauseTolerance is how much later than the next gossip round the task may run before
	// it counts as paused.
	pauseTolerance = time.Second
)

// pauseDetector notices that the process was paused. Create it by a call of observe.
type pauseDetector struct {
	// at and uptime are the times of the latest observation by the two clocks, of which
	// only the latter counts suspensions of the machine.
	at     time.Time
	uptime time.Duration
	// resumedAt is the end of the latest pause.
	resumedAt time.Time
}

// observe records that the task is running.
func (d *pauseDetector) observe(c tarragonwell.Clock) {
	d.at, d.uptime = c.Now(), c.Uptime()
}

// detectPause prepares the view if the process was paused since the task ran last: requests
// that were in progress have failed for this reason only, and the records are outdated.
func (p *Peers) detectPause(st *state) {
	c := p.options.Common
	now, paused := c.Clock.Now(), c.Clock.Uptime()-st.pause.uptime
	if paused < c.Settings.GossipInterval*5/4+pauseTolerance {
		return
	}
	st.view.Resume(now, max(0, paused-now.Sub(st.pause.at)))
	st.pause.resumedAt = now
	c.Log.Warn("paused", "task", "peers", "for", paused)
}

// newResponse returns the response to gossip.
func (p *Peers) newResponse(now time.Time, st *state, g gossip) gossip {
	if g.probe {
		return p.newProbe(now, st)
	}
	return p.newGossip(now, st, g.brief)
}

// sendRound gossips with the peers concurrently, within the traffic limit of rounds. A peer
// that does not respond is probed through others.
func (p *Peers) sendRound(ctx context.Context, st *state, peers []tarragonwell.Member, g gossip, exchanges *sync.WaitGroup) {
	now := p.options.Common.Clock.Now()
	request := g.request()
	for _, m := range peers {
		if !p.allow(p.roundLimiter, exchangeBytes(request)) {
			return
		}
		trusted, helpers := st.view.IsTrusted(now, m), st.view.ProbeHelpers(now, m, probeHelpers)
		exchanges.Go(func() {
			response := p.exchangeAndMerge(ctx, m.PeerAddress, request)
			if !trusted || ctx.Err() != nil || senderRecord(response, m.Incarnation) != nil {
				return
			}
			result := p.probeThrough(ctx, helpers, m)
			result.startedAt = now
			_ = p.mailbox.Send(ctx, result)
		})
	}
}

// senderRecord returns the sender's own record in a response if it is of the given
// incarnation, or nil.
func senderRecord(response *pb.ExchangeResponse, i tarragonwell.Incarnation) *pb.Member {
	members := response.GetMembers()
	if len(members) == 0 || incarnationFromProto(members[0].GetIncarnation()) != i {
		return nil
	}
	return members[0]
}

// helperResult is the result of a probe through one helper.
type helperResult struct {
	// record is the target's record if the helper has reached it.
	record *pb.Member
	// responded is set if the helper has responded.
	responded bool
}

// probeThrough probes a peer through helpers, within the traffic limit of rounds. If none of
// them responds, the fault may be the instance's own, and the result is neither.
func (p *Peers) probeThrough(ctx context.Context, helpers []tarragonwell.Member, m tarragonwell.Member) probeResult {
	result := probeResult{
		target:      m,
		unreachable: len(helpers) == 0,
	}
	request := &pb.ProbeMemberRequest{
		PeerAddress: m.PeerAddress,
		Incarnation: m.Incarnation[:],
	}
	if !p.allow(p.roundLimiter, len(helpers)*exchangeBytes(request)) {
		return result
	}
	results := make(chan helperResult, len(helpers))
	for _, h := range helpers {
		go func() { results <- p.probeThroughOne(ctx, h.PeerAddress, request) }()
	}
	for range helpers {
		r := <-results
		result.unreachable = result.unreachable || r.responded
		if r.record != nil {
			result.record = r.record
		}
	}
	result.unreachable = result.unreachable && result.record == nil
	return result
}

// probeThroughOne requests a probe from one helper. A helper of a release without such probes
// counts as one that did not reach the target; the target's next heartbeat refutes this.
func (p *Peers) probeThroughOne(ctx context.Context, address string, request *pb.ProbeMemberRequest) helperResult {
	ctx, cancel := context.WithTimeout(ctx, helperTimeout)
	defer cancel()
	p.countIndirectProbe()
	var result helperResult
	_ = p.options.Common.Isolate("probe through a peer", func() {
		response, err := p.serviceClient(address).ProbeMember(ctx, connect.NewRequest(request))
		if err != nil {
			p.options.Common.Log.Debug("probe through a peer failed", "peer", address, "target", request.GetPeerAddress(), "error", err)
			result.responded = connect.CodeOf(err) == connect.CodeUnimplemented
			return
		}
		result.record, result.responded = response.Msg.GetMember(), true
	})
	return result
}

// errProbeLimited means that the traffic limit does not permit a probe for a peer.
var errProbeLimited = eris.New("the traffic limit does not permit the probe")

// probeFor exchanges brief gossip with a member on behalf of a peer. It returns nil if the
// incarnation did not respond, and an error if the member was not probed.
func (p *Peers) probeFor(ctx context.Context, address string, i tarragonwell.Incarnation) (*pb.Member, error) {
	g, err := task.Ask(ctx, p.mailbox, func(reply chan<- gossip) any {
		return gossipMessage{
			gossip: gossip{
				brief: true,
			},
			reply: reply,
		}
	})
	if err != nil {
		return nil, err
	}
	request := g.request()
	if !p.allow(p.roundLimiter, exchangeBytes(request)) {
		return nil, errProbeLimited
	}
	return senderRecord(p.exchangeAndMerge(ctx, address, request), i), nil
}

// applyProbe applies the result of probing a peer through others. Results of probes that
// began before the end of a pause are not evidence of a failure.
func (p *Peers) applyProbe(now time.Time, st *state, r probeResult) {
	if r.record != nil {
		p.mergeMember(now, st, r.record, r.target.PeerAddress)
		return
	}
	if !r.unreachable || r.startedAt.Before(st.pause.resumedAt) || !st.view.Suspect(r.target, r.startedAt) {
		return
	}
	p.countSuspicion()
	p.options.Common.Log.Info("peer-suspected", "peer", r.target.PeerAddress, "data-center", r.target.DataCenter)
}
