package peer

import (
	"github.com/tarragonwell/tarragonwell/internal/common"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// rulesToProto converts published rules, without their digest. It returns nil for nil.
func rulesToProto(r *tarragonwell.PublishedRules) *pb.FetchRulesResponse {
	if r == nil {
		return nil
	}
	return &pb.FetchRulesResponse{
		Version: versionToProto(r.Position()),
		Content: r.Content,
	}
}

// rulesFromProto converts published rules. It returns nil for nil.
func rulesFromProto(m *pb.FetchRulesResponse) *tarragonwell.PublishedRules {
	if m == nil {
		return nil
	}
	return &tarragonwell.PublishedRules{
		Generation: m.GetVersion().GetGeneration(),
		Era:        m.GetVersion().GetEra(),
		Revision:   m.GetVersion().GetRevision(),
		Content:    m.GetContent(),
	}
}

// listChangeToProto converts a change of the list. It returns nil for nil.
func listChangeToProto(c *tarragonwell.ListChange) *pb.ListChange {
	if c == nil {
		return nil
	}
	m := &pb.ListChange{
		Era:      c.Era,
		Since:    c.Since,
		Revision: c.Revision,
	}
	for _, t := range c.Targets {
		m.Targets = append(m.Targets, &pb.ListedTarget{
			Id:         t.ID,
			Service:    t.Service,
			Address:    t.Address,
			DataCenter: t.DataCenter,
			Leaving:    t.Leaving,
			Slots:      uint32(max(0, t.Slots)),
			Born:       t.Born,
			// cold_ms is the remaining warm-up.
			ColdMs:   toMillis(t.WarmUpRemaining),
			Revision: t.Revision,
		})
	}
	for _, r := range c.Removed {
		m.Removed = append(m.Removed, &pb.RemovedTarget{
			Id:       r.ID,
			Revision: r.Revision,
		})
	}
	for _, i := range c.Instances {
		m.Instances = append(m.Instances, &pb.ListedInstance{
			Service:     common.InstanceServiceName,
			Address:     i.Address,
			DataCenter:  i.DataCenter,
			PeerAddress: i.PeerAddress,
			State:       listedState(i.Leaving),
		})
	}
	m.Drains = drainsToProto(c.Drains)
	m.EndedDrains = drainsToProto(c.EndedDrains)
	return m
}

func drainsToProto(list []tarragonwell.DataCenterDrain) []*pb.DataCenterDrain {
	var out []*pb.DataCenterDrain
	for _, d := range list {
		out = append(out, &pb.DataCenterDrain{
			DataCenter: d.DataCenter,
			Revision:   d.Revision,
		})
	}
	return out
}

func drainsFromProto(list []*pb.DataCenterDrain) []tarragonwell.DataCenterDrain {
	var out []tarragonwell.DataCenterDrain
	for _, d := range list {
		out = append(out, tarragonwell.DataCenterDrain{
			DataCenter: d.GetDataCenter(),
			Revision:   d.GetRevision(),
		})
	}
	return out
}

// listedState returns the state of a listed instance, as the platform names it.
func listedState(leaving bool) string {
	if leaving {
		return common.StateLeaving
	}
	return common.StateLive
}

// listChangeFromProto converts a change of the list. It returns nil for nil.
func listChangeFromProto(m *pb.ListChange) *tarragonwell.ListChange {
	if m == nil {
		return nil
	}
	c := &tarragonwell.ListChange{
		Era:      m.GetEra(),
		Since:    m.GetSince(),
		Revision: m.GetRevision(),
	}
	for _, t := range m.GetTargets() {
		c.Targets = append(c.Targets, tarragonwell.ListedTarget{
			ID:              t.GetId(),
			Service:         t.GetService(),
			Address:         t.GetAddress(),
			DataCenter:      t.GetDataCenter(),
			Leaving:         t.GetLeaving(),
			Slots:           int(t.GetSlots()),
			Born:            t.GetBorn(),
			WarmUpRemaining: fromMillis(t.GetColdMs()),
			Revision:        t.GetRevision(),
		})
	}
	for _, r := range m.GetRemoved() {
		c.Removed = append(c.Removed, tarragonwell.RemovedTarget{
			ID:       r.GetId(),
			Revision: r.GetRevision(),
		})
	}
	for _, i := range m.GetInstances() {
		c.Instances = append(c.Instances, tarragonwell.ListedInstance{
			Address:     i.GetAddress(),
			DataCenter:  i.GetDataCenter(),
			PeerAddress: i.GetPeerAddress(),
			Leaving:     i.GetState() == common.StateLeaving,
		})
	}
	c.Drains = drainsFromProto(m.GetDrains())
	c.EndedDrains = drainsFromProto(m.GetEndedDrains())
	return c
}
