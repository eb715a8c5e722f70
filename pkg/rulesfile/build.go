package rulesfile

import (
	"strconv"
	"strings"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/yamldoc"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/policy"
)

const (
	defaultInstancesAtMost = 16
	defaultTicketLife      = 2 * time.Minute
	defaultRamp            = 2 * time.Second
	defaultProbeBudget     = 5
	defaultRetryRatio      = 0.1
	defaultDeadline        = 2 * time.Second
	maxSlots               = 10_000
	maxWeight              = 1_000
	maxProbeBudget         = 1_000
	maxInstances           = 10_000
	maxTicketLife          = time.Hour
)

// builder gathers rules and resolves the names between them.
type builder struct {
	set *tarragonwell.RuleSet
	// wanted holds the names that each route refers to.
	wanted []*routeNames
	keys   map[string]int
}

type routeNames struct {
	route   *tarragonwell.Route
	service string
	kind    string
}

func newBuilder() *builder {
	return &builder{
		set: &tarragonwell.RuleSet{
			Fleet: tarragonwell.Fleet{
				InstancesAtMost: defaultInstancesAtMost,
				TicketLife:      defaultTicketLife,
			},
			Services: map[string]*tarragonwell.Service{},
			Kinds:    map[string]*tarragonwell.Kind{},
		},
		keys: map[string]int{},
	}
}

// add takes in one rule.
func (b *builder) add(m *pb.Rule, d *yamldoc.Decoder, l tarragonwell.RuleLine) []*yamldoc.FieldError {
	c := &yamldoc.Checker{
		Decoder: d,
	}
	sections := 0
	for _, set := range []bool{m.Fleet != nil, m.Service != nil, m.Kind != nil, m.Route != nil} {
		if set {
			sections++
		}
	}
	if sections != 1 {
		c.Fail("", "want exactly one of fleet, service, kind, route")
		return c.Errs
	}
	switch {
	case m.Fleet != nil:
		b.fleet(m.Fleet, c, l)
	case m.Service != nil:
		b.service(m.Service, c, l)
	case m.Kind != nil:
		b.kind(m.Kind, c, l)
	case m.Route != nil:
		b.route(m.Route, c, l)
	}
	return c.Errs
}

// claim makes the key of a rule unique and records its line.
func (b *builder) claim(c *yamldoc.Checker, field, key string, l *tarragonwell.RuleLine) {
	if first, taken := b.keys[key]; taken {
		c.Fail(field, "duplicate of line "+strconv.Itoa(first))
		return
	}
	b.keys[key] = l.Number
	l.Key = key
	b.set.Lines = append(b.set.Lines, *l)
}

func (b *builder) fleet(m *pb.FleetRule, c *yamldoc.Checker, l tarragonwell.RuleLine) {
	c.Prefix = "fleet"
	b.claim(c, "", "fleet", &l)
	f := &b.set.Fleet
	f.Line = l
	f.TicketLife = c.Duration("ticket-life", m.TicketLife, defaultTicketLife)
	if f.TicketLife > maxTicketLife {
		c.Fail("ticket-life", "must be at most 1h")
	}
	if m.InstancesAtMost > 0 {
		f.InstancesAtMost = int(m.InstancesAtMost)
	}
	if f.InstancesAtMost > maxInstances {
		c.Fail("instances-at-most", "must be at most 10000")
	}
}

func (b *builder) service(m *pb.ServiceRule, c *yamldoc.Checker, l tarragonwell.RuleLine) {
	c.Prefix = "service"
	c.Name("name", m.Name)
	c.Name("organisation", m.Organisation)
	b.claim(c, "name", "service "+m.Name, &l)
	if m.Slots < 1 || m.Slots > maxSlots {
		c.Fail("slots", "must be between 1 and 10000")
	}
	if m.Connections < 1 {
		c.Fail("connections", "must be at least 1")
	}
	c.Fraction("retry-ratio", m.RetryRatio)
	c.OneOf("policy", m.Policy, policy.Names()...)
	s := &tarragonwell.Service{
		Name:         m.Name,
		Organisation: m.Organisation,
		Slots:        int(m.Slots),
		Connections:  int(m.Connections),
		ProbeBudget:  m.ProbeBudget,
		RetryRatio:   m.RetryRatio,
		Ramp:         c.Duration("ramp", m.Ramp, defaultRamp),
		Policy:       m.Policy,
		Line:         l,
	}
	if c.Decoder.Line("service.probe-budget") == 0 {
		s.ProbeBudget = defaultProbeBudget
	}
	if !(s.ProbeBudget >= 0 && s.ProbeBudget <= maxProbeBudget) {
		c.Fail("probe-budget", "must be between 0 and 1000 a second")
	}
	if c.Decoder.Line("service.retry-ratio") == 0 {
		s.RetryRatio = defaultRetryRatio
	}
	if s.Policy == "" {
		s.Policy = policy.Default
	}
	b.set.Services[s.Name] = s
}

func (b *builder) kind(m *pb.KindRule, c *yamldoc.Checker, l tarragonwell.RuleLine) {
	c.Prefix = "kind"
	c.Name("name", m.Name)
	c.Name("organisation", m.Organisation)
	b.claim(c, "name", "kind "+m.Name, &l)
	c.OneOf("length", m.Length, "short", "long")
	c.Fraction("slot-share", m.SlotShare)
	if m.Weight > maxWeight {
		c.Fail("weight", "must be at most 1000")
	}
	k := &tarragonwell.Kind{
		Name:         m.Name,
		Organisation: m.Organisation,
		Repeatable:   m.Repeatable,
		Long:         m.Length == "long",
		Deadline:     c.Duration("deadline", m.Deadline, defaultDeadline),
		Weight:       max(1, int(m.Weight)),
		SlotShare:    m.SlotShare,
		Hedge:        m.Hedge,
		Line:         l,
	}
	if k.SlotShare == 0 {
		k.SlotShare = 1
	}
	if c.Decoder.Line("kind.repeatable") == 0 {
		c.Fail("repeatable", "is missing; say true or false")
	}
	if k.Long && !k.Repeatable {
		c.Fail("length", "a kind that must not repeat can't be long")
	}
	if k.Hedge && (k.Long || !k.Repeatable) {
		c.Fail("hedge", "only short, repeatable kinds can be hedged")
	}
	b.set.Kinds[k.Name] = k
}

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (b *builder) route(m *pb.RouteRule, c *yamldoc.Checker, l tarragonwell.RuleLine) {
	c.Prefix = "route"
	c.OneOf("method", m.Method, methods...)
	c.Required("service", m.Service)
	c.Required("kind", m.Kind)
	if !strings.HasPrefix(m.Path, "/") {
		c.Fail("path", "must begin with /")
	}
	b.claim(c, "path", "route "+m.Method+" "+strings.TrimSuffix(m.Path, "/"), &l)
	r := &tarragonwell.Route{
		Method: m.Method,
		Path:   m.Path,
		Line:   l,
	}
	b.set.Routes = append(b.set.Routes, r)
	b.wanted = append(b.wanted, &routeNames{
		route:   r,
		service: m.Service,
		kind:    m.Kind,
	})
}

// link resolves the names in routes once all lines have been read.
func (b *builder) link() []*yamldoc.FieldError {
	var errs []*yamldoc.FieldError
	unknown := func(w *routeNames, field, name string) {
		errs = append(errs, &yamldoc.FieldError{
			Line:    w.route.Line.Number,
			Field:   "route." + field,
			Message: "unknown " + field + " \"" + name + "\"",
		})
	}
	for _, w := range b.wanted {
		w.route.Service = b.set.Services[w.service]
		w.route.Kind = b.set.Kinds[w.kind]
		if w.route.Service == nil {
			unknown(w, "service", w.service)
		}
		if w.route.Kind == nil {
			unknown(w, "kind", w.kind)
		}
		if w.route.Service == nil || w.route.Kind == nil {
			continue
		}
		if w.route.Service.Organisation != w.route.Kind.Organisation {
			errs = append(errs, &yamldoc.FieldError{
				Line:    w.route.Line.Number,
				Field:   "route.kind",
				Message: "the kind and the service belong to different organisations",
			})
		}
	}
	return errs
}
