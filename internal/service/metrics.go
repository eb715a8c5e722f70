package service

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// metricSet holds the counters of one service.
type metricSet struct {
	// probes counts load probes of all sorts, including failed ones.
	probes *metrics.Counter
	// retries counts all further attempts except hedges, also those after refusals.
	retries *metrics.Counter
	hedges  *metrics.Counter
	// resumes counts long responses that were resumed from another target.
	resumes *metrics.Counter
	// refusals counts attempts that the target refused.
	refusals *metrics.Counter
	// rejected counts attempts for which the instance's scheduler granted no target,
	// without hedges and resumptions.
	rejected *metrics.Counter
	// backoffs counts the responses with which targets asked to be sent nothing.
	backoffs *metrics.Counter
	// warmUpCalls counts the calls that were granted a target which was warming up.
	warmUpCalls *metrics.Counter
	// warmUpRejected counts the calls that were rejected because all targets were warming
	// up.
	warmUpRejected *metrics.Counter
}

func newMetricSet(s *metrics.Set, service string) metricSet {
	counter := func(name string) *metrics.Counter {
		return s.GetOrCreateCounter(fmt.Sprintf("tarragonwell_%s_total{service=%q}", name, service))
	}
	// The published name "refused" means rejected by this instance; refusals by targets
	// are published as "sheds".
	return metricSet{
		probes:         counter("probes"),
		retries:        counter("retries"),
		hedges:         counter("hedges"),
		resumes:        counter("resumes"),
		refusals:       counter("sheds"),
		rejected:       counter("refused"),
		backoffs:       counter("backoffs"),
		warmUpCalls:    counter("warm_up_calls"),
		warmUpRejected: counter("warm_up_refused"),
	}
}
