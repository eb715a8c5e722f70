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

// TestExplainHostAndSplit checks that the rules of a route with a host, and of one that
// divides its traffic, are explained.
func TestExplainHostAndSplit(t *testing.T) {
	service := func(name string) *tarragonwell.Service {
		return &tarragonwell.Service{
			Name: name,
			Line: tarragonwell.RuleLine{
				Key: name,
			},
		}
	}
	kind := &tarragonwell.Kind{
		Line: tarragonwell.RuleLine{
			Key: "kind",
		},
	}
	set := &tarragonwell.RuleSet{
		Routes: []*tarragonwell.Route{
			{
				Host:       "a.example",
				PathPrefix: "/x/",
				Kind:       kind,
				Line: tarragonwell.RuleLine{
					Key: "route",
				},
				Split: []tarragonwell.WeightedService{
					{
						Service: service("s1"),
						Weight:  1,
					},
					{
						Service: service("s2"),
						Weight:  2,
					},
				},
			},
		},
	}
	var got []string
	for _, l := range Explain(set, "A.example:80", "GET", "/x/1") {
		got = append(got, l.Key)
	}
	if want := "[route kind s1 s2]"; fmt.Sprint(got) != want {
		t.Errorf("got %v, want %s", got, want)
	}
	if got := Explain(set, "b.example", "GET", "/x/1"); got != nil {
		t.Errorf("another host: got %v, want nil", got)
	}
}
