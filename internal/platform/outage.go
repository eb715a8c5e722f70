package platform

import "time"

// outageLogger tells in the log when the platform stops and begins to answer this
// instance. The zero value has asked nothing.
type outageLogger struct {
	watcher *Watcher
	// downSince is when the platform stopped to answer; zero while it answers.
	downSince time.Time
	failures  int
}

func (d *outageLogger) recordFailure(err error) {
	d.failures++
	c := d.watcher.Common
	c.Log.Debug("platform read failed", "value", d.watcher.Name, "error", err)
	if !d.downSince.IsZero() {
		return
	}
	d.downSince = c.Clock.Now()
	_, contact := d.watcher.ReaderStatus()
	age := int64(-1)
	if !contact.IsZero() {
		age = d.downSince.Sub(contact).Milliseconds()
	}
	c.Log.Warn("dependency-lost", "dependency", "platform", "value", d.watcher.Name, "error", err, "contact-age-ms", age)
}

func (d *outageLogger) recordSuccess() {
	if d.downSince.IsZero() {
		return
	}
	c := d.watcher.Common
	c.Log.Info("dependency-regained", "dependency", "platform", "value", d.watcher.Name,
		"after-ms", c.Clock.Now().Sub(d.downSince).Milliseconds(), "failures", d.failures)
	d.downSince = time.Time{}
	d.failures = 0
}
