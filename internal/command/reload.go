package command

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/internal/instance"
	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
)

// settingsPollInterval is the time between two checks of the settings file, which
// can change without a signal.
const settingsPollInterval = 2 * time.Second

// reloader applies changed settings to a running instance. One goroutine owns it.
type reloader struct {
	path string
	// overrides replace settings of the file.
	overrides []string
	instance  *instance.Instance
	log       *log.Logger
	// modified and size are those of the file at the last check.
	modified time.Time
	size     int64
	// softLimit is the runtime's memory limit while the settings state none: that of the
	// environment, if it has one.
	softLimit int64
}

// setMemoryLimit sets the runtime's soft memory limit from the settings.
func (r *reloader) setMemoryLimit(s *settingsfile.Settings) {
	limit := s.MemoryPlan().SoftLimit
	if limit <= 0 {
		limit = r.softLimit
	}
	if before := debug.SetMemoryLimit(limit); before != limit {
		r.log.Info("memory-limit", "memory", s.MemoryBytes, "soft-limit", limit, "account", s.MemoryPlan().Account)
	}
}

// run reloads the settings on SIGHUP and when the file changes, until ctx ends.
// While it runs, SIGHUP does not end the process.
func (r *reloader) run(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	r.pollFile() // Record the state of the file at the start.
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.pollFile()
			r.reload("signal")
		case <-ticker.C:
			if r.pollFile() {
				r.reload("file changed")
			}
		}
	}
}

// pollFile records the modification time and the size of the file and reports
// whether either has changed since the last call. A file that can't be read counts
// as unchanged.
func (r *reloader) pollFile() bool {
	info, err := os.Stat(r.path)
	if err != nil {
		r.log.Warn("settings-unreadable", "file", r.path, "error", err)
		return false
	}
	same := info.ModTime().Equal(r.modified) && info.Size() == r.size
	r.modified = info.ModTime()
	r.size = info.Size()
	return !same
}

// load reads the settings file. A panic is an error, as the file may hold anything.
func (r *reloader) load() (s *settingsfile.Settings, err error) {
	defer func() {
		if x := recover(); x != nil {
			err = eris.Errorf("panic: %v", x)
		}
	}()
	return settingsfile.Load(r.path, r.overrides...)
}

// reload applies the settings in the file. If they are invalid, the instance keeps
// its present settings.
func (r *reloader) reload(cause string) {
	s, err := r.load()
	if err != nil {
		r.log.Error("settings-refused", "cause", cause, "error", err)
		return
	}
	// The names of the changed settings that take effect only after a restart.
	needRestart := r.instance.Reload(s)
	r.setMemoryLimit(s)
	r.log.Info("settings-reloaded", "cause", cause, "after-restart", needRestart)
}
