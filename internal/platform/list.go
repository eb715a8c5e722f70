package platform

import (
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// ownService is the name under which the system's own instances are listed.
	ownService   = "tarragonwell"
	stateLeaving = "leaving"
	stateLive    = "live"
)

// ListOf turns a message into a list.
func ListOf(m *pb.InstanceList) *tarragonwell.InstanceList {
	out := &tarragonwell.InstanceList{
		Revision: m.GetRevision(),
	}
	for _, i := range m.GetInstances() {
		leaving := i.GetState() == stateLeaving
		if i.GetService() == ownService {
			out.Instances = append(out.Instances, tarragonwell.ListedInstance{
				Address:     i.GetAddress(),
				PeerAddress: i.GetPeerAddress(),
				DataCenter:  i.GetDataCenter(),
				Leaving:     leaving,
			})
			continue
		}
		out.Targets = append(out.Targets, tarragonwell.ListedTarget{
			Service:    i.GetService(),
			Address:    i.GetAddress(),
			DataCenter: i.GetDataCenter(),
			Leaving:    leaving,
		})
	}
	return out
}

// ListMessage turns a list into its message.
func ListMessage(l *tarragonwell.InstanceList) *pb.InstanceList {
	out := &pb.InstanceList{
		Revision: l.Revision,
	}
	for _, i := range l.Instances {
		out.Instances = append(out.Instances, &pb.ListedInstance{
			Service:     ownService,
			Address:     i.Address,
			DataCenter:  i.DataCenter,
			State:       stateText(i.Leaving),
			PeerAddress: i.PeerAddress,
		})
	}
	for _, t := range l.Targets {
		out.Instances = append(out.Instances, &pb.ListedInstance{
			Service:    t.Service,
			Address:    t.Address,
			DataCenter: t.DataCenter,
			State:      stateText(t.Leaving),
		})
	}
	return out
}

func stateText(leaving bool) string {
	if leaving {
		return stateLeaving
	}
	return stateLive
}
