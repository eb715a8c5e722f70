// Package peer speaks to the other instances. One task owns the view of the
// fleet and exchanges news with a few sampled peers in each round, so that its
// cost does not grow with the fleet.
package peer

import (
	"context"
	"maps"
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
	// pushFanOut is the number of peers that news is passed on to at once.
	pushFanOut = 3
	// These are what exchanges may use, in bytes a second, both directions:
	// together what a node may spend. They are apart, so that suspicions in a bad
	// hour hold no rules back.
	roundBudget   = 2 << 10
	relayBudget   = 5 << 9
	suspectBudget = 1 << 9
	byteBurst     = 16 << 10
	// suspectFanOut is the number of peers told of a suspect target. They do not
	// pass it on: it is old news by then.
	suspectFanOut = 6
	// messageOverhead estimates what HTTP adds to a message, in bytes.
	messageOverhead = 120
	// maxHolders, maxLeaving and maxSuspects bound the records in one message.
	maxHolders  = 16
	maxLeaving  = 16
	maxSuspects = 16
)

// Options configures Peers.
type Options struct {
	Common *common.Dependencies
	// OnNewerRules is told that a peer has newer rules. It must not block.
	OnNewerRules func(from string, v tarragonwell.RulesVersion)
	// OnNewerList is told that a peer has a newer list. It must not block.
	OnNewerList func(from string, revision uint64)
	// OnTargetSuspected is told of a peer's word that a target has fallen silent.
	OnTargetSuspected func(service, address string, until time.Time)
	// OnTargetLeaving is told of a peer's word that a target leaves.
	OnTargetLeaving func(service, address string, until time.Time, from string)
}

// Peers is the task that owns the view of the fleet. Make it with New and run
// it.
type Peers struct {
	options  Options
	mailbox  *task.Mailbox[any]
	snapshot atomic.Pointer[Snapshot]
	client   *http.Client
	rounds   *rate.Limiter
	relays   *rate.Limiter
	suspects *rate.Limiter
	skipped  func()
}

// Snapshot is what others may read of the view. It is immutable.
type Snapshot struct {
	// Alive lists the other instances heard of lately.
	Alive   []tarragonwell.Member
	known   map[string]bool
	holders map[tarragonwell.Incarnation]string
	// Leaving lists the targets that said they leave, and until when this is
	// believed.
	Leaving map[membership.TargetKey]time.Time
	// PlatformConfirmedAt is when the platform last answered anyone heard of; zero for never.
	PlatformConfirmedAt time.Time
	// IsReader says that the instance watches the platform for others.
	IsReader bool
	State    tarragonwell.MemberState
}

// state is owned by the task.
type state struct {
	view   membership.View
	random *rand.Rand
	rules  tarragonwell.RulesVersion
	// seen is what the instance has taken in of what the platform publishes.
	seen     tarragonwell.PlatformPosition
	contacts contacts
	// seeds are the settings', listed the platform's; the view has both.
	seeds  []string
	listed []string
}

// New returns peers that aren't running yet.
func New(o Options) *Peers {
	p := &Peers{
		options:  o,
		mailbox:  task.NewMailbox[any](mailboxSize),
		client:   newClient(o.Common),
		rounds:   rate.NewLimiter(roundBudget, byteBurst),
		relays:   rate.NewLimiter(relayBudget, byteBurst),
		suspects: rate.NewLimiter(suspectBudget, byteBurst),
	}
	p.skipped = o.Common.Metrics.GetOrCreateCounter("tarragonwell_peer_rounds_skipped_total").Inc
	p.snapshot.Store(&Snapshot{})
	return p
}

// Snapshot returns the present view.
func (p *Peers) Snapshot() *Snapshot {
	return p.snapshot.Load()
}

// SetState changes the instance's own state and tells peers at once.
func (p *Peers) SetState(s tarragonwell.MemberState) {
	p.mailbox.Post(stateMessage{
		state: s,
	})
}

// SetVersions says what is in force; with push, peers are told at once.
func (p *Peers) SetVersions(rules tarragonwell.RulesVersion, seen tarragonwell.PlatformPosition, push bool) {
	p.mailbox.Post(versionsNews{
		rules: rules,
		seen:  seen,
		push:  push,
	})
}

// SetListedAddresses replaces the addresses on the platform's list.
func (p *Peers) SetListedAddresses(addresses []string) {
	p.mailbox.Post(seedsNews{
		addresses: addresses,
	})
}

// SetSeeds replaces the addresses in the settings.
func (p *Peers) SetSeeds(addresses []string) {
	p.mailbox.Post(settingsSeeds{
		addresses: addresses,
	})
}

// RecordConfirmation says that the platform has answered, and what it had published by
// then.
func (p *Peers) RecordConfirmation(position tarragonwell.PlatformPosition) {
	p.mailbox.Post(contactNews{
		position: position,
	})
}

// AnnounceHolder passes on where operations went.
func (p *Peers) AnnounceHolder(h tarragonwell.Holder) {
	p.mailbox.Post(holderNews{
		holder: h,
	})
}

// AnnounceLeaving passes on that a target said it leaves.
func (p *Peers) AnnounceLeaving(service, address string, until time.Time) {
	p.mailbox.TryPost(leavingNews{
		service: service,
		address: address,
		until:   until,
	})
}

// AnnounceSuspect passes on that a target has fallen silent or fails.
func (p *Peers) AnnounceSuspect(service, address string, until time.Time) {
	p.mailbox.TryPost(suspectNews{
		service: service,
		address: address,
		until:   until,
	})
}

// Run owns the view until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	defer p.mailbox.MarkStopped()
	defer p.client.CloseIdleConnections()
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	st := p.start()
	interval := p.options.Common.Settings.GossipInterval
	timer := time.NewTimer(rand.N(interval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.mailbox.Receive():
			if p.handle(st, m) {
				p.round(ctx, st, pushFanOut, &exchanges)
			}
			p.relay(ctx, st, &exchanges)
			if _, ok := m.(suspectNews); ok {
				p.tellSuspects(ctx, st, &exchanges)
			}
		case <-timer.C:
			st.view.Self.Heartbeat++
			p.tellLost(st)
			st.view.Expire(p.options.Common.Clock.Now())
			p.round(ctx, st, p.options.Common.Settings.FanOut, &exchanges)
			timer.Reset(interval*3/4 + rand.N(interval/2))
		}
		p.publish(st)
	}
}

func (p *Peers) start() *state {
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
	st.seeds = c.Settings.Seeds
	st.view.BootstrapAddresses = st.seeds
	return st
}

// handle takes in a message and reports whether peers are to be told at once.
func (p *Peers) handle(st *state, message any) bool {
	now := p.options.Common.Clock.Now()
	switch m := message.(type) {
	case heardMessage:
		push := p.hear(now, st, m.from, m.news)
		if m.reply != nil {
			m.reply <- p.news(now, st, m.news.brief)
		}
		return push
	case stateMessage:
		st.view.Self.State = m.state
		st.view.Self.Heartbeat++
		return true
	case versionsNews:
		st.rules = m.rules
		st.seen = m.seen
		st.contacts.settle(st.seen)
		return m.push
	case seedsNews:
		st.view.BootstrapAddresses = append(append([]string(nil), st.seeds...), m.addresses...)
		st.listed = m.addresses
	case settingsSeeds:
		st.seeds = m.addresses
		st.view.BootstrapAddresses = append(append([]string(nil), m.addresses...), st.listed...)
	case contactNews:
		st.contacts.hear(st.seen, word{
			at:       now,
			position: m.position,
			own:      true,
		})
	case holderNews:
		return st.view.MergeHolder(m.holder)
	case leavingNews:
		return st.view.MergeLeaving(now, keyOf(m.service, m.address), m.until)
	case suspectNews:
		st.view.MergeSuspect(now, keyOf(m.service, m.address), m.until)
	}
	return false
}

func keyOf(service, address string) membership.TargetKey {
	return membership.TargetKey{
		Service: service,
		ID:      address,
	}
}

// hear takes in a peer's news and reports whether some of it is to be passed on
// at once.
func (p *Peers) hear(now time.Time, st *state, from string, n news) bool {
	push := false
	for _, m := range n.members {
		member := memberOf(m)
		if st.view.Merge(now, member) {
			p.memberChanged(member, from)
		}
	}
	for _, h := range n.holders {
		push = st.view.MergeHolder(holderOf(h, now)) || push
	}
	for _, l := range n.leaving {
		until := now.Add(duration(l.GetRemainingMs()))
		if st.view.MergeLeaving(now, keyOf(l.GetService(), l.GetAddress()), until) {
			p.options.OnTargetLeaving(l.GetService(), l.GetAddress(), until, from)
			push = true
		}
	}
	for _, x := range n.suspects {
		until := now.Add(duration(x.GetRemainingMs()))
		if st.view.MergeSuspect(now, keyOf(x.GetService(), x.GetAddress()), until) {
			p.options.OnTargetSuspected(x.GetService(), x.GetAddress(), until)
		}
	}
	if len(n.members) > 0 && n.platformAge < neverAge {
		st.contacts.hear(st.seen, wordOf(now, n))
	}
	if v := versionOf(n.rules); v.After(st.rules) {
		p.options.OnNewerRules(from, v)
	}
	if n.listRevision > st.seen.List {
		p.options.OnNewerList(from, n.listRevision)
	}
	return push
}

// neverAge is told where the platform has never answered.
const neverAge = 24 * time.Hour

// round exchanges news with a few peers, within the byte budget.
func (p *Peers) round(ctx context.Context, st *state, fanOut int, exchanges *sync.WaitGroup) {
	now := p.options.Common.Clock.Now()
	p.tell(ctx, st.view.SelectPeers(now, fanOut, st.random), p.news(now, st, false), p.rounds, exchanges)
}

// tellSuspects tells a few peers of suspect targets, within its own budget.
func (p *Peers) tellSuspects(ctx context.Context, st *state, exchanges *sync.WaitGroup) {
	now := p.options.Common.Clock.Now()
	p.tell(ctx, st.view.SelectPeers(now, suspectFanOut, st.random), p.news(now, st, true), p.suspects, exchanges)
}

func (p *Peers) tell(ctx context.Context, peers []tarragonwell.Member, n news, budget *rate.Limiter, exchanges *sync.WaitGroup) {
	request := n.request()
	size := 2 * (proto.Size(request) + messageOverhead)
	for _, m := range peers {
		if !budget.AllowN(p.options.Common.Clock.Now(), size) {
			p.skipped()
			return
		}
		exchanges.Go(func() {
			p.exchange(ctx, m.PeerAddress, request)
		})
	}
}

// exchange tells a peer the news and takes in the peer's. It returns nil where
// the peer does not answer.
func (p *Peers) exchange(ctx context.Context, address string, request *pb.ExchangeRequest) *pb.ExchangeResponse {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	response, err := p.Exchange(ctx, address, request)
	if err != nil {
		p.options.Common.Log.Debug("exchange failed", "peer", address, "error", err)
		return nil
	}
	_ = p.mailbox.Send(ctx, heardMessage{
		from: address,
		news: newsOf(response),
	})
	return response
}

func (p *Peers) publish(st *state) {
	now := p.options.Common.Clock.Now()
	s := &Snapshot{
		Alive:               st.view.Alive(now),
		known:               map[string]bool{},
		holders:             map[tarragonwell.Incarnation]string{},
		Leaving:             maps.Clone(st.view.Leaving()),
		PlatformConfirmedAt: st.contacts.latest.at,
		IsReader:            st.view.IsReader(now, p.options.Common.Settings.Readers),
		State:               st.view.Self.State,
	}
	for _, m := range st.view.All() {
		s.known[m.PeerAddress] = true
	}
	for _, a := range st.view.BootstrapAddresses {
		s.known[a] = true
	}
	for _, h := range st.view.Holders() {
		s.holders[h.Incarnation] = h.PeerAddress
	}
	p.snapshot.Store(s)
}
