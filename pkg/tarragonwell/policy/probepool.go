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
func (c *ProbePoolPolicy) ProbeTargets(_ time.Time, targets []*tarragonwell.TargetState) []int {
	var indexes []int
	for range min(probesPerCall, len(targets)) {
		i := intN(c.Random, len(targets))
		if !slices.Contains(indexes, i) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// RecordProbe implements tarragonwell.ProbingPolicy.
func (c *ProbePoolPolicy) RecordProbe(now time.Time, id string, load tarragonwell.LoadReport, latency time.Duration) {
	if len(c.pool) >= probePoolSize {
		c.pool = c.pool[1:]
	}
	c.pool = append(c.pool, pooledResponse{
		id:         id,
		inFlight:   load.Total(),
		latency:    latency,
		receivedAt: now,
	})
}

// Choose implements tarragonwell.Policy.
func (c *ProbePoolPolicy) Choose(now time.Time, _ tarragonwell.ChoiceInput, targets []*tarragonwell.TargetState) int {
	index := map[string]int{}
	for i, t := range targets {
		index[t.ID] = i
	}
	c.pool = slices.DeleteFunc(c.pool, func(p pooledResponse) bool {
		_, known := index[p.id]
		return !known || p.uses >= maxProbeUses || now.Sub(p.receivedAt) > probeMaxAge
	})
	if len(c.pool) < minPooledResponses {
		return intN(c.Random, len(targets))
	}
	best := c.bestResponse()
	c.pool[best].uses++
	c.pool[best].inFlight++
	return index[c.pool[best].id]
}

// bestResponse returns the index in pool of the response with the lowest latency among
// the targets that are not hot, or, if all are hot, of the one with the fewest requests
// in flight.
func (c *ProbePoolPolicy) bestResponse() int {
	loads := make([]int, len(c.pool))
	for i, p := range c.pool {
		loads[i] = p.inFlight
	}
	slices.Sort(loads)
	hot := loads[int(float64(len(loads)-1)*hotLoadQuantile)]
	order := make([]int, len(c.pool))
	for i := range order {
		order[i] = i
	}
	return slices.MinFunc(order, func(i, j int) int {
		p, q := c.pool[i], c.pool[j]
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
