package service

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// metricSet holds the counters of one service.
type metricSet struct {
	probes   *metrics.Counter
	retries  *metrics.Counter
	hedges   *metrics.Counter
	resumes  *metrics.Counter
	refusals *metrics.Counter
	rejected *metrics.Counter
}

func newMetricSet(s *metrics.Set, service string) metricSet {
	counter := func(name string) *metrics.Counter {
		return s.GetOrCreateCounter(fmt.Sprintf("tarragonwell_%s_total{service=%q}", name, service))
	}
	// The published name "refused" means rejected by this instance; refusals by targets
	// are published as "sheds".
	return metricSet{
		probes:   counter("probes"),
		retries:  counter("retries"),
		hedges:   counter("hedges"),
		resumes:  counter("resumes"),
		refusals: counter("sheds"),
		rejected: counter("refused"),
	}
}
