package caller

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/rules"
)

// Routing holds the routes and dispatchers of a rules file. It is immutable once
// published.
type Routing struct {
	Rules *tarragonwell.RuleSet
	// Dispatchers maps the name of each service in Rules to its dispatcher.
	Dispatchers   map[string]tarragonwell.Dispatcher
	matcher       *rules.Matcher
	metricsByKind map[string]*kindMetrics
}

// kindMetrics holds the request metrics of one kind.
type kindMetrics struct {
	outcomes map[tarragonwell.Outcome]*metrics.Counter
	seconds  *metrics.Histogram
}

// NewRouting indexes the routes of a rules file and registers the metrics of its
// kinds.
func NewRouting(set *tarragonwell.RuleSet, dispatchers map[string]tarragonwell.Dispatcher, s *metrics.Set) *Routing {
	r := &Routing{
		Rules:         set,
		Dispatchers:   dispatchers,
		matcher:       rules.NewMatcher(set.Routes),
		metricsByKind: map[string]*kindMetrics{},
	}
	for name := range set.Kinds {
		r.metricsByKind[name] = newKindMetrics(s, name)
	}
	return r
}

func newKindMetrics(s *metrics.Set, kind string) *kindMetrics {
	m := &kindMetrics{
		outcomes: map[tarragonwell.Outcome]*metrics.Counter{},
		seconds:  s.GetOrCreateHistogram(fmt.Sprintf("tarragonwell_request_seconds{kind=%q}", kind)),
	}
	for _, o := range []tarragonwell.Outcome{tarragonwell.OutcomeComplete, tarragonwell.OutcomeNotRun, tarragonwell.OutcomeUnknown} {
		m.outcomes[o] = s.GetOrCreateCounter(fmt.Sprintf("tarragonwell_requests_total{kind=%q,outcome=%q}", kind, o))
	}
	return m
}

// Match returns the route of a request, or nil. path is the decoded path without the
// query.
func (r *Routing) Match(host, method, path string) *tarragonwell.Route {
	return r.matcher.MatchHost(host, method, path)
}
