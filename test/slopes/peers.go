package main

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/instance"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/history"
	"github.com/tarragonwell/tarragonwell/test/standin/platform"
)

const (
	// settleTime is the time between readiness and the first measurement.
	settleTime = 4 * time.Second
	// editPause is the time between the end of an edit and the next edit.
	editPause = time.Second
	// editTimeout is the time within which an edit must be in force at all instances.
	editTimeout  = 20 * time.Second
	readyTimeout = 60 * time.Second
)

// measurePeers measures the control traffic and resource use of complete instances in
// this process, by the size of the fleet: idle, and during edits of the rules.
func measurePeers(o options) error {
	fmt.Println("INSTANCES   bytes/s each         CPU % each  heap MiB each   platform reads/s      ms to apply: p50   p99     max")
	for n, size := range o.Peers {
		if err := measureFleet(o, size, n); err != nil {
			return err
		}
	}
	return nil
}

// localFleet is a fleet of instances in this process.
type localFleet struct {
	platform  *platform.Platform
	instances []*instance.Instance
	settings  []*settingsfile.Settings
	stop      context.CancelFunc
	running   sync.WaitGroup
}

// measureFleet starts a fleet and prints its measurements. number selects the loopback
// network of the fleet.
func measureFleet(o options, size, number int) error {
	var l *localFleet
	var err error
	memory := heapGrowth(func() {
		l, err = startLocal(size, number)
		if err == nil {
			time.Sleep(settleTime)
		}
	})
	if err != nil {
		return err
	}
	defer l.close()
	bytesBefore, cpuBefore, readsBefore := l.peerBytes(), cpuTime(), l.platform.Reads()
	time.Sleep(o.Window)
	seconds := o.Window.Seconds()
	cpu := (cpuTime() - cpuBefore).Seconds() / seconds / float64(size) * 100
	reads := float64(l.platform.Reads()-readsBefore) / seconds
	traffic := (l.peerBytes() - bytesBefore) / seconds / float64(size)
	times, err := l.measureEdits(o.Edits)
	if err != nil {
		return err
	}
	fmt.Printf("%9d %14.0f %18.2f %14.2f %18.1f %21d %5d %7d\n", size, traffic, cpu, float64(memory)/(1<<20)/float64(size), reads,
		quantile(times, 0.5).Milliseconds(), quantile(times, 0.99).Milliseconds(), quantile(times, 1).Milliseconds())
	return nil
}

// quantile returns the quantile q of times, which are sorted.
func quantile(times []time.Duration, q float64) time.Duration {
	return times[int(q*float64(len(times)-1))]
}

// loopbackHost returns the address of host n in the network of a fleet.
func loopbackHost(number, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 100+number, n/200, n%200+1)
}

// startLocal starts a platform and a fleet of size instances, and waits until they are
// ready.
func startLocal(size, number int) (*localFleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &localFleet{
		platform: platform.New(loopbackHost(number, 0) + ":8500"),
		stop:     cancel,
	}
	if err := l.platform.Start(ctx); err != nil {
		return nil, err
	}
	l.platform.Publish([]byte(history.StandardRules(0)))
	var list []*pb.ListedInstance
	for n := range size {
		list = append(list, &pb.ListedInstance{
			Service:     "tarragonwell",
			Address:     loopbackHost(number, n) + ":8080",
			PeerAddress: loopbackHost(number, n) + ":8081",
			DataCenter:  "a",
			State:       "live",
		})
	}
	l.platform.SetInstances(list)
	for n := range size {
		if err := l.startInstance(ctx, number, n); err != nil {
			return nil, err
		}
	}
	return l, l.waitReady()
}

// startInstance starts instance n.
func (l *localFleet) startInstance(ctx context.Context, number, n int) error {
	content := fmt.Sprintf(`instance: {name: i-%d, data-center: a}
listen: {callers: "%[2]s:8080", peers: "%[2]s:8081", operators: "%[2]s:8082"}
platform: {address: "%[3]s"}
shutdown: {balancer-wait: 1ms}
`, n, loopbackHost(number, n), l.platform.Address)
	s, err := settingsfile.Parse("slopes", []byte(content))
	if err != nil {
		return err
	}
	logger, err := common.NewLogger(io.Discard, "error", s.Name)
	if err != nil {
		return err
	}
	i := instance.New(s, logger, logger, instance.DefaultAdapters(s))
	l.instances = append(l.instances, i)
	l.settings = append(l.settings, s)
	l.running.Go(func() {
		if err := i.Run(ctx); err != nil {
			fmt.Println(err)
		}
	})
	return nil
}

func (l *localFleet) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, i := range l.instances {
		for !i.Ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("an instance is not ready")
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// close stops the instances and collects garbage, so that the next heap measurement
// does not include them.
func (l *localFleet) close() {
	l.stop()
	l.running.Wait()
	runtime.GC()
}

// peerBytes returns the total number of bytes exchanged between instances, in both
// directions.
func (l *localFleet) peerBytes() float64 {
	total := 0.0
	for _, s := range l.settings {
		if m, err := fleet.ReadMetrics(s.OperatorListenAddress); err == nil {
			total += m["tarragonwell_peer_bytes_total"]
		}
	}
	return total
}

// measureEdits publishes edits of the rules and returns the sorted times until each of
// them is in force at each instance.
func (l *localFleet) measureEdits(count int) ([]time.Duration, error) {
	var times []time.Duration
	for n := range count {
		start := time.Now()
		revision := l.platform.Publish([]byte(history.StandardRules(n + 1)))
		pending := slices.Clone(l.instances)
		for len(pending) > 0 {
			pending = slices.DeleteFunc(pending, func(i *instance.Instance) bool {
				if i.Rules().Version.Revision < revision {
					return false
				}
				times = append(times, time.Since(start))
				return true
			})
			if time.Since(start) > editTimeout {
				return nil, fmt.Errorf("%d instances do not have revision %d in force", len(pending), revision)
			}
			time.Sleep(time.Millisecond)
		}
		time.Sleep(editPause)
	}
	slices.Sort(times)
	return times, nil
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
