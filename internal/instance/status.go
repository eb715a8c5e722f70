package instance

import (
	"cmp"
	"context"
	"encoding/hex"
	"slices"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/operator"
	"github.com/tarragonwell/tarragonwell/internal/peer"
	"github.com/tarragonwell/tarragonwell/internal/service"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

var _ operator.InstanceState = (*Instance)(nil)

// Ready implements operator.InstanceState.
func (i *Instance) Ready() bool {
	return i.ready.Load()
}

// Rules implements operator.InstanceState.
func (i *Instance) Rules() *tarragonwell.RuleSet {
	return i.reconciler.Rules()
}

// Status implements operator.InstanceState. It omits services and operations that do
// not respond before ctx ends.
func (i *Instance) Status(ctx context.Context) *pb.StatusResponse {
	snap := i.reconciler.snapshot.Load()
	s := i.peers.Snapshot()
	out := &pb.StatusResponse{
		Instance:        i.common.Settings.Name,
		DataCenter:      i.common.Settings.DataCenter,
		State:           s.State.String(),
		Incarnation:     hex.EncodeToString(i.common.Incarnation[:]),
		RefusedRevision: snap.refusal.version.Revision,
		Refusal:         snap.refusal.reason,
		Drains:          i.Drains(),
		ListEra:         snap.list.Era,
		ListRevision:    snap.list.Revision,
	}
	if set := i.reconciler.Rules(); set != nil {
		out.RulesRevision = set.Version.Revision
		out.RulesDigest = hex.EncodeToString(set.Version.Digest)
	}
	if !s.PlatformConfirmedAt.IsZero() {
		out.PlatformAgeMs = uint32(i.common.Clock.Now().Sub(s.PlatformConfirmedAt).Milliseconds())
	}
	for _, m := range s.Alive {
		out.Peers = append(out.Peers, peer.MemberToProto(m))
	}
	for _, x := range snap.services {
		if status, err := x.Status(ctx); err == nil {
			out.Services = append(out.Services, serviceToProto(status))
		}
	}
	slices.SortFunc(out.Services, func(a, b *pb.ServiceStatus) int {
		return cmp.Compare(a.GetName(), b.GetName())
	})
	if i.operations == nil {
		return out
	}
	if size, err := i.operations.Stats(ctx); err == nil {
		out.Operations = uint32(size.Entries)
		out.OperationBytes = uint64(size.Bytes)
	}
	return out
}

func serviceToProto(s service.Status) *pb.ServiceStatus {
	out := &pb.ServiceStatus{
		Name:     s.Name,
		InFlight: uint32(max(0, s.InFlight)),
		Queued:   uint32(s.Queued),
		Limit:    s.Limit,
		Policy:   s.Policy,
	}
	for _, t := range s.Targets {
		out.Targets = append(out.Targets, &pb.TargetStatus{
			Service:    s.Name,
			Address:    t.Address,
			DataCenter: t.DataCenter,
			State:      targetState(&t, s.Now),
			InFlight:   uint32(t.InFlight),
			// reported_load is the published name of ExternalCalls: the reported calls
			// without those of this instance.
			ReportedLoad: t.ExternalCalls,
			LatencyMs:    float64(t.Latency) / float64(time.Millisecond),
			Sent:         t.Sent,
			Failed:       t.Failed,
			Shed:         t.Shed,
			Probes:       t.Probes,
			Drained:      t.Drained,
			WarmUpMs:     uint32(s.WarmUps[t.ID].Remaining.Milliseconds()),
			WarmUpSender: s.WarmUps[t.ID].Sender,
		})
	}
	return out
}

// targetState returns the state to display. A target whose ejection or backoff is over is
// serving, even if its trial call is still in flight.
func targetState(t *tarragonwell.TargetState, now time.Time) string {
	switch {
	case t.Drained:
		return "drained"
	case t.Leaving(now):
		return "leaving"
	case now.Before(t.BackoffUntil):
		return "backoff"
	case now.Before(t.EjectedUntil):
		return "ejected"
	case now.Before(t.ReturnAt):
		return "returning"
	default:
		return "serving"
	}
}
