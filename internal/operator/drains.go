package operator

import (
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/drains"
)

// DrainsToProto converts drains and the number of targets that each affects. affected is
// nil if the list of targets is not known.
func DrainsToProto(inForce []tarragonwell.DrainInForce, affected []int) []*pb.DrainStatus {
	var out []*pb.DrainStatus
	for n, d := range inForce {
		m := &pb.DrainStatus{
			DataCenter:       d.DataCenter,
			PlatformRevision: d.Revision,
			Line:             uint32(d.Line.Number),
			AskedBy:          d.Line.AskedBy,
			Source:           drains.Source(d),
		}
		if affected != nil {
			m.Targets = uint32(affected[n])
		}
		out = append(out, m)
	}
	return out
}
