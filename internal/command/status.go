package command

import (
	"context"
	"fmt"
	"text/tabwriter"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/tarragonwell/tarragonwell/internal/operator"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
)

// statusCommand prints the status of an instance.
type statusCommand struct {
	From string `help:"The address where the instance listens for operators (listen.operators)." placeholder:"IP:PORT" required:""`
	JSON bool   `help:"Print JSON instead of tables." name:"json"`
}

// Run implements the command.
func (c *statusCommand) Run(o *Output) error {
	response, err := operator.NewClient(c.From).Status(context.Background(), connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return err
	}
	if c.JSON {
		content, err := protojson.MarshalOptions{
			Multiline:       true,
			EmitUnpopulated: true,
		}.Marshal(response.Msg)
		if err != nil {
			return err
		}
		fmt.Fprintln(o.Stdout, string(content))
		return nil
	}
	return printStatus(o, response.Msg)
}

func printStatus(o *Output, s *pb.StatusResponse) error {
	fmt.Fprintf(o.Stdout, "instance %s  data-center %s  state %s\n", s.GetInstance(), s.GetDataCenter(), s.GetState())
	fmt.Fprintf(o.Stdout, "rules revision %d  digest %.12s  platform last confirmed %d ms ago\n", s.GetRulesRevision(), s.GetRulesDigest(), s.GetPlatformAgeMs())
	if s.GetListEra() > 0 {
		fmt.Fprintf(o.Stdout, "platform era %d  list revision %d\n", s.GetListEra(), s.GetListRevision())
	}
	if s.GetRefusal() != "" {
		fmt.Fprintf(o.Stdout, "revision %d was refused: %s\n", s.GetRefusedRevision(), s.GetRefusal())
	}
	for _, d := range s.GetDrains() {
		printDrain(o, d, true)
	}
	fmt.Fprintf(o.Stdout, "operations retained %d (%d bytes)\n", s.GetOperations(), s.GetOperationBytes())
	w := tabwriter.NewWriter(o.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nPEER\tDATA-CENTER\tSTATE")
	for _, p := range s.GetPeers() {
		state := p.GetState().String()[len("MEMBER_STATE_"):]
		fmt.Fprintf(w, "%s\t%s\t%s\n", p.GetPeerAddress(), p.GetDataCenter(), state)
	}
	for _, x := range s.GetServices() {
		fmt.Fprintf(w, "\nSERVICE %s\tpolicy %s\tin flight %d\tqueued %d\tlimit %.0f\n", x.GetName(), x.GetPolicy(), x.GetInFlight(), x.GetQueued(), x.GetLimit())
		// OTHERS is the number of calls of other instances at the target.
		fmt.Fprintln(w, "TARGET\tDATA-CENTER\tSTATE\tIN-FLIGHT\tOTHERS\tLATENCY-MS\tSENT\tFAILED\tSHED\tPROBES\tWARM-UP-MS\tSENDER")
		for _, t := range x.GetTargets() {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1f\t%.2f\t%d\t%d\t%d\t%d\t%d\t%v\n", t.GetAddress(), t.GetDataCenter(), t.GetState(),
				t.GetInFlight(), t.GetReportedLoad(), t.GetLatencyMs(), t.GetSent(), t.GetFailed(), t.GetShed(), t.GetProbes(), t.GetWarmUpMs(), t.GetWarmUpSender())
		}
	}
	return w.Flush()
}
