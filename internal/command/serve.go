package command

import (
	"context"
	"errors"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/instance"
	"github.com/tarragonwell/tarragonwell/internal/logs"
	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
	"github.com/tarragonwell/tarragonwell/platform"
)

// serveCommand runs one instance.
type serveCommand struct {
	Settings string   `help:"The settings file of the instance." required:"" type:"path" placeholder:"FILE"`
	Set      []string `help:"Replace a setting of the file, as in limits.operations=1000. Without a value, the setting of the file stays." sep:"none" placeholder:"KEY=VALUE"`
}

// runInBackground runs a function in a goroutine. The function that it returns ends
// the context of run and waits until run has returned.
func runInBackground(run func(context.Context)) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// adapters returns the adapters to the platform, callers and targets for the
// protocol of the platform in the settings: those of package platform for
// settingsfile.PlatformPrepared, otherwise the built-in ones.
func adapters(s *settingsfile.Settings) instance.Adapters {
	if s.PlatformProtocol == settingsfile.PlatformPrepared {
		return instance.Adapters{
			Platform: platform.New(s),
			Callers:  platform.CallerDialect{},
			Targets:  platform.TargetDialect{},
		}
	}
	return instance.DefaultAdapters(s)
}

// Run implements the command.
func (c *serveCommand) Run(o *Output) error {
	s, err := settingsfile.Load(c.Settings, c.Set...)
	if err != nil {
		return errors.Join(errUsage, err)
	}
	sink := logs.NewSink(o.Stdout, logs.DefaultBytesPerSecond)
	l, err := common.NewLogger(sink.Urgent(), s.LogLevel, s.Name)
	if err != nil {
		return err
	}
	routineLog, err := common.NewLogger(sink.Routine(), s.LogLevel, s.Name)
	if err != nil {
		return err
	}
	defer runInBackground(sink.Run)()
	logs.RedirectStandard(routineLog)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l.Info("starting", "callers", s.CallerListenAddress, "peers", s.PeerListenAddress, "operators", s.OperatorListenAddress, "version", version())
	i := instance.New(s, l, routineLog, adapters(s))
	r := &reloader{
		path:      c.Settings,
		overrides: c.Set,
		instance:  i,
		log:       l,
		softLimit: debug.SetMemoryLimit(-1),
	}
	r.setMemoryLimit(s)
	defer runInBackground(r.run)()
	if err := i.Run(ctx); err != nil {
		l.Error("failed", "error", err)
		return err
	}
	l.Info("stopped")
	return nil
}
