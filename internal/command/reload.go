package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/tarragonwell/tarragonwell/internal/instance"
	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
)

// settingsPollInterval is how often the settings file is looked at: it may change
// without a signal.
const settingsPollInterval = 2 * time.Second

// reloader keeps an instance's settings current. One goroutine owns it.
type reloader struct {
	path     string
	instance *instance.Instance
	log      *log.Logger
	// modified and size are those of the file that was last read.
	modified time.Time
	size     int64
}

// run reads the settings again on SIGHUP, and when the file changes, until ctx
// ends. Without it SIGHUP would end the process.
func (r *reloader) run(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	r.fileChanged()
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.fileChanged()
			r.reload("signal")
		case <-ticker.C:
			if r.fileChanged() {
				r.reload("file changed")
			}
		}
	}
}

// fileChanged reports whether the file is another one than last time.
func (r *reloader) fileChanged() bool {
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

// reload takes in the settings, or keeps those in force.
func (r *reloader) reload(cause string) {
	s, err := settingsfile.Load(r.path)
	if err != nil {
		r.log.Error("settings-refused", "cause", cause, "error", err)
		return
	}
	waiting := r.instance.Reload(s)
	r.log.Info("settings-reloaded", "cause", cause, "after-restart", waiting)
}
