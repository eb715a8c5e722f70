package peer

import (
	"time"

	"github.com/tarragonwell/tarragonwell/internal/operations"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// MemberToProto converts a member.
func MemberToProto(m tarragonwell.Member) *pb.Member {
	return &pb.Member{
		PeerAddress:   m.PeerAddress,
		DataCenter:    m.DataCenter,
		Incarnation:   m.Incarnation[:],
		StartedUnixMs: m.Started.UnixMilli(),
		State:         pb.MemberState(m.State),
		Heartbeat:     m.Heartbeat,
		AgeMs:         toMillis(m.Age),
	}
}

func memberFromProto(m *pb.Member) tarragonwell.Member {
	return tarragonwell.Member{
		PeerAddress: m.GetPeerAddress(),
		DataCenter:  m.GetDataCenter(),
		Incarnation: incarnationFromProto(m.GetIncarnation()),
		Started:     time.UnixMilli(m.GetStartedUnixMs()),
		State:       tarragonwell.MemberState(m.GetState()),
		Heartbeat:   m.GetHeartbeat(),
		Age:         fromMillis(m.GetAgeMs()),
	}
}

func membersToProto(members []tarragonwell.Member) []*pb.Member {
	var out []*pb.Member
	for _, m := range members {
		out = append(out, MemberToProto(m))
	}
	return out
}

func suspicionsToProto(suspicions []tarragonwell.MemberSuspicion) []*pb.MemberSuspicion {
	var out []*pb.MemberSuspicion
	for _, s := range suspicions {
		out = append(out, &pb.MemberSuspicion{
			Incarnation: s.Incarnation[:],
			AgeMs:       toMillis(s.Age),
		})
	}
	return out
}

func suspicionFromProto(s *pb.MemberSuspicion) tarragonwell.MemberSuspicion {
	return tarragonwell.MemberSuspicion{
		Incarnation: incarnationFromProto(s.GetIncarnation()),
		Age:         fromMillis(s.GetAgeMs()),
	}
}

func incarnationFromProto(b []byte) tarragonwell.Incarnation {
	var i tarragonwell.Incarnation
	copy(i[:], b)
	return i
}

func versionToProto(v tarragonwell.RulesVersion) *pb.RulesVersion {
	return &pb.RulesVersion{
		Revision:   v.Revision,
		Digest:     v.Digest,
		Era:        v.Era,
		Generation: v.Generation,
	}
}

func versionFromProto(v *pb.RulesVersion) tarragonwell.RulesVersion {
	return tarragonwell.RulesVersion{
		Generation: v.GetGeneration(),
		Era:        v.GetEra(),
		Revision:   v.GetRevision(),
		Digest:     v.GetDigest(),
	}
}

func holderToProto(h tarragonwell.Holder, now time.Time) *pb.Holder {
	return &pb.Holder{
		Incarnation: h.Incarnation[:],
		PeerAddress: h.PeerAddress,
		Generation:  h.Generation,
		RemainingMs: toMillis(h.ExpiresAt.Sub(now)),
	}
}

func holderFromProto(h *pb.Holder, now time.Time) tarragonwell.Holder {
	return tarragonwell.Holder{
		Incarnation: incarnationFromProto(h.GetIncarnation()),
		PeerAddress: h.GetPeerAddress(),
		Generation:  h.GetGeneration(),
		ExpiresAt:   now.Add(fromMillis(h.GetRemainingMs())),
	}
}

// leavingToProto converts the announcement of a leaving target. The schema's address
// field holds the target's ID.
func leavingToProto(l tarragonwell.LeavingTarget, now time.Time) *pb.LeavingTarget {
	return &pb.LeavingTarget{
		Service:     l.Service,
		Address:     l.ID,
		Born:        l.Born,
		RemainingMs: toMillis(l.ExpiresAt.Sub(now)),
	}
}

func leavingFromProto(l *pb.LeavingTarget, now time.Time) tarragonwell.LeavingTarget {
	return tarragonwell.LeavingTarget{
		Service:   l.GetService(),
		ID:        l.GetAddress(),
		Born:      l.GetBorn(),
		ExpiresAt: now.Add(min(maxLeavingTTL, fromMillis(l.GetRemainingMs()))),
	}
}

// maxLeavingTTL bounds for how long a peer's announcement is effective.
const maxLeavingTTL = 10 * time.Minute

// toMillis converts a duration to milliseconds, limited to the range 0 to 1<<31.
func toMillis(d time.Duration) uint32 {
	return uint32(max(0, min(d.Milliseconds(), 1<<31)))
}

func fromMillis(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

func headerToProto(h map[string][]string) []*pb.HeaderField {
	var out []*pb.HeaderField
	for name, values := range h {
		out = append(out, &pb.HeaderField{
			Name:   name,
			Values: values,
		})
	}
	return out
}

func headerFromProto(fields []*pb.HeaderField) map[string][]string {
	out := map[string][]string{}
	for _, f := range fields {
		out[f.GetName()] = f.GetValues()
	}
	return out
}

// operationToProto converts an operation. The values of the schema's verbs are one
// higher, since its zero value means unspecified; OperationQuery is the schema's ASK.
func operationToProto(o *tarragonwell.Operation) *pb.OperateRequest {
	return &pb.OperateRequest{
		Ticket:         operations.TicketToProto(o.Ticket),
		Method:         o.Method,
		Path:           o.RequestURI,
		Header:         headerToProto(o.Header),
		Body:           o.Body.Bytes(),
		DeadlineUnixMs: o.Deadline.UnixMilli(),
		RetriesLeft:    uint32(o.RetriesLeft),
		Verb:           pb.OperationVerb(o.Verb + 1),
	}
}

// operationFromProto converts an operation; an unspecified verb means run. It fails if
// the ticket is malformed.
func operationFromProto(m *pb.OperateRequest) (*tarragonwell.Operation, error) {
	t, err := operations.TicketFromProto(m.GetTicket())
	if err != nil {
		return nil, err
	}
	verb := tarragonwell.OperationRun
	if m.GetVerb() != pb.OperationVerb_OPERATION_VERB_UNSPECIFIED {
		verb = tarragonwell.OperationVerb(m.GetVerb() - 1)
	}
	return &tarragonwell.Operation{
		Ticket:      t,
		Verb:        verb,
		Method:      m.GetMethod(),
		RequestURI:  m.GetPath(),
		Header:      headerFromProto(m.GetHeader()),
		Body:        tarragonwell.NewBody(m.GetBody()),
		Deadline:    time.UnixMilli(m.GetDeadlineUnixMs()),
		RetriesLeft: int(m.GetRetriesLeft()),
	}, nil
}

func forwardResponseToProto(r tarragonwell.ForwardResponse) *pb.OperateResponse {
	return &pb.OperateResponse{
		Outcome:   pb.Outcome(r.Result.Outcome),
		Status:    uint32(r.Result.Status),
		Header:    headerToProto(r.Result.Header),
		Body:      r.Result.Body,
		Reason:    r.Result.Reason,
		NotHolder: r.NotHolder,
		Holder:    r.Holder,
	}
}

func forwardResponseFromProto(m *pb.OperateResponse) tarragonwell.ForwardResponse {
	return tarragonwell.ForwardResponse{
		Result: tarragonwell.StoredResult{
			Outcome: tarragonwell.Outcome(m.GetOutcome()),
			Status:  int(m.GetStatus()),
			Header:  headerFromProto(m.GetHeader()),
			Body:    m.GetBody(),
			Reason:  m.GetReason(),
		},
		NotHolder: m.GetNotHolder(),
		Holder:    m.GetHolder(),
	}
}

func handOverToProto(h tarragonwell.OperationHandOver, successor tarragonwell.Incarnation) *pb.HandOverRequest {
	m := &pb.HandOverRequest{
		Incarnation: h.Incarnation[:],
		Key:         h.Key,
		// clock_ms is Age.
		ClockMs:    uint64(h.Age.Milliseconds()),
		Generation: h.Generation,
		Successor:  successor[:],
		Minted:     map[int64]uint32{},
	}
	for k, n := range h.Minted {
		m.Minted[k] = uint32(n)
	}
	for _, e := range h.Entries {
		m.Entries = append(m.Entries, &pb.OperationEntry{
			Sequence:    e.Sequence,
			ExpiryMs:    uint64(e.Expiry.Milliseconds()),
			Fingerprint: e.Fingerprint,
			Outcome:     pb.Outcome(e.Result.Outcome),
			Status:      uint32(e.Result.Status),
			Header:      headerToProto(e.Result.Header),
			Body:        e.Result.Body,
			Reason:      e.Result.Reason,
		})
	}
	return m
}

func handOverFromProto(m *pb.HandOverRequest) tarragonwell.OperationHandOver {
	h := tarragonwell.OperationHandOver{
		Incarnation: incarnationFromProto(m.GetIncarnation()),
		Key:         m.GetKey(),
		Age:         time.Duration(m.GetClockMs()) * time.Millisecond,
		Generation:  m.GetGeneration(),
		Minted:      map[int64]int{},
	}
	for k, n := range m.GetMinted() {
		h.Minted[k] = int(n)
	}
	for _, e := range m.GetEntries() {
		h.Entries = append(h.Entries, tarragonwell.OperationEntry{
			Sequence:    e.GetSequence(),
			Expiry:      time.Duration(e.GetExpiryMs()) * time.Millisecond,
			Fingerprint: e.GetFingerprint(),
			Result: tarragonwell.StoredResult{
				Outcome: tarragonwell.Outcome(e.GetOutcome()),
				Status:  int(e.GetStatus()),
				Header:  headerFromProto(e.GetHeader()),
				Body:    e.GetBody(),
				Reason:  e.GetReason(),
			},
		})
	}
	return h
}
