// Package abuse tests that a process outlives abusive callers: crowds of them are played
// against an instance on loopback, one crowd at a time.
package abuse

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
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
	// descriptors is the limit that the settings set.
	descriptors = 200
	// settings are the lowered limits.
	settings = `limits: {descriptors: %d, held-head-bytes: 6291456, held-connection-bytes: 8388608, request-body-bytes: 65536, held-request-bytes: 1048576}
log: {level: error}`
	// manyDescriptors replaces the limit where memory is to be the limit.
	manyDescriptors = 2000
	// maxResidentBytes is twice what the settings allow callers (15 MiB), as the heap may
	// double between two collections, and 66 MiB for the process itself.
	maxResidentBytes = 96 << 20
	// callers is the number of callers of a crowd, more than there are descriptors.
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

// freeze freezes or thaws the targets. Requests are held while they are frozen.
func freeze(f *fleet.Fleet, frozen bool) {
	for _, x := range f.Targets["reads"] {
		x.UpdateBehaviour(func(b *target.Behaviour) { b.Frozen = frozen })
	}
}

// TestCrowdsAreWithstood guards against a process that abusive callers end, or bring above
// the memory or the descriptors of its machine, and against one that answers nobody after
// they have left.
func TestCrowdsAreWithstood(t *testing.T) {
	for a := range abusive.Attacks {
		t.Run(a.String(), func(t *testing.T) {
			f := start(t, byte(a)+1, descriptors)
			freeze(f, true)
			crowd := &abusive.Crowd{
				Address: f.Instances[0].CallerAddress(),
				Path:    "/a",
				Callers: callers,
				Attack:  a,
			}
			if a == abusive.HTTP2Streams {
				crowd.Callers = http2Connections
			}
			play(t, f, descriptors, crowd)
		})
	}
}

// TestManyHeadsAreWithstood guards against heads whose memory is bounded by the number of
// connections alone.
func TestManyHeadsAreWithstood(t *testing.T) {
	for n, a := range []abusive.Attack{abusive.ManyLines, abusive.ManyLinesHeld, abusive.SuccessiveConnections} {
		t.Run(a.String(), func(t *testing.T) {
			f := start(t, byte(abusive.Attacks)+3+byte(n), manyDescriptors)
			freeze(f, true)
			play(t, f, manyDescriptors, &abusive.Crowd{
				Address: f.Instances[0].CallerAddress(),
				Path:    "/a",
				Callers: callers,
				Attack:  a,
			})
		})
	}
}

// TestMixedCrowdsAreWithstood guards against limits that hold for each kind of abuse and not
// for several at a time: slow heads, heads of many lines and silent connections.
func TestMixedCrowdsAreWithstood(t *testing.T) {
	f := start(t, byte(abusive.Attacks)+1, descriptors)
	var crowds []*abusive.Crowd
	for _, a := range []abusive.Attack{abusive.SlowHead, abusive.ManyLines, abusive.ManyLinesHeld, abusive.Silent} {
		crowds = append(crowds, &abusive.Crowd{
			Address: f.Instances[0].CallerAddress(),
			Path:    "/a",
			Callers: callers / 4,
			Attack:  a,
		})
	}
	freeze(f, true)
	play(t, f, descriptors, crowds...)
}

// TestLargestHeadIsServed guards against limits that a caller within the limits of the
// configuration reaches: a head of 16,384 bytes with thousands of lines.
func TestLargestHeadIsServed(t *testing.T) {
	f := start(t, byte(abusive.Attacks)+2, descriptors)
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

// play plays crowds and checks the process while they last and afterwards.
func play(t *testing.T, f *fleet.Fleet, descriptors int, crowds ...*abusive.Crowd) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	done := make(chan struct{}, len(crowds))
	for _, c := range crowds {
		go func() {
			c.Run(ctx)
			done <- struct{}{}
		}()
	}
	process := f.Instances[0].Process()
	open := 0
	for ctx.Err() == nil {
		open = max(open, openDescriptors(process.PID()))
		time.Sleep(50 * time.Millisecond)
	}
	for range crowds {
		<-done
	}
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
	freeze(f, false)
	if err := awaitAnswer(f.Instances[0].CallerAddress()); err != nil {
		t.Error(err)
	}
}

// awaitAnswer sends ordinary requests until one gets a response of a target.
func awaitAnswer(address string) error {
	client := &http.Client{
		Timeout: answerLimit,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	var last error
	for end := time.Now().Add(answerLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + address + "/a")
		if err != nil {
			last = err
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
		last = fmt.Errorf("status %d", response.StatusCode)
	}
	return fmt.Errorf("no ordinary request was answered: %w", last)
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
