package command

import (
	"context"
	"errors"
	"os/signal"
	"syscall"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/instance"
	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
	"github.com/tarragonwell/tarragonwell/platform"
)

// serveCommand runs one instance.
type serveCommand struct {
	Settings string `help:"The instance's settings file." required:"" type:"path" placeholder:"FILE"`
}

// surroundings are what the settings say that the instance runs among.
func surroundings(s *settingsfile.Settings) instance.Surroundings {
	if s.PlatformKind == settingsfile.PlatformPrepared {
		return instance.Surroundings{
			Platform: platform.New(s),
			Callers:  platform.Callers{},
			Targets:  platform.Targets{},
		}
	}
	return instance.Own(s)
}

// Run implements the command.
func (c *serveCommand) Run(o *Output) error {
	s, err := settingsfile.Load(c.Settings)
	if err != nil {
		return errors.Join(errUsage, err)
	}
	l, err := common.NewLogger(o.Err, s.LogLevel, s.Name)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l.Info("starting", "callers", s.Callers, "peers", s.Peers, "operators", s.Operators, "version", version())
	if err := instance.New(s, l, surroundings(s)).Run(ctx); err != nil {
		return err
	}
	l.Info("stopped")
	return nil
}
