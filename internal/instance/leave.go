package instance

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/control"
	"github.com/tarragonwell/tarragonwell/internal/peer"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	handOverTimeout = 2 * time.Second
	handOverRetries = 10
	// drainShare is the part of the drain limit after which the instance ends by
	// itself, before it is ended.
	drainShare = 0.95
	// farewell is how long peers are still answered after the hand-over, so that
	// they learn where the operations went.
	farewell = 1500 * time.Millisecond
)

// leave stops the instance without cutting anything off: readiness goes first,
// the balancer is waited for, the operations are handed over, requests in
// flight end, and only then the instance goes.
func (i *Instance) leave(s *servers) {
	i.ready.Store(false)
	i.leaving.Store(true)
	i.peers.SetState(tarragonwell.MemberLeaving)
	i.common.RecordChange(tarragonwell.AuditRecord{
		Event:      "instance-leaving",
		LearntFrom: "self",
		Detail:     i.common.Settings.CallerListenAddress,
	})
	limit := time.Duration(float64(i.common.Settings.DrainLimit) * drainShare)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if control.Enabled(control.GracefulStop) {
		wait(ctx, min(i.common.Settings.BalancerWait, limit/2))
		if i.operations != nil {
			i.handOver(ctx)
		}
		_ = s.callers.Shutdown(ctx)
		i.peers.SetState(tarragonwell.MemberGone)
		wait(ctx, farewell)
	}
	for _, x := range s.all() {
		_ = x.Close()
	}
}

// handOver gives the operations to one successor. Once a successor may have
// them, no other is tried: two holders could run an operation twice.
func (i *Instance) handOver(ctx context.Context) {
	books, err := i.operations.Close(ctx)
	if err != nil {
		i.common.Log.Error("operations not closed", "error", err)
		return
	}
	for _, b := range books {
		i.handOverBook(ctx, b)
	}
}

func (i *Instance) handOverBook(ctx context.Context, b tarragonwell.OperationHandOver) {
	for _, m := range i.successors() {
		taken, decided := i.offer(ctx, m, b)
		if taken {
			i.handedOver(m, b)
			return
		}
		if !decided {
			break
		}
	}
	i.common.RecordChange(tarragonwell.AuditRecord{
		Event:      "operations-lost",
		LearntFrom: "self",
		Detail:     b.Incarnation.String(),
	})
}

// successors lists the peers that serve, those of the own data centre first.
func (i *Instance) successors() []tarragonwell.Member {
	var near, far []tarragonwell.Member
	for _, m := range i.peers.Snapshot().Alive {
		if m.State != tarragonwell.MemberServing {
			continue
		}
		if m.DataCenter == i.common.Settings.DataCenter {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	return append(near, far...)
}

// offer tries to hand a book to one successor. It reports whether the
// successor has it, and whether this is known.
func (i *Instance) offer(ctx context.Context, m tarragonwell.Member, b tarragonwell.OperationHandOver) (taken, decided bool) {
	mayHave := false
	for range handOverRetries {
		offering, cancel := context.WithTimeout(ctx, handOverTimeout)
		err := i.peers.HandOver(offering, m, b)
		cancel()
		switch {
		case err == nil:
			return true, true
		case errors.Is(err, peer.ErrDeclined), errors.Is(err, peer.ErrNotSent):
			if !mayHave {
				return false, true
			}
		default:
			mayHave = true
		}
		i.common.Log.Warn("hand-over failed", "peer", m.PeerAddress, "error", err)
		wait(ctx, handOverTimeout/handOverRetries)
	}
	return false, false
}

func (i *Instance) handedOver(m tarragonwell.Member, b tarragonwell.OperationHandOver) {
	i.peers.AnnounceHolder(tarragonwell.Holder{
		Incarnation: b.Incarnation,
		PeerAddress: m.PeerAddress,
		Generation:  b.Generation,
		ExpiresAt:   i.common.Clock.Now().Add(holderLife),
	})
	i.common.RecordChange(tarragonwell.AuditRecord{
		Event:      "operations-handed-over",
		LearntFrom: "self",
		Detail:     b.Incarnation.String() + " to " + m.PeerAddress,
	})
}
