// Package abuse tests that a process outlives abusive callers: crowds of them are played
// against an instance on loopback, one crowd at a time.
package abuse

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/standin/abusive"
	"github.com/tarragonwell/tarragonwell/test/standin/target"
)

const (
	// rules has a deadline that outlasts a crowd, so that requests are held.
	rules = `- {fleet: {instances-at-most: 1, ticket-life: 120s}}  # Operations
- {service: {name: reads, organisation: trust, slots: 5, connections: 250, probe-budget: 4, retry-ratio: 0.1, ramp: 2s}}  # Operations
- {kind: {name: read, organisation: trust, repeatable: true, length: short, deadline: 10s}}  # Operations
- {route: {method: GET, path: /, service: reads, kind: read}}  # Operations
- {route: {method: POST, path: /, service: reads, kind: read}}  # Operations
`
	// fewDescriptors is the limit that most settings set, below the number of callers, and
	// manyDescriptors that of the others.
	fewDescriptors  = 200
	manyDescriptors = 2000
	// settings are the lowered limits.
	settings = `limits: {descriptors: %d, held-head-bytes: 6291456, held-connection-bytes: 8388608, request-body-bytes: 65536, held-request-bytes: 1048576}
log: {level: error}`
	// maxResidentBytes is twice what the settings allow callers (15 MiB), as the heap may
	// double between two collections, and 66 MiB for the process itself.
	maxResidentBytes = 96 << 20
	// callers is the number of callers.
	callers = 400
	// http2Connections is the number of connections of the crowd that uses HTTP/2.
	http2Connections = 24
	// crowdTime is how long a crowd is played.
	crowdTime = 4 * time.Second
	// answerLimit is how long the process may take to answer an ordinary request afterwards.
	answerLimit = 30 * time.Second
)

// program is the path of the binary. It is built without the race detector, which multiplies
// the memory of a process.
var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "tarragonwell")
	if err != nil {
		panic(err)
	}
	program, err = fleet.Build(folder, "tarragonwell", ".")
	if err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// start starts an instance with one target, and closes both at the end of the test.
func start(t *testing.T, n byte, descriptors int) *fleet.Fleet {
	t.Helper()
	f, err := fleet.Start(fleet.Options{
		Program:   program,
		Folder:    t.TempDir(),
		Subnet:    [2]byte{61, n},
		Instances: 1,
		Rules:     rules,
		Targets: map[string]int{
			"reads": 1,
		},
		Behaviour: target.Behaviour{
			Slots:       5,
			Queue:       10,
			Connections: 250,
			ServiceMs:   1,
		},
		Settings: fmt.Sprintf(settings, descriptors),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// mixed are the attacks of the crowd of several sorts.
var mixed = []abusive.Attack{abusive.SlowHead, abusive.ManyLines, abusive.ManyLinesHeld, abusive.Silent}

// TestCrowdsAreWithstood guards against a process that abusive callers of one sort or several
// end, or bring above the memory or the descriptors of its machine, and against one that
// answers nobody after they have left. With many descriptors memory is the limit.
func TestCrowdsAreWithstood(t *testing.T) {
	n := byte(0)
	run := func(name string, descriptors int, attacks ...abusive.Attack) {
		n++
		t.Run(fmt.Sprintf("%s, %d descriptors", name, descriptors), func(t *testing.T) {
			play(t, start(t, n, descriptors), descriptors, attacks)
		})
	}
	for a := range abusive.Attacks {
		run(a.String(), fewDescriptors, a)
	}
	for _, a := range []abusive.Attack{abusive.ManyLines, abusive.ManyLinesHeld, abusive.SuccessiveConnections} {
		run(a.String(), manyDescriptors, a)
	}
	run("mixed", fewDescriptors, mixed...)
}

// TestLargestHeadIsServed guards against limits that a caller within the limits of the
// configuration reaches: a head of 16,384 bytes with thousands of lines.
func TestLargestHeadIsServed(t *testing.T) {
	f := start(t, 100, fewDescriptors)
	crowd := &abusive.Crowd{
		Path:   "/a",
		Header: "Connection: close\r\n",
	}
	head := crowd.Head(abusive.HeadBytes)
	answer, err := exchange(f.Instances[0].CallerAddress(), head)
	if err != nil || !strings.HasPrefix(answer, "HTTP/1.1 200 ") {
		t.Errorf("a head of %d bytes with %d lines: got %.80q and %v, want status 200", len(head), strings.Count(head, "\n"), answer, err)
	}
}

// play plays a crowd of each attack at a time while the target is frozen, so that requests
// are held, and checks the process meanwhile and afterwards.
func play(t *testing.T, f *fleet.Fleet, descriptors int, attacks []abusive.Attack) {
	t.Helper()
	frozen := f.Targets["reads"][0]
	frozen.UpdateBehaviour(func(b *target.Behaviour) { b.Frozen = true })
	address, process := f.Instances[0].CallerAddress(), f.Instances[0].Process()
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	var crowds sync.WaitGroup
	for _, a := range attacks {
		crowd := &abusive.Crowd{
			Address: address,
			Path:    "/a",
			Callers: callers / len(attacks),
			Attack:  a,
		}
		if a == abusive.HTTP2Streams {
			crowd.Callers = http2Connections
		}
		crowds.Go(func() { crowd.Run(ctx) })
	}
	open := 0
	for ctx.Err() == nil {
		open = max(open, openDescriptors(process.PID()))
		time.Sleep(50 * time.Millisecond)
	}
	crowds.Wait()
	select {
	case <-process.Exited():
		t.Fatalf("the process exited with %d:\n%s", process.ExitCode(), process.Output())
	default:
	}
	resident, err := peakResidentBytes(process.PID())
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("at most %d descriptors and %d MiB", open, resident>>20)
	if resident > maxResidentBytes {
		t.Errorf("resident: got %d MiB, want at most %d MiB", resident>>20, maxResidentBytes>>20)
	}
	if open > descriptors {
		t.Errorf("descriptors: got %d, want at most %d", open, descriptors)
	}
	frozen.UpdateBehaviour(func(b *target.Behaviour) { b.Frozen = false })
	answer := ""
	for end := time.Now().Add(answerLimit); !strings.HasPrefix(answer, "HTTP/1.1 200 "); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("ordinary requests: got %.80q and %v, want status 200", answer, err)
		}
		answer, err = exchange(address, "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	}
}

// openDescriptors returns the number of open descriptors of a process.
func openDescriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		// The process has exited, which is checked elsewhere.
		return 0
	}
	return len(entries)
}

// peakResidentBytes returns the most memory that a process has had resident.
func peakResidentBytes(pid int) (int64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(content)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kib << 10, err
		}
	}
	return 0, fmt.Errorf("no VmHWM of process %d", pid)
}

// exchange sends text on a connection of its own and returns what is sent back.
func exchange(address, text string) (string, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(answerLimit)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	answer, err := io.ReadAll(c)
	return string(answer), err
}
