package platform

import "time"

// dependency tells in the log when the platform stops and begins to answer this
// instance. The zero value has asked nothing.
type dependency struct {
	watcher *Watcher
	// lost is when the platform stopped to answer; zero while it answers.
	lost     time.Time
	failures int
}

func (d *dependency) failed(err error) {
	d.failures++
	c := d.watcher.Common
	c.Log.Debug("platform read failed", "value", d.watcher.Name, "error", err)
	if !d.lost.IsZero() {
		return
	}
	d.lost = c.Clock.Now()
	_, contact := d.watcher.ReaderStatus()
	age := int64(-1)
	if !contact.IsZero() {
		age = d.lost.Sub(contact).Milliseconds()
	}
	c.Log.Warn("dependency-lost", "dependency", "platform", "value", d.watcher.Name, "error", err, "contact-age-ms", age)
}

func (d *dependency) answered() {
	if d.lost.IsZero() {
		return
	}
	c := d.watcher.Common
	c.Log.Info("dependency-regained", "dependency", "platform", "value", d.watcher.Name,
		"after-ms", c.Clock.Now().Sub(d.lost).Milliseconds(), "failures", d.failures)
	d.lost = time.Time{}
	d.failures = 0
}
