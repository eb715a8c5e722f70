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
	settleTime = 4 * time.Second
	editPause  = time.Second
	editLimit  = 20 * time.Second
	readyTime  = 60 * time.Second
)

// peers measures the control traffic of whole instances in this process, by the
// size of the fleet: at rest, and over edits of the rules.
func peers(o options) error {
	fmt.Println("INSTANCES   bytes/s each   processor % each   heap MB each   platform reads/s   ms to in force: p50   p99   worst")
	for n, size := range o.Peers {
		if err := measureFleet(o, size, n); err != nil {
			return err
		}
	}
	return nil
}

// local is a fleet of instances in this process.
type local struct {
	platform  *platform.Platform
	instances []*instance.Instance
	settings  []*settingsfile.Settings
	stop      context.CancelFunc
	running   sync.WaitGroup
}

func measureFleet(o options, size, number int) error {
	var l *local
	var err error
	memory := heap(func() {
		l, err = startLocal(size, number)
		if err == nil {
			time.Sleep(settleTime)
		}
	})
	if err != nil {
		return err
	}
	defer l.close()
	bytesBefore, cpuBefore, readsBefore := l.bytes(), cpuTime(), l.platform.Reads()
	time.Sleep(o.Window)
	seconds := o.Window.Seconds()
	cpu := (cpuTime() - cpuBefore).Seconds() / seconds / float64(size) * 100
	reads := float64(l.platform.Reads()-readsBefore) / seconds
	traffic := (l.bytes() - bytesBefore) / seconds / float64(size)
	times, err := l.edits(o.Edits)
	if err != nil {
		return err
	}
	fmt.Printf("%9d %14.0f %18.2f %14.2f %18.1f %21d %5d %7d\n", size, traffic, cpu, float64(memory)/(1<<20)/float64(size), reads,
		quantile(times, 0.5).Milliseconds(), quantile(times, 0.99).Milliseconds(), quantile(times, 1).Milliseconds())
	return nil
}

func quantile(times []time.Duration, q float64) time.Duration {
	return times[int(q*float64(len(times)-1))]
}

func host(number, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 100+number, n/200, n%200+1)
}

func startLocal(size, number int) (*local, error) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &local{
		platform: platform.New(host(number, 0) + ":8500"),
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
			Address:     host(number, n) + ":8080",
			PeerAddress: host(number, n) + ":8081",
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

func (l *local) startInstance(ctx context.Context, number, n int) error {
	content := fmt.Sprintf(`instance: {name: i-%d, data-center: a}
listen: {callers: "%[2]s:8080", peers: "%[2]s:8081", operators: "%[2]s:8082"}
platform: {address: "%[3]s"}
shutdown: {balancer-wait: 1ms}
`, n, host(number, n), l.platform.Address)
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

func (l *local) waitReady() error {
	deadline := time.Now().Add(readyTime)
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

func (l *local) close() {
	l.stop()
	l.running.Wait()
	runtime.GC()
}

// bytes sums up the traffic between instances, both directions.
func (l *local) bytes() float64 {
	total := 0.0
	for _, s := range l.settings {
		if m, err := fleet.ReadMetrics(s.OperatorListenAddress); err == nil {
			total += m["tarragonwell_peer_bytes_total"]
		}
	}
	return total
}

// edits publishes edits and measures until each instance has them in force.
func (l *local) edits(count int) ([]time.Duration, error) {
	var times []time.Duration
	for n := range count {
		begin := time.Now()
		revision := l.platform.Publish([]byte(history.StandardRules(n + 1)))
		waiting := slices.Clone(l.instances)
		for len(waiting) > 0 {
			waiting = slices.DeleteFunc(waiting, func(i *instance.Instance) bool {
				if i.Rules().Version.Revision < revision {
					return false
				}
				times = append(times, time.Since(begin))
				return true
			})
			if time.Since(begin) > editLimit {
				return nil, fmt.Errorf("%d instances do not have revision %d in force", len(waiting), revision)
			}
			time.Sleep(time.Millisecond)
		}
		time.Sleep(editPause)
	}
	slices.Sort(times)
	return times, nil
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
