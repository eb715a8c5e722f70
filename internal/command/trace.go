package command

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// maxLineBytes is the longest log line that can be read.
	maxLineBytes = 1 << 20
	// maxContextLines is the number of earlier state changes that are printed.
	maxContextLines = 12
)

// errNoCall means that no log line has the call's ID.
var errNoCall = eris.New("no log line has the call ID")

// traceCommand prints the log lines of a call, after the state changes that
// preceded it. With the prepared platform, the ID is the one that the caller sent.
type traceCommand struct {
	Call string   `arg:"" help:"The ID of the call: the field call of its log lines."`
	Log  []string `help:"Log files of one or more instances; - for standard input." required:"" placeholder:"FILE"`
}

// logLine is one parsed log line.
type logLine struct {
	Time     string
	Instance string
	Message  string
	Call     string
	// Fields holds the remaining fields of the line.
	Fields map[string]any
}

// Run implements the command.
func (c *traceCommand) Run(o *Output) error {
	lines, err := readLines(c.Log)
	if err != nil {
		return errors.Join(errUsage, err)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int {
		return cmp.Compare(a.Time, b.Time)
	})
	ofCall, instances, targets := callLines(lines, c.Call)
	if len(ofCall) == 0 {
		return eris.Wrapf(errNoCall, "%s in %s", c.Call, strings.Join(c.Log, ", "))
	}
	fmt.Fprintln(o.Stdout, "preceding state changes:")
	for _, l := range contextLines(lines, ofCall[0].Time, instances, targets) {
		printLine(o.Stdout, l)
	}
	fmt.Fprintln(o.Stdout, "the call:")
	for _, l := range ofCall {
		printLine(o.Stdout, l)
	}
	return nil
}

func readLines(paths []string) ([]logLine, error) {
	var lines []logLine
	for _, path := range paths {
		file := os.Stdin
		if path != "-" {
			opened, err := os.Open(path)
			if err != nil {
				return nil, err
			}
			defer opened.Close()
			file = opened
		}
		scanned, err := scanLines(file)
		if err != nil {
			return nil, eris.Wrap(err, path)
		}
		lines = append(lines, scanned...)
	}
	return lines, nil
}

// scanLines parses the JSON object in each line, after any prefix that a log
// collector has added. Lines without a JSON object are skipped.
func scanLines(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, object, found := strings.Cut(scanner.Text(), "{")
		fields := map[string]any{}
		if !found || json.Unmarshal([]byte("{"+object), &fields) != nil {
			continue
		}
		lines = append(lines, logLine{
			Time:     takeString(fields, "time"),
			Instance: takeString(fields, "instance"),
			Message:  takeString(fields, "msg"),
			Call:     takeString(fields, "call"),
			Fields:   fields,
		})
	}
	return lines, scanner.Err()
}

// takeString removes a field and returns its value, or an empty string if it is not
// a string.
func takeString(fields map[string]any, name string) string {
	s, _ := fields[name].(string)
	delete(fields, name)
	return s
}

// callLines returns the lines of a call and the instances and targets that they
// name.
func callLines(lines []logLine, call string) (ofCall []logLine, instances, targets map[string]bool) {
	instances = map[string]bool{}
	targets = map[string]bool{}
	for _, l := range lines {
		if l.Call != call {
			continue
		}
		ofCall = append(ofCall, l)
		instances[l.Instance] = true
		if t, ok := l.Fields["target"].(string); ok {
			targets[t] = true
		}
	}
	return ofCall, instances, targets
}

// contextLines returns the last lines without a call ID that the given instances
// logged before a time: state changes, such as new rules or the loss of the platform.
// It omits the events of single rules (rule-*), of peers (peer-*) and of targets
// (target-*) other than the given ones.
func contextLines(lines []logLine, before string, instances, targets map[string]bool) []logLine {
	var found []logLine
	for _, l := range lines {
		if l.Time >= before || l.Call != "" || !instances[l.Instance] {
			continue
		}
		if strings.HasPrefix(l.Message, "target-") && !mentionsTarget(l, targets) {
			continue
		}
		if strings.HasPrefix(l.Message, "rule-") || strings.HasPrefix(l.Message, "peer-") {
			continue
		}
		found = append(found, l)
	}
	return found[max(0, len(found)-maxContextLines):]
}

// mentionsTarget reports whether the line of a target event concerns one of the
// targets. The detail of such a line has the form "SERVICE TARGET".
func mentionsTarget(l logLine, targets map[string]bool) bool {
	detail, _ := l.Fields["detail"].(string)
	for t := range targets {
		if strings.HasSuffix(detail, " "+t) {
			return true
		}
	}
	return false
}

func printLine(w io.Writer, l logLine) {
	fmt.Fprintf(w, "  %s %s %s", l.Time, l.Instance, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name != "level" {
			fmt.Fprintf(w, " %s=%v", name, l.Fields[name])
		}
	}
	fmt.Fprintln(w)
}
