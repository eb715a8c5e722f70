// Package peer communicates with the other instances of the fleet. One task, a goroutine
// that receives messages through a mailbox, owns the view of the fleet. In each gossip
// round it exchanges data with a few peers only, so that its cost does not grow with the
// fleet. The package also forwards operations to the instances that hold them (the home
// instance of a ticket or, after a hand-over, its successor), and hands operations over
// at shutdown.
package peer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/task"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/membership"
)

const (
	mailboxSize     = 1024
	exchangeTimeout = 500 * time.Millisecond
	// pushFanOut is the number of peers in a gossip round that is started at once to
	// propagate an urgent update.
	pushFanOut = 3
	// These limits, in bytes per second, apply to gossip rounds, to confirmations that
	// are relayed within the data centre, and to suspicions. Both directions count; a
	// response is assumed to be as large as its request. The limits add up to 5 KiB/s
	// per instance. GossipWith and sendToFirst are not limited: the former is rare, and
	// the latter sends one message for each confirmation and data centre, without which a
	// whole data centre would read the platform itself. The limits are separate so that
	// many suspicions during an outage do not delay the rules.
	roundBytesPerSecond   = 2 << 10
	relayBytesPerSecond   = 5 << 9
	suspectBytesPerSecond = 1 << 9
	burstBytes            = 16 << 10
	// suspectFanOut is the number of peers to which a suspicion is sent at once. They
	// do not propagate it at once, since it would be outdated by then.
	suspectFanOut = 6
	// messageOverheadBytes is an estimate of what HTTP adds to a message.
	messageOverheadBytes = 120
	// maxHolders, maxLeaving and maxSuspects bound the records in one message.
	maxHolders  = 16
	maxLeaving  = 16
	maxSuspects = 16
)

// Options configures Peers.
type Options struct {
	Common *common.Dependencies
	// OnNewerRules is called with the address of a peer that has newer rules. It must
	// not block.
	OnNewerRules func(from string, v tarragonwell.RulesVersion)
	// OnNewerList is called with the address of a peer that has a newer list. It must
	// not block.
	OnNewerList func(from string, position tarragonwell.ListPosition)
	// OnTargetSuspected is called when a peer announces that the target with the given
	// ID is unresponsive or failing.
	OnTargetSuspected func(service, id string, expiresAt time.Time)
	// OnTargetLeaving is called when a peer announces that the target with the given
	// ID is draining.
	OnTargetLeaving func(l tarragonwell.LeavingTarget, from string)
}

// Peers is the gossip task, which owns the view of the fleet, and the client for
// requests to single peers. Create it with New and start it with Run.
type Peers struct {
	options        Options
	mailbox        *task.Mailbox[any]
	snapshot       atomic.Pointer[Snapshot]
	client         *http.Client
	roundLimiter   *rate.Limiter
	relayLimiter   *rate.Limiter
	suspectLimiter *rate.Limiter
	// countSkipped counts the sends of any kind that a limiter cut short: gossip rounds,
	// relayed confirmations and suspicions.
	countSkipped func()
	// The following count suspicions raised by this instance, peers that it lost, probes
	// through others and fetches of all member records.
	countSuspicion     func()
	countLoss          func()
	countIndirectProbe func()
	countMemberFetch   func()
}

// state is the state of the task, which no other goroutine accesses.
type state struct {
	view   membership.View
	random *rand.Rand
	// rules is the version of the rules in force.
	rules tarragonwell.RulesVersion
	// processed is the position up to which the instance has processed the platform's
	// data.
	processed tarragonwell.PlatformPosition
	freshness freshness
	// settingsSeeds are the peer addresses from the settings, listedAddresses those
	// from the platform's list. View.BootstrapAddresses contains both.
	settingsSeeds   []string
	listedAddresses []string
	pause           pauseDetector
	fetch           memberFetch
}

// New returns Peers that are not running yet.
func New(o Options) *Peers {
	p := &Peers{
		options:        o,
		mailbox:        task.NewMailbox[any](mailboxSize),
		client:         newClient(o.Common),
		roundLimiter:   rate.NewLimiter(roundBytesPerSecond, burstBytes),
		relayLimiter:   rate.NewLimiter(relayBytesPerSecond, burstBytes),
		suspectLimiter: rate.NewLimiter(suspectBytesPerSecond, burstBytes),
	}
	p.countSkipped = o.Common.Metrics.GetOrCreateCounter("tarragonwell_peer_rounds_skipped_total").Inc
	p.countSuspicion = o.Common.Metrics.GetOrCreateCounter("tarragonwell_peer_suspicions_total").Inc
	p.countLoss = o.Common.Metrics.GetOrCreateCounter("tarragonwell_peer_losses_total").Inc
	p.countIndirectProbe = o.Common.Metrics.GetOrCreateCounter("tarragonwell_peer_indirect_probes_total").Inc
	p.countMemberFetch = o.Common.Metrics.GetOrCreateCounter("tarragonwell_peer_member_fetches_total").Inc
	p.snapshot.Store(&Snapshot{})
	return p
}

// Snapshot returns the latest snapshot of the view.
func (p *Peers) Snapshot() *Snapshot {
	return p.snapshot.Load()
}

// SetState sets the instance's own state and starts a gossip round at once.
func (p *Peers) SetState(s tarragonwell.MemberState) {
	p.mailbox.Post(stateMessage{
		state: s,
	})
}

// SetVersions sets the version of the rules in force and the position up to which the
// platform's data was processed. If push is set, a gossip round starts at once.
func (p *Peers) SetVersions(rules tarragonwell.RulesVersion, processed tarragonwell.PlatformPosition, push bool) {
	p.mailbox.Post(versionsMessage{
		rules:     rules,
		processed: processed,
		push:      push,
	})
}

// SetListedAddresses replaces the peer addresses from the platform's list.
func (p *Peers) SetListedAddresses(addresses []string) {
	p.mailbox.Post(listedAddressesMessage{
		addresses: addresses,
	})
}

// SetSeeds replaces the peer addresses from the settings. Those from the platform's list
// stay.
func (p *Peers) SetSeeds(addresses []string) {
	p.mailbox.Post(seedsMessage{
		addresses: addresses,
	})
}

// RecordConfirmation records that the platform has just responded to this instance,
// and the position of the data that it had published by then.
func (p *Peers) RecordConfirmation(position tarragonwell.PlatformPosition) {
	p.mailbox.Post(confirmationMessage{
		position: position,
	})
}

// AnnounceHolder records which instance holds an incarnation's operations and
// propagates it.
func (p *Peers) AnnounceHolder(h tarragonwell.Holder) {
	p.mailbox.Post(holderAnnouncement{
		holder: h,
	})
}

// AnnounceLeaving records that a target is draining and propagates it. It does not
// block: it returns false, and has no effect, if the mailbox is full.
func (p *Peers) AnnounceLeaving(l tarragonwell.LeavingTarget) bool {
	return p.mailbox.TryPost(leavingAnnouncement{
		leaving: l,
	})
}

// AnnounceSuspect records that a target is unresponsive or failing and propagates it.
// It does not block: the announcement is dropped if the mailbox is full.
func (p *Peers) AnnounceSuspect(service, id string, expiresAt time.Time) {
	p.mailbox.TryPost(suspectAnnouncement{
		service:   service,
		id:        id,
		expiresAt: expiresAt,
	})
}

// Run runs the task until ctx is done. It returns once all exchanges in progress have
// ended.
func (p *Peers) Run(ctx context.Context) {
	defer p.mailbox.MarkStopped()
	defer p.client.CloseIdleConnections()
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	st := p.newState()
	interval := p.options.Common.Settings.GossipInterval
	timer := time.NewTimer(rand.N(interval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.mailbox.Receive():
			p.detectPause(st)
			if p.handle(st, m) {
				p.runRound(ctx, st, pushFanOut, &exchanges)
			}
			p.relayConfirmation(ctx, st, &exchanges)
			if _, ok := m.(suspectAnnouncement); ok {
				p.sendSuspects(ctx, st, &exchanges)
			}
			p.fetchMembers(ctx, st, &exchanges)
		case <-timer.C:
			p.detectPause(st)
			st.view.Self.Heartbeat++
			p.logLostPeers(st)
			st.view.Expire(p.options.Common.Clock.Now())
			p.runRound(ctx, st, p.options.Common.Settings.FanOut, &exchanges)
			timer.Reset(interval*3/4 + rand.N(interval/2))
		}
		p.publishSnapshot(st)
		st.pause.observe(p.options.Common.Clock)
	}
}

// newState returns the state of the task at its start.
func (p *Peers) newState() *state {
	c := p.options.Common
	st := &state{
		random: common.NewRandom(),
	}
	st.view.Self = tarragonwell.Member{
		PeerAddress: c.Settings.PeerAddress,
		DataCenter:  c.Settings.DataCenter,
		Incarnation: c.Incarnation,
		Started:     c.Started,
		State:       tarragonwell.MemberStarting,
		Heartbeat:   1,
	}
	st.view.SearchStarted = c.Clock.Now()
	st.view.GossipInterval = c.Settings.GossipInterval
	st.pause.observe(c.Clock)
	st.settingsSeeds = c.Settings.Seeds
	st.view.BootstrapAddresses = st.settingsSeeds
	return st
}

// handle processes a message and reports whether to start a gossip round at once.
func (p *Peers) handle(st *state, message any) bool {
	now := p.options.Common.Clock.Now()
	switch m := message.(type) {
	case gossipMessage:
		push := false
		// A message that can't be merged must not end the task.
		_ = p.options.Common.Isolate("merge gossip", func() {
			push = p.merge(now, st, m.from, m.gossip)
		})
		if m.reply != nil {
			m.reply <- p.newResponse(now, st, m.gossip)
		}
		return push
	case probeResult:
		// A message that can't be merged must not end the task.
		_ = p.options.Common.Isolate("merge probe result", func() { p.applyProbe(now, st, m) })
	case membersMessage:
		_ = p.options.Common.Isolate("merge members", func() { p.mergeMembers(now, st, m) })
	case membersRequest:
		m.reply <- membersResponse(now, st)
	case stateMessage:
		st.view.Self.State = m.state
		st.view.Self.Heartbeat++
		return true
	case versionsMessage:
		st.rules = m.rules
		st.processed = m.processed
		st.freshness.applyPending(st.processed)
		return m.push
	case listedAddressesMessage:
		st.view.BootstrapAddresses = append(append([]string(nil), st.settingsSeeds...), m.addresses...)
		st.listedAddresses = m.addresses
	case seedsMessage:
		st.settingsSeeds = m.addresses
		st.view.BootstrapAddresses = append(append([]string(nil), m.addresses...), st.listedAddresses...)
	case confirmationMessage:
		st.freshness.record(st.processed, confirmation{
			at:       now,
			position: m.position,
			direct:   true,
		})
	case holderAnnouncement:
		return st.view.MergeHolder(m.holder)
	case leavingAnnouncement:
		return st.view.MergeLeaving(now, m.leaving)
	case suspectAnnouncement:
		st.view.MergeSuspect(now, targetKey(m.service, m.id), m.expiresAt)
	}
	return false
}

func targetKey(service, id string) membership.TargetKey {
	return membership.TargetKey{
		Service: service,
		ID:      id,
	}
}

// merge merges a peer's gossip into the state. It reports whether a part of it is to
// be propagated at once.
func (p *Peers) merge(now time.Time, st *state, from string, g gossip) bool {
	push := false
	for _, m := range g.members {
		p.mergeMember(now, st, m, from)
	}
	if len(g.members) > 0 {
		p.recordContact(now, st, memberFromProto(g.members[0]))
	}
	for _, s := range g.suspicions {
		st.view.MergeSuspicion(now, suspicionFromProto(s))
	}
	considerFetch(now, st, from, g)
	for _, h := range g.holders {
		push = st.view.MergeHolder(holderFromProto(h, now)) || push
	}
	for _, m := range g.leaving {
		l := leavingFromProto(m, now)
		if st.view.MergeLeaving(now, l) {
			p.options.OnTargetLeaving(l, from)
			push = true
		}
	}
	// The schema's address field of suspected targets holds the target's ID.
	for _, x := range g.suspects {
		expiresAt := now.Add(fromMillis(x.GetRemainingMs()))
		if st.view.MergeSuspect(now, targetKey(x.GetService(), x.GetAddress()), expiresAt) {
			p.options.OnTargetSuspected(x.GetService(), x.GetAddress(), expiresAt)
		}
	}
	// A request for the instance's own gossip has no members. Its platformAge is 0
	// because it is unset.
	if len(g.members) > 0 && g.platformAge < neverConfirmedAge {
		st.freshness.record(st.processed, confirmationFromGossip(now, g))
	}
	if v := versionFromProto(g.rules); v.After(st.rules) {
		p.options.OnNewerRules(from, v)
	}
	if g.list.After(st.processed.List) {
		p.options.OnNewerList(from, g.list)
	}
	return push
}

// neverConfirmedAge is the platform age that an instance sends if it has no
// confirmation by the platform.
const neverConfirmedAge = 24 * time.Hour

// runRound gossips with a few peers, within the traffic limit of rounds. The first of them is
// probed, which takes a short message.
func (p *Peers) runRound(ctx context.Context, st *state, fanOut int, exchanges *sync.WaitGroup) {
	now := p.options.Common.Clock.Now()
	peers := st.view.SelectPeers(now, fanOut, st.random)
	if len(peers) > 0 && st.view.IsTrusted(now, peers[0]) {
		p.sendRound(ctx, st, peers[:1], p.newProbe(now, st), exchanges)
		peers = peers[1:]
	}
	p.sendRound(ctx, st, peers, p.newGossip(now, st, false), exchanges)
}

// sendSuspects sends the suspected targets to a few peers, within their own limit.
func (p *Peers) sendSuspects(ctx context.Context, st *state, exchanges *sync.WaitGroup) {
	now := p.options.Common.Clock.Now()
	p.send(ctx, st.view.SelectPeers(now, suspectFanOut, st.random), p.newGossip(now, st, true), p.suspectLimiter, exchanges)
}

// send gossips with the peers concurrently. It skips the remaining peers once the
// limit is reached.
func (p *Peers) send(ctx context.Context, peers []tarragonwell.Member, g gossip, limiter *rate.Limiter, exchanges *sync.WaitGroup) {
	request := g.request()
	for _, m := range peers {
		if !p.allow(limiter, exchangeBytes(request)) {
			return
		}
		exchanges.Go(func() {
			p.exchangeAndMerge(ctx, m.PeerAddress, request)
		})
	}
}

// exchangeBytes returns the estimated size of an exchange in both directions.
func exchangeBytes(request proto.Message) int {
	return 2 * (proto.Size(request) + messageOverheadBytes)
}

// allow reports whether a traffic limit permits the bytes, and counts what it does not permit.
func (p *Peers) allow(limiter *rate.Limiter, bytes int) bool {
	if limiter.AllowN(p.options.Common.Clock.Now(), bytes) {
		return true
	}
	p.countSkipped()
	return false
}

// exchangeAndMerge sends gossip to a peer and posts the response to the task for
// merging. It returns nil if the peer does not respond.
func (p *Peers) exchangeAndMerge(ctx context.Context, address string, request *pb.ExchangeRequest) *pb.ExchangeResponse {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var response *pb.ExchangeResponse
	var err error
	if panicked := p.options.Common.Isolate("gossip exchange", func() {
		response, err = p.Exchange(ctx, address, request)
	}); panicked != nil {
		return nil
	}
	if err != nil {
		p.options.Common.Log.Debug("gossip exchange failed", "peer", address, "error", err)
		return nil
	}
	_ = p.mailbox.Send(ctx, gossipMessage{
		from:   address,
		gossip: gossipFromProto(response),
	})
	return response
}
