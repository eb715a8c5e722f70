package platform

import "time"

// outageLogger logs the start and the end of each outage of the platform, as seen by
// this instance. Set watcher before use.
type outageLogger struct {
	watcher *Watcher
	// downSince is the time of the first failed read of an outage; zero while reads
	// succeed.
	downSince time.Time
	// failures counts the failed reads of the outage.
	failures int
}

func (o *outageLogger) recordFailure(err error) {
	o.failures++
	c := o.watcher.Common
	c.Log.Debug("platform read failed", "value", o.watcher.Name, "error", err)
	if !o.downSince.IsZero() {
		return
	}
	o.downSince = c.Clock.Now()
	_, confirmed := o.watcher.ReaderStatus()
	// The key contact-age-ms is the age of the platform's last confirmation; -1 stands
	// for no confirmation yet.
	age := int64(-1)
	if !confirmed.IsZero() {
		age = o.downSince.Sub(confirmed).Milliseconds()
	}
	c.Log.Warn("dependency-lost", "dependency", "platform", "value", o.watcher.Name, "error", err, "contact-age-ms", age)
}

func (o *outageLogger) recordSuccess() {
	if o.downSince.IsZero() {
		return
	}
	c := o.watcher.Common
	c.Log.Info("dependency-regained", "dependency", "platform", "value", o.watcher.Name,
		"after-ms", c.Clock.Now().Sub(o.downSince).Milliseconds(), "failures", o.failures)
	o.downSince = time.Time{}
	o.failures = 0
}
