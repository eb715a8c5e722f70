// Command standin runs stand-ins for the system's environment: the platform, the
// balancer in front of the instances, and targets.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/tarragonwell/tarragonwell/internal/platform"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/test/standin/balancer"
	standin "github.com/tarragonwell/tarragonwell/test/standin/platform"
	"github.com/tarragonwell/tarragonwell/test/standin/target"
)

type commands struct {
	Platform platformCommand `cmd:"" help:"The configuration service and the list of instances."`
	Balancer balancerCommand `cmd:"" help:"Relay connections to the listed instances in turn."`
	Target   targetCommand   `cmd:"" help:"One or more targets."`
}

type platformCommand struct {
	Listen string `required:"" help:"Address to listen on."`
	Rules  string `required:"" type:"path" help:"Rules file to publish, again after each edit."`
}

const pollInterval = 100 * time.Millisecond

// Run publishes the rules file whenever its content changes.
func (c *platformCommand) Run(ctx context.Context) error {
	p := standin.New(c.Listen)
	if err := p.Start(ctx); err != nil {
		return err
	}
	published := ""
	for ctx.Err() == nil {
		content, err := os.ReadFile(c.Rules)
		if err == nil && string(content) != published {
			published = string(content)
			p.Publish(content)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

type balancerCommand struct {
	Listen   string        `required:"" help:"Address to listen on."`
	Platform string        `required:"" help:"Address of the platform."`
	Lag      time.Duration `default:"1s" help:"How far the balancer's list lags."`
}

// Run applies the platform's list of instances after the lag.
func (c *balancerCommand) Run(ctx context.Context) error {
	b := balancer.New(c.Listen)
	if err := b.Start(ctx); err != nil {
		return err
	}
	client := &platform.Client{
		Address: c.Platform,
		HTTP:    &http.Client{},
	}
	feed := client.Instances()
	var position tarragonwell.PlatformPosition
	for ctx.Err() == nil {
		p, err := feed.Watch(ctx, position, time.Second)
		if err != nil || p.List == nil {
			time.Sleep(pollInterval)
			continue
		}
		position.List = p.List.Position()
		var live []string
		for _, i := range p.List.Instances {
			if !i.Leaving {
				live = append(live, i.Address)
			}
		}
		time.AfterFunc(c.Lag, func() { b.SetInstances(live) })
	}
	return nil
}

type targetCommand struct {
	Listen    []string `required:"" help:"Addresses to listen on, one target each."`
	Slots     int      `default:"5"`
	Queue     int      `default:"10"`
	ServiceMs float64  `default:"8" help:"Mean time of a short call."`
	LongBytes int      `default:"200000"`
	LongMs    float64  `default:"400"`
	ProbeMs   float64  `default:"5"`
}

// Run starts the targets and waits until ctx ends.
func (c *targetCommand) Run(ctx context.Context) error {
	for n, a := range c.Listen {
		t := target.New(a, target.Behaviour{
			Slots:       c.Slots,
			Queue:       c.Queue,
			Connections: 250,
			ServiceMs:   c.ServiceMs,
			LongBytes:   c.LongBytes,
			LongMs:      c.LongMs,
			ProbeMs:     c.ProbeMs,
		}, uint64(n+1))
		if err := t.Start(ctx); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var c commands
	k := kong.Parse(&c, kong.Name("standin"), kong.BindTo(ctx, (*context.Context)(nil)))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
