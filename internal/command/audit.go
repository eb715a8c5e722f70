package command

import (
	"context"
	"encoding/json"
	"os/signal"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"github.com/tarragonwell/tarragonwell/internal/operator"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
)

// auditCommand prints the audit trail of an instance.
type auditCommand struct {
	From   string `help:"The address where the instance listens for operators (listen.operators)." placeholder:"IP:PORT" required:""`
	Follow bool   `help:"Continue to print changes as they occur."`
}

// auditLine is one line of output, in JSON.
type auditLine struct {
	Time       string `json:"time"`
	Instance   string `json:"instance"`
	Sequence   uint64 `json:"sequence"`
	Event      string `json:"event"`
	Revision   uint64 `json:"revision,omitempty"`
	AskedBy    string `json:"asked-by,omitempty"`
	LearntFrom string `json:"learnt-from,omitempty"`
	Detail     string `json:"detail,omitempty"`
}

// Run implements the command.
func (c *auditCommand) Run(o *Output) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	request := &pb.AuditRequest{
		Follow: c.Follow,
	}
	stream, err := operator.NewClient(c.From).Audit(ctx, connect.NewRequest(request))
	if err != nil {
		return err
	}
	defer stream.Close()
	encoder := json.NewEncoder(o.Stdout)
	for stream.Receive() {
		if err := encoder.Encode(newAuditLine(stream.Msg().GetRecord())); err != nil {
			return err
		}
	}
	if ctx.Err() != nil {
		return nil
	}
	return stream.Err()
}

func newAuditLine(r *pb.AuditRecord) auditLine {
	return auditLine{
		Time:       time.UnixMilli(r.GetTimeUnixMs()).UTC().Format(time.RFC3339Nano),
		Instance:   r.GetInstance(),
		Sequence:   r.GetSequence(),
		Event:      r.GetEvent(),
		Revision:   r.GetRevision(),
		AskedBy:    r.GetAskedBy(),
		LearntFrom: r.GetLearntFrom(),
		Detail:     r.GetDetail(),
	}
}
