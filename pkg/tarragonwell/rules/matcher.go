// Package rules decides which rule is in force for a request and what one
// rules file changes against another.
package rules

import (
	"cmp"
	"slices"
	"strings"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// Matcher finds the route of a request. It is immutable; the zero value
// matches nothing.
type Matcher struct {
	// byPath holds the routes of each path prefix.
	byPath map[string][]*tarragonwell.Route
	// byHost holds the routes of each host, longest prefix first.
	byHost map[string][]*tarragonwell.Route
}

// NewMatcher indexes the routes of a rules file.
func NewMatcher(routes []*tarragonwell.Route) *Matcher {
	m := &Matcher{
		byPath: map[string][]*tarragonwell.Route{},
		byHost: map[string][]*tarragonwell.Route{},
	}
	for _, r := range routes {
		if r.Host != "" {
			h := strings.ToLower(r.Host)
			m.byHost[h] = append(m.byHost[h], r)
			continue
		}
		p := strings.TrimSuffix(r.Path, "/")
		m.byPath[p] = append(m.byPath[p], r)
	}
	for _, list := range m.byHost {
		slices.SortStableFunc(list, func(a, b *tarragonwell.Route) int {
			return cmp.Compare(len(b.Path), len(a.Path))
		})
	}
	return m
}

// MatchHost returns the route of a host with the longest literal prefix of the
// path, or else what Match returns.
func (m *Matcher) MatchHost(host, method, path string) *tarragonwell.Route {
	for _, r := range m.byHost[strings.ToLower(stripPort(host))] {
		if strings.HasPrefix(path, r.Path) && (r.Method == "" || r.Method == method) {
			return r
		}
	}
	return m.Match(method, path)
}

// stripPort cuts the port off.
func stripPort(host string) string {
	bare, _, _ := strings.Cut(host, ":")
	return bare
}

// Match returns the route with the longest path prefix; among equals, one that
// names the method. It returns nil where no route fits.
func (m *Matcher) Match(method, path string) *tarragonwell.Route {
	p := strings.TrimSuffix(path, "/")
	for {
		if r := matchMethod(m.byPath[p], method); r != nil {
			return r
		}
		i := strings.LastIndexByte(p, '/')
		if i < 0 {
			return nil
		}
		p = p[:i]
	}
}

func matchMethod(routes []*tarragonwell.Route, method string) *tarragonwell.Route {
	var other *tarragonwell.Route
	for _, r := range routes {
		if r.Method == method {
			return r
		}
		if r.Method == "" {
			other = r
		}
	}
	return other
}

// Explain returns the lines in force for a request: its route, kind, service
// and the fleet's.
func Explain(s *tarragonwell.RuleSet, method, path string) []tarragonwell.RuleLine {
	r := NewMatcher(s.Routes).Match(method, path)
	if r == nil {
		return nil
	}
	lines := []tarragonwell.RuleLine{r.Line, r.Kind.Line, r.Service.Line}
	if s.Fleet.Line.Number > 0 {
		lines = append(lines, s.Fleet.Line)
	}
	return lines
}
