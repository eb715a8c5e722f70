package platform

import (
	"github.com/tarragonwell/tarragonwell/internal/common"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// decodeList converts a message to a complete list. On the wire, targets are instances
// of their service, and load balancer instances are those of the service
// common.InstanceServiceName. The platform assigns no IDs to targets, so the address of
// a target serves as its ID.
func decodeList(m *pb.InstanceList) *tarragonwell.ListChange {
	out := &tarragonwell.ListChange{
		Revision: m.GetRevision(),
	}
	for _, i := range m.GetInstances() {
		leaving := i.GetState() == common.StateLeaving
		if i.GetService() == common.InstanceServiceName {
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
