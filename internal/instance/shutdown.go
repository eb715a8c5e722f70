package instance

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/control"
	"github.com/tarragonwell/tarragonwell/internal/peer"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	handOverRetries    = 10
	handOverRetryDelay = 200 * time.Millisecond
	// drainShare is the part of the drain limit after which the instance exits by
	// itself, so that it isn't killed when the limit is reached.
	drainShare = 0.95
	// answerShare is the part of the drain limit after which the calls in progress are
	// ended, so that they are answered before the exit.
	answerShare = 0.92
	// lingerTime is how long peers are served after the hand-over, so that they learn
	// which instance has taken over the operations.
	lingerTime = 1500 * time.Millisecond
)

// shutDown drains and stops the instance within the drain limit. It clears readiness,
// gives the external load balancer time to notice, hands over the operations, waits
// for the requests in flight, announces that the instance has stopped, serves peers for
// lingerTime and then closes the servers. Calls that would outlast the limit are not begun,
// and those that do are answered before it.
func (i *Instance) shutDown(s *servers) {
	callsEnd := time.Duration(float64(i.common.Settings.DrainLimit) * answerShare)
	now := i.common.Clock.Now()
	callsEndAt := now.Add(callsEnd)
	i.common.Drain.Begin(common.DrainLimits{
		LateFrom: now.Add(i.common.Settings.BalancerWait),
		End:      callsEndAt,
	})
	defer time.AfterFunc(callsEnd, func() { s.endCalls(common.ErrStopping) }).Stop()
	i.ready.Store(false)
	i.peers.SetState(tarragonwell.MemberLeaving)
	i.common.RecordChange(tarragonwell.AuditRecord{
		Event:      "instance-leaving",
		LearntFrom: "self",
		Detail:     i.common.Settings.CallerListenAddress,
	})
	limit := time.Duration(float64(i.common.Settings.DrainLimit) * drainShare)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	// Tests can switch this safeguard off (package control) to prove that it is needed.
	if control.Enabled(control.GracefulStop) {
		sleep(ctx, min(i.common.Settings.BalancerWait, limit/2))
		if i.operations != nil {
			i.handOver(ctx)
		}
		if err := s.callerListener.Close(); err != nil {
			i.common.Log.Warn("closing the listener failed", "error", err)
		}
		s.callerGuard.Drain(ctx, callsEndAt)
		// Only connections that use HTTP/2 are left.
		_ = s.callers.Shutdown(ctx)
		i.peers.SetState(tarragonwell.MemberGone)
		sleep(ctx, lingerTime)
	}
	for _, x := range s.all() {
		_ = x.Close()
	}
	s.endCalls(common.ErrStopping)
}

// handOver transfers the operations that the instance holds: those of its own
// incarnation, and those of incarnations that it took over. Each incarnation's
// operations go to one successor.
func (i *Instance) handOver(ctx context.Context) {
	handOvers, err := i.operations.Close(ctx)
	if err != nil {
		i.common.Log.Error("closing the operations failed", "error", err)
		return
	}
	for _, h := range handOvers {
		i.handOverIncarnation(ctx, h)
	}
}

// handOverIncarnation tries the successors in turn. Once a successor may have the
// operations no other is tried, because two holders could run an operation twice. If no
// successor is known to have accepted them, they are recorded as lost.
func (i *Instance) handOverIncarnation(ctx context.Context, h tarragonwell.OperationHandOver) {
	for _, m := range i.successors() {
		accepted, known := i.tryHandOver(ctx, m, h)
		if accepted {
			i.recordHandOver(m, h)
			return
		}
		if !known {
			break
		}
	}
	i.common.RecordChange(tarragonwell.AuditRecord{
		Event:      "operations-lost",
		LearntFrom: "self",
		Detail:     h.Incarnation.String(),
	})
}

// successors returns the serving peers, those in the instance's own data centre first.
func (i *Instance) successors() []tarragonwell.Member {
	var local, remote []tarragonwell.Member
	for _, m := range i.peers.Snapshot().Alive {
		if m.State != tarragonwell.MemberServing {
			continue
		}
		if m.DataCenter == i.common.Settings.DataCenter {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	return append(local, remote...)
}

// tryHandOver offers a hand-over to one successor, with retries. It reports whether
// the successor has accepted it, and whether that is known.
func (i *Instance) tryHandOver(ctx context.Context, m tarragonwell.Member, h tarragonwell.OperationHandOver) (accepted, known bool) {
	maybeAccepted := false
	for range handOverRetries {
		err := i.peers.HandOver(ctx, m, h)
		switch {
		case err == nil:
			return true, true
		case errors.Is(err, peer.ErrDeclined), errors.Is(err, peer.ErrNotSent):
			if !maybeAccepted {
				return false, true
			}
		default:
			maybeAccepted = true
		}
		i.common.Log.Warn("hand-over failed", "peer", m.PeerAddress, "error", err)
		sleep(ctx, handOverRetryDelay)
	}
	return false, false
}

// recordHandOver announces the new holder to the peers and records the hand-over.
func (i *Instance) recordHandOver(m tarragonwell.Member, h tarragonwell.OperationHandOver) {
	i.peers.AnnounceHolder(tarragonwell.Holder{
		Incarnation: h.Incarnation,
		PeerAddress: m.PeerAddress,
		Generation:  h.Generation,
		ExpiresAt:   i.common.Clock.Now().Add(holderTTL),
	})
	i.common.RecordChange(tarragonwell.AuditRecord{
		Event:      "operations-handed-over",
		LearntFrom: "self",
		Detail:     h.Incarnation.String() + " to " + m.PeerAddress,
	})
}
