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
	maxLineBytes = 1 << 20
	// beliefs is how many earlier changes of belief are shown.
	beliefs = 12
)

// errNoCall means that no line names the call.
var errNoCall = eris.New("no line names the call")

// traceCommand walks from the id of a call to what decided its end.
type traceCommand struct {
	Call string   `arg:"" help:"The call's id, as it stands in the lines and in the request."`
	Log  []string `help:"Files of lines, of one or more instances; - for standard input." required:"" placeholder:"FILE"`
}

// logLine is one line with the fields that the walk goes by.
type logLine struct {
	Time     string
	Instance string
	Message  string
	Call     string
	Fields   map[string]any
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
	own, instances, targets := linesOf(lines, c.Call)
	if len(own) == 0 {
		return eris.Wrapf(errNoCall, "%s in %s", c.Call, strings.Join(c.Log, ", "))
	}
	fmt.Fprintln(o.Stdout, "what the instances believed before:")
	for _, l := range believed(lines, own[0].Time, instances, targets) {
		printLine(o.Stdout, l)
	}
	fmt.Fprintln(o.Stdout, "the call:")
	for _, l := range own {
		printLine(o.Stdout, l)
	}
	return nil
}

func readLines(paths []string) ([]logLine, error) {
	var out []logLine
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
		lines, err := scanLines(file)
		if err != nil {
			return nil, eris.Wrap(err, path)
		}
		out = append(out, lines...)
	}
	return out, nil
}

// scanLines takes the JSON object of each line, whatever a collector has put
// before it. Lines without one are passed over.
func scanLines(r io.Reader) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, object, found := strings.Cut(scanner.Text(), "{")
		fields := map[string]any{}
		if !found || json.Unmarshal([]byte("{"+object), &fields) != nil {
			continue
		}
		out = append(out, logLine{
			Time:     text(fields, "time"),
			Instance: text(fields, "instance"),
			Message:  text(fields, "msg"),
			Call:     text(fields, "call"),
			Fields:   fields,
		})
	}
	return out, scanner.Err()
}

func text(fields map[string]any, name string) string {
	s, _ := fields[name].(string)
	delete(fields, name)
	return s
}

// linesOf returns the lines of a call, and the instances and targets in them.
func linesOf(lines []logLine, call string) (own []logLine, instances, targets map[string]bool) {
	instances = map[string]bool{}
	targets = map[string]bool{}
	for _, l := range lines {
		if l.Call != call {
			continue
		}
		own = append(own, l)
		instances[l.Instance] = true
		if t, ok := l.Fields["target"].(string); ok {
			targets[t] = true
		}
	}
	return own, instances, targets
}

// believed returns the latest changes, before a time, of what the instances
// believed of the rules, the platform and the targets of the call.
func believed(lines []logLine, before string, instances, targets map[string]bool) []logLine {
	var out []logLine
	for _, l := range lines {
		if l.Time >= before || l.Call != "" || !instances[l.Instance] {
			continue
		}
		if strings.HasPrefix(l.Message, "target-") && !aboutOne(l, targets) {
			continue
		}
		if strings.HasPrefix(l.Message, "rule-") || strings.HasPrefix(l.Message, "peer-") {
			continue
		}
		out = append(out, l)
	}
	return out[max(0, len(out)-beliefs):]
}

func aboutOne(l logLine, targets map[string]bool) bool {
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
