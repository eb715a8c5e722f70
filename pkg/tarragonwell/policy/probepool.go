package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	probesPerCall    = 3
	probePoolSize    = 16
	probeReuse       = 3
	probeMaxAge      = time.Second
	hotQuantile      = 0.75
	poolLowWatermark = 2
)

// ProbePoolChooser is a baseline after the published probing policies: every
// call sends a few probes, answers are pooled and reused, and the target is the
// one with the least latency among those with few requests in flight.
type ProbePoolChooser struct {
	Random *rand.Rand
	// pool is in the order of arrival and holds at most probePoolSize probes.
	pool []probe
}

type probe struct {
	id       string
	inFlight int
	latency  time.Duration
	taken    time.Time
	uses     int
}

// ProbeTargets implements tarragonwell.Prober.
func (c *ProbePoolChooser) ProbeTargets(_ time.Time, targets []*tarragonwell.TargetState) []int {
	var picks []int
	for range min(probesPerCall, len(targets)) {
		i := intN(c.Random, len(targets))
		if !slices.Contains(picks, i) {
			picks = append(picks, i)
		}
	}
	return picks
}

// RecordProbe implements tarragonwell.Prober.
func (c *ProbePoolChooser) RecordProbe(now time.Time, id string, load tarragonwell.LoadReport, latency time.Duration) {
	if len(c.pool) >= probePoolSize {
		c.pool = c.pool[1:]
	}
	c.pool = append(c.pool, probe{
		id:       id,
		inFlight: load.Total(),
		latency:  latency,
		taken:    now,
	})
}

// Choose implements tarragonwell.Chooser.
func (c *ProbePoolChooser) Choose(now time.Time, _ tarragonwell.ChoiceInput, targets []*tarragonwell.TargetState) int {
	index := map[string]int{}
	for i, t := range targets {
		index[t.ID] = i
	}
	c.pool = slices.DeleteFunc(c.pool, func(p probe) bool {
		_, known := index[p.id]
		return !known || p.uses >= probeReuse || now.Sub(p.taken) > probeMaxAge
	})
	if len(c.pool) < poolLowWatermark {
		return intN(c.Random, len(targets))
	}
	best := c.best()
	c.pool[best].uses++
	c.pool[best].inFlight++
	return index[c.pool[best].id]
}

// best returns the cold probe with the least latency, or where all are hot the
// one with the fewest requests in flight.
func (c *ProbePoolChooser) best() int {
	loads := make([]int, len(c.pool))
	for i, p := range c.pool {
		loads[i] = p.inFlight
	}
	slices.Sort(loads)
	hot := loads[int(float64(len(loads)-1)*hotQuantile)]
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
