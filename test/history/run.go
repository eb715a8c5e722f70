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

// Plan is one run: a fleet, a workload and a schedule of faults.
type Plan struct {
	Fleet        fleet.Options
	RequestTypes []RequestType
	Callers      int
	MeanPause    time.Duration
	Duration     time.Duration
	Faults       []Fault
	// RulesEdit makes the n-th edit of the rules file.
	RulesEdit func(n int) string
	// ThroughBalancer sends all requests to the balancer.
	ThroughBalancer bool
	// Script runs beside the workload, besides the faults.
	Script func(ctx context.Context, j *Injector)
	// ProbeBudget is the rules' budget, in probes a second.
	ProbeBudget float64
	// InstancesAtMost is the rules' bound.
	InstancesAtMost int
	// LeavingGrace is how long after its word a target may get new work; 0 means
	// three seconds.
	LeavingGrace time.Duration
	// ForbidConnectionFailures says that no caller may see a broken connection.
	ForbidConnectionFailures bool
}

// Report is what one run showed.
type Report struct {
	Calls      []Call
	Runs       []target.Run
	Violations []Violation
	// RulesConvergence is how long the last instance took to have the last rules in force.
	RulesConvergence time.Duration
	PlatformReads    uint64
	// Logs holds the instances' warnings.
	Logs []string
}

const (
	rulesPoll = 50 * time.Millisecond
	// rulesLimit is how long after the last fault all instances may take to
	// have the last rules in force.
	rulesLimit = 6 * time.Second
)

// Execute carries out a plan and checks its history.
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
	watch := &rulesWatch{}
	watching, stopWatching := context.WithCancel(context.Background())
	defer stopWatching()
	go watch.run(watching, f)

	ctx, cancel := context.WithTimeout(context.Background(), p.Duration)
	defer cancel()
	var both sync.WaitGroup
	both.Go(func() { p.workload(f, recorder).Run(ctx) })
	both.Go(func() { j.Run(context.Background(), p.Faults) })
	if p.Script != nil {
		both.Go(func() { p.Script(ctx, j) })
	}
	both.Wait()

	r := &Report{
		PlatformReads: f.Platform.Reads(),
	}
	r.RulesConvergence = watch.settle(f)
	r.Calls = recorder.Calls()
	for _, t := range f.AllTargets() {
		r.Runs = append(r.Runs, t.Runs()...)
	}
	r.Violations = append(p.check(f, r, watch), p.checkLeaving(f, j)...)
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

func (p Plan) check(f *fleet.Fleet, r *Report, watch *rulesWatch) []Violation {
	out := Check(r.Calls, r.Runs)
	out = append(out, CheckRules(watch.all())...)
	if r.RulesConvergence > rulesLimit {
		out = append(out, Violation{
			Promise: PromiseNewestRules,
			Detail:  "an instance did not have the last rules in force after " + r.RulesConvergence.String(),
		})
	}
	if p.ProbeBudget > 0 {
		window := time.Duration(float64(p.InstancesAtMost) / p.ProbeBudget * probeMargin * float64(time.Second))
		for _, t := range f.AllTargets() {
			out = append(out, CheckProbes(t.Address, t.Probes(), p.InstancesAtMost, window)...)
		}
	}
	for _, c := range r.Calls {
		if p.ForbidConnectionFailures && c.ConnectionFailed {
			out = append(out, Violation{
				Promise: PromiseGracefulStop,
				Detail:  describe(c.Operation, []Call{c}, nil),
			})
		}
	}
	return out
}

// defaultLeavingGrace is the stated few seconds.
const defaultLeavingGrace = 3 * time.Second

// checkLeaving checks that targets which left for good were sent nothing after
// the grace. A draining target refuses what it is sent, so arrivals count.
func (p Plan) checkLeaving(f *fleet.Fleet, j *Injector) []Violation {
	grace := p.LeavingGrace
	if grace == 0 {
		grace = defaultLeavingGrace
	}
	left := j.DrainStarts()
	var out []Violation
	for _, t := range f.AllTargets() {
		at, gone := left[t.Address]
		if !gone {
			continue
		}
		if n := t.CountArrivalsAfter(at.Add(grace)); n > 0 {
			out = append(out, Violation{
				Promise: PromiseLeavingTarget,
				Detail:  fmt.Sprintf("%s was sent %d calls later than %v after it left", t.Address, n, grace),
			})
		}
	}
	return out
}

// probeMargin allows for the network between an instance and a target.
const probeMargin = 0.95

// rulesWatch follows the audit trails for the rules that come into force.
type rulesWatch struct {
	mu   sync.Mutex
	seen []RulesActivation
}

func (w *rulesWatch) run(ctx context.Context, f *fleet.Fleet) {
	var all sync.WaitGroup
	for _, i := range f.Instances {
		all.Go(func() {
			for ctx.Err() == nil {
				w.follow(ctx, i)
				sleep(ctx, rulesPoll)
			}
		})
	}
	all.Wait()
}

// follow reads one life of an instance's trail. What is accepted before the
// instance serves does not count: until then it takes no calls.
func (w *rulesWatch) follow(ctx context.Context, i *fleet.Instance) {
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

func (w *rulesWatch) add(i *fleet.Instance, r *pb.AuditRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen = append(w.seen, RulesActivation{
		Instance: i.Host,
		At:       time.UnixMilli(r.GetTimeUnixMs()),
		Sequence: r.GetSequence(),
		Revision: r.GetRevision(),
	})
}

func (w *rulesWatch) all() []RulesActivation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]RulesActivation(nil), w.seen...)
}

// settle waits until all instances have the same rules, of the highest revision
// seen, and returns how long this took.
func (w *rulesWatch) settle(f *fleet.Fleet) time.Duration {
	begin := time.Now()
	for time.Since(begin) < 2*rulesLimit {
		if w.agree(f) {
			break
		}
		time.Sleep(rulesPoll)
	}
	return time.Since(begin)
}

func (w *rulesWatch) agree(f *fleet.Fleet) bool {
	last := f.Platform.HighestRevision()
	for _, i := range f.Instances {
		s, err := i.Status()
		if err != nil || s.GetState() != "serving" || s.GetRulesRevision() != last {
			return false
		}
	}
	return true
}
