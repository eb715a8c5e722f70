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
	warmUp  = 1500 * time.Millisecond
	settle  = 700 * time.Millisecond
	perWait = 2 * time.Millisecond
	// bucketTime is the resolution of the measures over time.
	bucketTime = 200 * time.Millisecond
	// clientTimeout is above every deadline.
	clientTimeout = 10 * time.Second
	minMicros     = 1
	maxMicros     = 60_000_000
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
	// begin is the end of the warm-up.
	begin  time.Time
	result *result
	open   sync.WaitGroup
}

func (b *bench) run() (*result, error) {
	b.fleet.Platform.Publish([]byte(b.organisation.rules(b.policy, time.Now().Nanosecond())))
	if b.scenario.begin != nil {
		b.scenario.begin(b.fleet)
	}
	b.client = newClient()
	defer b.client.CloseIdleConnections()
	time.Sleep(settle)
	b.result = newResult(b)
	b.begin = time.Now().Add(warmUp)
	if b.scenario.middle != nil {
		time.AfterFunc(warmUp+b.options.Duration/3, func() { b.scenario.middle(b.fleet) })
	}
	var kinds sync.WaitGroup
	for n, k := range b.organisation.kinds {
		if share, ok := b.scenario.shares[k.name]; ok {
			k.share = share
		}
		kinds.Go(func() { b.send(k, rand.New(rand.NewPCG(b.seed, uint64(n)))) })
	}
	kinds.Wait()
	b.open.Wait()
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

// send makes one kind's arrivals: a Poisson process whose rate follows the
// scenario's load. Arrivals do not wait for answers.
func (b *bench) send(k kind, r *rand.Rand) {
	rate := b.organisation.rate(k)
	if rate == 0 {
		return
	}
	next := b.begin.Add(-warmUp)
	end := b.begin.Add(b.options.Duration)
	for next.Before(end) {
		part := float64(next.Sub(b.begin)) / float64(b.options.Duration)
		load := b.scenario.load(max(0, part))
		next = next.Add(time.Duration(r.ExpFloat64() / (rate * load) * float64(time.Second)))
		if wait := time.Until(next); wait > perWait {
			time.Sleep(wait)
		}
		address := b.address(r)
		intended := next
		b.open.Go(func() { b.one(k, address, intended) })
	}
}

// address draws an instance that the balancer would use.
func (b *bench) address(r *rand.Rand) string {
	live := b.fleet.BalancerBackends()
	return live[r.IntN(len(live))]
}

func (b *bench) one(k kind, address string, intended time.Time) {
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
	if intended.Before(b.begin) {
		return
	}
	b.result.add(k, outcome, latency, intended.Sub(b.begin))
}

// kindResult is what one kind got.
type kindResult struct {
	Kind     string         `json:"kind"`
	Long     bool           `json:"long"`
	Sent     int            `json:"sent"`
	Outcomes map[string]int `json:"ends"`
	Goodput  float64        `json:"goodput-per-second"`
	P50      float64        `json:"p50-ms"`
	P99      float64        `json:"p99-ms"`
	P999     float64        `json:"p999-ms"`
	// GoodputOverTime is in calls a second.
	GoodputOverTime []float64 `json:"good-over-time"`
	// P99OverTime is in milliseconds.
	P99OverTime []float64 `json:"p99-over-time"`

	histogram *hdrhistogram.Histogram
	buckets   []*hdrhistogram.Histogram
}

// add takes in the end of a call. Only whole answers count for latency.
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
	// The measures over time go by when calls end.
	n := int((at + latency) / bucketTime)
	for len(x.buckets) <= n {
		x.buckets = append(x.buckets, newHistogram())
	}
	_ = x.buckets[n].RecordValue(micros)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, 3)
}
