package command

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/internal/operator"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
)

var errNoRule = eris.New("no rule routes this request")

// explainCommand prints the rules that apply to a request.
type explainCommand struct {
	Method string `arg:"" help:"The method of the request, such as GET."`
	Path   string `arg:"" help:"The path of the request, such as /bookings/7."`
	Host   string `help:"The host of the request, for rules with hosts." placeholder:"HOST"`
	Rules  string `help:"Read the rules from this file." type:"path" placeholder:"FILE" xor:"source" required:""`
	From   string `help:"Query the instance that listens for operators at this address (listen.operators)." placeholder:"IP:PORT" xor:"source" required:""`
}

// Run implements the command.
func (c *explainCommand) Run(o *Output) error {
	response, err := c.explain()
	if err != nil {
		return err
	}
	if !response.GetFound() {
		return errNoRule
	}
	if c.From != "" {
		fmt.Fprintf(o.Stdout, "revision %d, in force at %s\n", response.GetRevision(), c.From)
	}
	for _, r := range response.GetRules() {
		fmt.Fprintf(o.Stdout, "line %d, asked for by: %s\n    %s\n", r.GetLine(), r.GetAskedBy(), r.GetText())
	}
	for _, d := range response.GetDrains() {
		printDrain(o, d, c.From != "")
	}
	return nil
}

// explain returns the rules that apply to the request, from a rules file or from a
// query to an instance.
func (c *explainCommand) explain() (*pb.ExplainResponse, error) {
	request := &pb.ExplainRequest{
		Method: c.Method,
		Path:   c.Path,
		Host:   c.Host,
	}
	if c.Rules != "" {
		set, err := readRules(c.Rules)
		if err != nil {
			return nil, err
		}
		return operator.NewExplainResponse(set, request), nil
	}
	response, err := operator.NewClient(c.From).Explain(context.Background(), connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}
