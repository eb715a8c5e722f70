package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/standin/target"
)

const (
	// warmUp is the time under load before the measurement starts.
	warmUp = 1500 * time.Millisecond
	// settleTime is the time for the rules and faults of a run to take effect.
	settleTime = 700 * time.Millisecond
	// minSleep is the shortest wait before an arrival that is worth a sleep.
	minSleep = 2 * time.Millisecond
	// bucketTime is the resolution of the time series.
	bucketTime = 200 * time.Millisecond
	// clientTimeout is longer than every deadline.
	clientTimeout = 10 * time.Second
	// minMicros and maxMicros are the range of the histograms.
	minMicros = 1
	maxMicros = 60_000_000
)

// bench is one run of one policy in one scenario.
type bench struct {
	options      options
	fleet        *fleet.Fleet
	organisation organisation
	scenario     scenario
	policy       string
	seed         uint64

	client *http.Client
	// measureFrom is the end of the warm-up.
	measureFrom time.Time
	result      *result
	// inFlight counts the calls without a response yet.
	inFlight sync.WaitGroup
}

// run publishes the rules with the policy, sends the load of all kinds, and ends
// the faults of the scenario.
func (b *bench) run() (*result, error) {
	b.fleet.Platform.Publish([]byte(b.organisation.rules(b.policy, time.Now().Nanosecond())))
	if b.scenario.atStart != nil {
		b.scenario.atStart(b.fleet)
	}
	b.client = newClient()
	defer b.client.CloseIdleConnections()
	time.Sleep(settleTime)
	b.result = newResult(b)
	b.measureFrom = time.Now().Add(warmUp)
	if b.scenario.atOneThird != nil {
		time.AfterFunc(warmUp+b.options.Duration/3, func() { b.scenario.atOneThird(b.fleet) })
	}
	var senders sync.WaitGroup
	for n, k := range b.organisation.kinds {
		if share, ok := b.scenario.shares[k.name]; ok {
			k.share = share
		}
		senders.Go(func() { b.send(k, rand.New(rand.NewPCG(b.seed, uint64(n)))) })
	}
	senders.Wait()
	b.inFlight.Wait()
	return b.result, restore(b.fleet, b.organisation.behaviour())
}

func newClient() *http.Client {
	return &http.Client{
		Timeout: clientTimeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 1000,
			DialContext: (&net.Dialer{
				Timeout: time.Second,
			}).DialContext,
		},
	}
}

// send sends the calls of one kind as an open loop: arrivals are a Poisson
// process whose rate follows the scenario's load, and do not wait for responses.
func (b *bench) send(k kind, r *rand.Rand) {
	rate := b.organisation.rate(k)
	if rate == 0 {
		return
	}
	next := b.measureFrom.Add(-warmUp)
	end := b.measureFrom.Add(b.options.Duration)
	for next.Before(end) {
		elapsed := float64(next.Sub(b.measureFrom)) / float64(b.options.Duration)
		load := b.scenario.load(max(0, elapsed))
		next = next.Add(time.Duration(r.ExpFloat64() / (rate * load) * float64(time.Second)))
		if wait := time.Until(next); wait > minSleep {
			time.Sleep(wait)
		}
		address := b.drawInstance(r)
		intended := next
		b.inFlight.Go(func() { b.sendOne(k, address, intended) })
	}
}

// drawInstance returns the address of a random instance on the balancer's list.
func (b *bench) drawInstance(r *rand.Rand) string {
	live := b.fleet.BalancerBackends()
	return live[r.IntN(len(live))]
}

// sendOne sends one call and records its result, unless it belongs to the
// warm-up. The latency counts from the intended time of arrival, so that delays of
// the load generator are included.
func (b *bench) sendOne(k kind, address string, intended time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, k.method, "http://"+address+k.path, nil)
	if err != nil {
		return
	}
	request.Header.Set(target.HeaderTestRequest, "b")
	response, err := b.client.Do(request)
	outcome := "broken"
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err == nil {
			outcome = response.Header.Get("Tarragonwell-Outcome")
			if outcome == "complete" && response.StatusCode >= http.StatusInternalServerError {
				outcome = "error"
			}
		}
	}
	latency := time.Since(intended)
	if intended.Before(b.measureFrom) {
		return
	}
	b.result.add(k, outcome, latency, intended.Sub(b.measureFrom))
}

// kindResult holds the figures of one kind.
type kindResult struct {
	Kind string `json:"kind"`
	Long bool   `json:"long"`
	Sent int    `json:"sent"`
	// Outcomes counts the calls by outcome. Besides those of the system, "broken"
	// is a failed or truncated response, "error" a complete one with status 5xx.
	Outcomes map[string]int `json:"ends"`
	Goodput  float64        `json:"goodput-per-second"`
	P50      float64        `json:"p50-ms"`
	P99      float64        `json:"p99-ms"`
	P999     float64        `json:"p999-ms"`
	// GoodputOverTime is in calls per second, by bucket.
	GoodputOverTime []float64 `json:"good-over-time"`
	// P99OverTime is in milliseconds, by bucket.
	P99OverTime []float64 `json:"p99-over-time"`

	// histogram and buckets record latencies in microseconds, of the whole run and
	// by the time at which the calls ended.
	histogram *hdrhistogram.Histogram
	buckets   []*hdrhistogram.Histogram
}

// add records the outcome of a call that arrived at a time after the warm-up.
// Only complete responses count towards the latencies.
func (r *result) add(k kind, outcome string, latency, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.kind(k)
	x.Sent++
	x.Outcomes[outcome]++
	if outcome != "complete" {
		return
	}
	micros := min(maxMicros, max(minMicros, latency.Microseconds()))
	_ = x.histogram.RecordValue(micros)
	// The time series go by the time at which calls end.
	n := int((at + latency) / bucketTime)
	for len(x.buckets) <= n {
		x.buckets = append(x.buckets, newHistogram())
	}
	_ = x.buckets[n].RecordValue(micros)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, 3)
}
