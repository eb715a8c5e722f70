// Package rules matches requests to the routes of a rules file and compares two rules
// files.
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
	// byPath holds the routes without a host by path prefix, without trailing slash.
	byPath map[string][]*tarragonwell.Route
	// byHost holds the routes of each lower-case host, longest path prefix first.
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
		p := strings.TrimSuffix(r.PathPrefix, "/")
		m.byPath[p] = append(m.byPath[p], r)
	}
	for _, list := range m.byHost {
		slices.SortStableFunc(list, func(a, b *tarragonwell.Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return m
}

// MatchHost returns the route of the host with the longest path prefix. The prefixes of
// routes with a host may end within a path segment. If there is no such route, it returns
// the result of Match. path must not contain the query.
func (m *Matcher) MatchHost(host, method, path string) *tarragonwell.Route {
	for _, r := range m.byHost[strings.ToLower(stripPort(host))] {
		if strings.HasPrefix(path, r.PathPrefix) && (r.Method == "" || r.Method == method) {
			return r
		}
	}
	return m.Match(method, path)
}

// stripPort returns the host without its port.
func stripPort(host string) string {
	bare, _, _ := strings.Cut(host, ":")
	return bare
}

// Match returns the route without a host that has the longest path prefix, in whole
// segments. Among routes with the same prefix, one for the method takes precedence over
// one for all methods. It returns nil if no route matches. path must not contain the
// query.
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

// matchMethod returns the route for the method, else the one for all methods, else nil.
func matchMethod(routes []*tarragonwell.Route, method string) *tarragonwell.Route {
	var anyMethod *tarragonwell.Route
	for _, r := range routes {
		if r.Method == method {
			return r
		}
		if r.Method == "" {
			anyMethod = r
		}
	}
	return anyMethod
}

// Explain returns the rules that apply to a request: those of its route, kind and
// service, or services if the route divides its traffic, and the fleet's if there is one.
// It returns nil if no route matches. host may be empty.
func Explain(s *tarragonwell.RuleSet, host, method, path string) []tarragonwell.RuleLine {
	r := NewMatcher(s.Routes).MatchHost(host, method, path)
	if r == nil {
		return nil
	}
	lines := []tarragonwell.RuleLine{r.Line, r.Kind.Line}
	if r.Service != nil {
		lines = append(lines, r.Service.Line)
	}
	for _, part := range r.Split {
		lines = append(lines, part.Service.Line)
	}
	if s.Fleet.Line.Number > 0 {
		lines = append(lines, s.Fleet.Line)
	}
	return lines
}
