package history

import (
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/tarragonwell/tarragonwell/internal/operator"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/standin/target"
)

// Plan configures one run: a fleet, a workload and a schedule of faults.
type Plan struct {
	Fleet        fleet.Options
	RequestTypes []RequestType
	// Callers is the number of concurrent callers.
	Callers int
	// MeanPause is the mean time between two requests of a caller.
	MeanPause time.Duration
	// Duration is how long the workload runs.
	Duration time.Duration
	Faults   []Fault
	// RulesEdit returns the n-th edit of the rules file.
	RulesEdit func(n int) string
	// ThroughBalancer sends all requests to the balancer, not to the instances.
	ThroughBalancer bool
	// Script, if set, runs concurrently with the workload and the faults.
	Script func(ctx context.Context, j *Injector)
	// ProbeBudget is the probe-budget of the rules file, in probes per second and
	// target; 0 disables the check.
	ProbeBudget float64
	// InstancesAtMost is the instances-at-most of the rules file.
	InstancesAtMost int
	// LeavingGrace is how long after it reports that it is leaving a target may
	// still receive calls; 0 means defaultLeavingGrace.
	LeavingGrace time.Duration
	// ForbidConnectionFailures makes every failed connection of a caller a
	// violation of PromiseGracefulStop.
	ForbidConnectionFailures bool
}

// Report is the result of one run.
type Report struct {
	Calls      []Call
	Runs       []target.Run
	Violations []Violation
	// RulesConvergence is the time from the end of the run until all instances
	// serve with the last rules revision.
	RulesConvergence time.Duration
	// PlatformReads is the number of reads that the platform served.
	PlatformReads uint64
	// Logs holds the instances' warnings.
	Logs []string
}

const (
	rulesPollInterval = 50 * time.Millisecond
	// rulesConvergenceLimit bounds the time from the end of a run until all
	// instances serve with the last rules revision.
	rulesConvergenceLimit = 6 * time.Second
)

// Execute runs a plan and checks its history.
func Execute(p Plan) (*Report, error) {
	f, err := fleet.Start(p.Fleet)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	recorder := &Recorder{}
	j := &Injector{
		Fleet:     f,
		RulesEdit: p.RulesEdit,
	}
	watcher := &rulesWatcher{}
	watchCtx, stopWatching := context.WithCancel(context.Background())
	defer stopWatching()
	go watcher.run(watchCtx, f)

	ctx, cancel := context.WithTimeout(context.Background(), p.Duration)
	defer cancel()
	var tasks sync.WaitGroup
	tasks.Go(func() { p.workload(f, recorder).Run(ctx) })
	tasks.Go(func() { j.Run(context.Background(), p.Faults) })
	if p.Script != nil {
		tasks.Go(func() { p.Script(ctx, j) })
	}
	tasks.Wait()

	r := &Report{
		PlatformReads: f.Platform.Reads(),
	}
	r.RulesConvergence = watcher.waitConverged(f)
	r.Calls = recorder.Calls()
	for _, t := range f.AllTargets() {
		r.Runs = append(r.Runs, t.Runs()...)
	}
	r.Violations = append(p.check(f, r, watcher), p.checkLeavingTargets(f, j)...)
	return r, nil
}

func (p Plan) workload(f *fleet.Fleet, recorder *Recorder) *Workload {
	addresses := f.CallerAddresses()
	if p.ThroughBalancer {
		addresses = []string{f.Balancer.Address}
	}
	return &Workload{
		RequestTypes: p.RequestTypes,
		Addresses:    addresses,
		Callers:      p.Callers,
		MeanPause:    p.MeanPause,
		LongBytes:    p.Fleet.Behaviour.LongBytes,
		Seed:         p.Fleet.Seed,
		Recorder:     recorder,
		Name:         "w",
	}
}

func (p Plan) check(f *fleet.Fleet, r *Report, watcher *rulesWatcher) []Violation {
	out := Check(r.Calls, r.Runs)
	out = append(out, CheckRules(watcher.snapshot())...)
	if r.RulesConvergence > rulesConvergenceLimit {
		out = append(out, Violation{
			Promise: PromiseNewestRules,
			Detail:  "an instance did not apply the last rules revision within " + r.RulesConvergence.String(),
		})
	}
	if p.ProbeBudget > 0 {
		window := time.Duration(float64(p.InstancesAtMost) / p.ProbeBudget * probeWindowMargin * float64(time.Second))
		for _, t := range f.AllTargets() {
			out = append(out, CheckProbes(t.Address, t.Probes(), p.InstancesAtMost, window)...)
		}
	}
	for _, c := range r.Calls {
		if p.ForbidConnectionFailures && c.ConnectionFailed {
			out = append(out, Violation{
				Promise: PromiseGracefulStop,
				Detail:  formatHistory(c.Operation, []Call{c}, nil),
			})
		}
	}
	return out
}

// defaultLeavingGrace is the promised bound of a few seconds.
const defaultLeavingGrace = 3 * time.Second

// checkLeavingTargets checks that targets which drain permanently receive no
// calls after the grace period. A draining target rejects calls, so the check
// counts arrivals rather than runs.
func (p Plan) checkLeavingTargets(f *fleet.Fleet, j *Injector) []Violation {
	grace := p.LeavingGrace
	if grace == 0 {
		grace = defaultLeavingGrace
	}
	drainStarts := j.DrainStarts()
	var out []Violation
	for _, t := range f.AllTargets() {
		start, drained := drainStarts[t.Address]
		if !drained {
			continue
		}
		if n := t.CountArrivalsAfter(start.Add(grace)); n > 0 {
			out = append(out, Violation{
				Promise: PromiseLeavingTarget,
				Detail:  fmt.Sprintf("%s received %d calls more than %v after it began to drain", t.Address, n, grace),
			})
		}
	}
	return out
}

// probeWindowMargin shortens the window of the probe check: network delays vary,
// so probes can arrive closer together than they were sent.
const probeWindowMargin = 0.95

// rulesWatcher records rules activations from the instances' audit trails.
type rulesWatcher struct {
	mu          sync.Mutex
	activations []RulesActivation
}

func (w *rulesWatcher) run(ctx context.Context, f *fleet.Fleet) {
	var tasks sync.WaitGroup
	for _, i := range f.Instances {
		tasks.Go(func() {
			for ctx.Err() == nil {
				w.followAudit(ctx, i)
				sleep(ctx, rulesPollInterval)
			}
		})
	}
	tasks.Wait()
}

// followAudit reads the audit trail of one incarnation of an instance. Rules
// accepted before the instance serves are ignored, as it accepts no calls until
// then.
func (w *rulesWatcher) followAudit(ctx context.Context, i *fleet.Instance) {
	request := &pb.AuditRequest{
		Follow: true,
	}
	stream, err := operator.NewClient(i.OperatorAddress()).Audit(ctx, connect.NewRequest(request))
	if err != nil {
		return
	}
	defer stream.Close()
	serving := false
	for stream.Receive() {
		r := stream.Msg().GetRecord()
		switch r.GetEvent() {
		case "instance-serving":
			serving = true
		case "rules-accepted":
		default:
			continue
		}
		if serving {
			w.add(i, r)
		}
	}
}

func (w *rulesWatcher) add(i *fleet.Instance, r *pb.AuditRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.activations = append(w.activations, RulesActivation{
		Instance: i.Host,
		At:       time.UnixMilli(r.GetTimeUnixMs()),
		Sequence: r.GetSequence(),
		Revision: r.GetRevision(),
	})
}

func (w *rulesWatcher) snapshot() []RulesActivation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]RulesActivation(nil), w.activations...)
}

// waitConverged waits until all instances serve with the last rules revision
// that was published, for at most twice rulesConvergenceLimit, and returns the
// time taken.
func (w *rulesWatcher) waitConverged(f *fleet.Fleet) time.Duration {
	begin := time.Now()
	for time.Since(begin) < 2*rulesConvergenceLimit {
		if w.converged(f) {
			break
		}
		time.Sleep(rulesPollInterval)
	}
	return time.Since(begin)
}

func (w *rulesWatcher) converged(f *fleet.Fleet) bool {
	last := f.Platform.HighestRevision()
	for _, i := range f.Instances {
		status, err := i.Status()
		if err != nil || status.GetState() != "serving" || status.GetRulesRevision() != last {
			return false
		}
	}
	return true
}
