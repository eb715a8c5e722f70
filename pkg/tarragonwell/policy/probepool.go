package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	probesPerCall = 3
	probePoolSize = 16
	maxProbeUses  = 3
	probeMaxAge   = time.Second
	// hotLoadQuantile is the quantile of the pooled loads above which a target is hot.
	hotLoadQuantile = 0.75
	// minPooledResponses is the pool size below which targets are chosen at random.
	minPooledResponses = 2
)

// ProbePoolPolicy is a baseline modelled on published probing policies such as
// Prequal: each call sends a few probes, the responses are pooled and reused, and the
// chosen target has the lowest probe latency among those with few requests in flight.
type ProbePoolPolicy struct {
	Random *rand.Rand
	// pool contains at most probePoolSize responses in order of arrival.
	pool []pooledResponse
}

// pooledResponse is a target's response to a probe.
type pooledResponse struct {
	// id is the target's ID.
	id string
	// inFlight is the reported load, incremented each time the response is used.
	inFlight int
	// latency is the time that the probe itself took.
	latency    time.Duration
	receivedAt time.Time
	uses       int
}

// ProbeTargets implements tarragonwell.ProbingPolicy.
func (pp *ProbePoolPolicy) ProbeTargets(_ time.Time, targets []*tarragonwell.TargetState) []int {
	var indexes []int
	for range min(probesPerCall, len(targets)) {
		i := intN(pp.Random, len(targets))
		if !slices.Contains(indexes, i) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// RecordProbe implements tarragonwell.ProbingPolicy.
func (pp *ProbePoolPolicy) RecordProbe(now time.Time, id string, load tarragonwell.LoadReport, latency time.Duration) {
	if len(pp.pool) >= probePoolSize {
		pp.pool = pp.pool[1:]
	}
	pp.pool = append(pp.pool, pooledResponse{
		id:         id,
		inFlight:   load.Total(),
		latency:    latency,
		receivedAt: now,
	})
}

// Choose implements tarragonwell.Policy.
func (pp *ProbePoolPolicy) Choose(now time.Time, _ tarragonwell.ChoiceInput, targets []*tarragonwell.TargetState) int {
	index := map[string]int{}
	for i, t := range targets {
		index[t.ID] = i
	}
	pp.pool = slices.DeleteFunc(pp.pool, func(p pooledResponse) bool {
		_, known := index[p.id]
		return !known || p.uses >= maxProbeUses || now.Sub(p.receivedAt) > probeMaxAge
	})
	if len(pp.pool) < minPooledResponses {
		return intN(pp.Random, len(targets))
	}
	best := pp.bestResponse()
	pp.pool[best].uses++
	pp.pool[best].inFlight++
	return index[pp.pool[best].id]
}

// bestResponse returns the index in pool of the response with the lowest latency among
// the targets that are not hot, or, if all are hot, of the one with the fewest requests
// in flight.
func (pp *ProbePoolPolicy) bestResponse() int {
	loads := make([]int, len(pp.pool))
	for i, p := range pp.pool {
		loads[i] = p.inFlight
	}
	slices.Sort(loads)
	hot := loads[int(float64(len(loads)-1)*hotLoadQuantile)]
	order := make([]int, len(pp.pool))
	for i := range order {
		order[i] = i
	}
	return slices.MinFunc(order, func(i, j int) int {
		p, q := pp.pool[i], pp.pool[j]
		pHot, qHot := p.inFlight > hot, q.inFlight > hot
		if pHot != qHot {
			if pHot {
				return 1
			}
			return -1
		}
		if pHot {
			return cmp.Compare(p.inFlight, q.inFlight)
		}
		return cmp.Compare(p.latency, q.latency)
	})
}
