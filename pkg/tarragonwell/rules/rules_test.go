package rules

import (
	"fmt"
	"testing"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

func newRoute(method, path string) *tarragonwell.Route {
	return &tarragonwell.Route{
		Method:     method,
		PathPrefix: path,
		Kind:       &tarragonwell.Kind{},
		Service: &tarragonwell.Service{
			Name: "s",
		},
	}
}

func TestMatch(t *testing.T) {
	m := NewMatcher([]*tarragonwell.Route{
		newRoute("", "/"),
		newRoute("GET", "/a"),
		newRoute("", "/a/b/"),
		newRoute("POST", "/a/b"),
	})
	tests := map[string]string{
		"GET /":       " /",
		"GET /other":  " /",
		"GET /a":      "GET /a",
		"PUT /a":      " /",
		"GET /a/x/y":  "GET /a",
		"GET /ab":     " /",
		"GET /a/b":    " /a/b/",
		"POST /a/b/c": "POST /a/b",
		"GET /a/b/":   " /a/b/",
	}
	for request, want := range tests {
		var method, path string
		_, _ = fmt.Sscan(request, &method, &path)
		r := m.Match(method, path)
		if got := r.Method + " " + r.PathPrefix; got != want {
			t.Errorf("%s: got %q, want %q", request, got, want)
		}
	}
	if got := (&Matcher{}).Match("GET", "/a"); got != nil {
		t.Errorf("zero value: got %v, want nil", got)
	}
}

func TestCompare(t *testing.T) {
	set := func(lines ...tarragonwell.RuleLine) *tarragonwell.RuleSet {
		return &tarragonwell.RuleSet{
			Lines: lines,
		}
	}
	line := func(key, text string) tarragonwell.RuleLine {
		return tarragonwell.RuleLine{
			Key:  key,
			Text: text,
		}
	}
	old := set(line("a", "1"), line("b", "1"), line("c", "1"))
	next := set(line("c", "1"), line("a", "2"), line("d", "1"))
	var got []string
	for _, c := range Compare(old, next) {
		got = append(got, c.Action+" "+c.Line.Key)
	}
	if want := "[altered a added d removed b]"; fmt.Sprint(got) != want {
		t.Errorf("got %v, want %v", got, want)
	}
	if got, want := len(Compare(nil, next)), 3; got != want {
		t.Errorf("no previous file: got %d changes, want %d", got, want)
	}
}
