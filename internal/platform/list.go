package platform

import (
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// ownService is the name under which the system's own instances are listed.
	ownService   = "tarragonwell"
	stateLeaving = "leaving"
)

// listOf turns a message into a whole list.
func listOf(m *pb.InstanceList) *tarragonwell.ListChange {
	out := &tarragonwell.ListChange{
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
			ID:         i.GetAddress(),
			Service:    i.GetService(),
			Address:    i.GetAddress(),
			DataCenter: i.GetDataCenter(),
			Leaving:    leaving,
		})
	}
	return out
}
