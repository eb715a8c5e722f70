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

// builder collects the rules of a file and resolves the references between them.
type builder struct {
	set *tarragonwell.RuleSet
	// unresolved holds the service and kind names of each route until all lines
	// have been read.
	unresolved []*routeReferences
	// lineByKey holds the line number of each rule, by its unique key.
	lineByKey map[string]int
}

// routeReferences holds the names by which a route refers to other rules.
type routeReferences struct {
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
			Services:    map[string]*tarragonwell.Service{},
			Kinds:       map[string]*tarragonwell.Kind{},
			DataCenters: map[string]*tarragonwell.DataCenter{},
		},
		lineByKey: map[string]int{},
	}
}

// add validates one rule and adds it to the set.
func (b *builder) add(m *pb.Rule, d *yamldoc.Decoder, line tarragonwell.RuleLine) []*yamldoc.FieldError {
	c := &yamldoc.Checker{
		Decoder: d,
	}
	sections := 0
	for _, present := range []bool{m.Fleet != nil, m.Service != nil, m.Kind != nil, m.Route != nil, m.DataCenter != nil} {
		if present {
			sections++
		}
	}
	if sections != 1 {
		c.Fail("", "want exactly one of fleet, service, kind, route, data-center")
		return c.Errs
	}
	switch {
	case m.Fleet != nil:
		b.addFleet(m.Fleet, c, line)
	case m.Service != nil:
		b.addService(m.Service, c, line)
	case m.Kind != nil:
		b.addKind(m.Kind, c, line)
	case m.Route != nil:
		b.addRoute(m.Route, c, line)
	case m.DataCenter != nil:
		b.addDataCenter(m.DataCenter, c, line)
	}
	return c.Errs
}

// addLine sets the key of a rule and adds the rule to the lines of the set. A duplicate
// key is reported as an error of field.
func (b *builder) addLine(c *yamldoc.Checker, field, key string, line *tarragonwell.RuleLine) {
	if first, exists := b.lineByKey[key]; exists {
		c.Fail(field, "duplicate of line "+strconv.Itoa(first))
		return
	}
	b.lineByKey[key] = line.Number
	line.Key = key
	b.set.Lines = append(b.set.Lines, *line)
}

func (b *builder) addFleet(m *pb.FleetRule, c *yamldoc.Checker, line tarragonwell.RuleLine) {
	c.Prefix = "fleet"
	b.addLine(c, "", "fleet", &line)
	f := &b.set.Fleet
	f.Line = line
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

func (b *builder) addService(m *pb.ServiceRule, c *yamldoc.Checker, line tarragonwell.RuleLine) {
	c.Prefix = "service"
	c.Name("name", m.Name)
	c.Name("organisation", m.Organisation)
	b.addLine(c, "name", "service "+m.Name, &line)
	if m.Slots < 1 || m.Slots > maxSlots {
		c.Fail("slots", "must be between 1 and 10000")
	}
	if m.Connections < 1 {
		c.Fail("connections", "must be at least 1")
	}
	c.Fraction("retry-ratio", m.RetryRatio)
	c.OneOf("policy", m.Policy, policy.Names()...)
	c.NotNegative("warm-up-rate", m.WarmUpRate)
	s := &tarragonwell.Service{
		Name:         m.Name,
		Organisation: m.Organisation,
		Slots:        int(m.Slots),
		Connections:  int(m.Connections),
		ProbeBudget:  m.ProbeBudget,
		RetryRatio:   m.RetryRatio,
		Ramp:         c.Duration("ramp", m.Ramp, defaultRamp),
		WarmUpRate:   m.WarmUpRate,
		Policy:       m.Policy,
		Line:         line,
	}
	if c.Decoder.Line("service.probe-budget") == 0 {
		s.ProbeBudget = defaultProbeBudget
	}
	if !(s.ProbeBudget >= 0 && s.ProbeBudget <= maxProbeBudget) {
		c.Fail("probe-budget", "must be between 0 and 1000 per second")
	}
	if c.Decoder.Line("service.retry-ratio") == 0 {
		s.RetryRatio = defaultRetryRatio
	}
	if s.Policy == "" {
		s.Policy = policy.Default
	}
	b.set.Services[s.Name] = s
}

func (b *builder) addKind(m *pb.KindRule, c *yamldoc.Checker, line tarragonwell.RuleLine) {
	c.Prefix = "kind"
	c.Name("name", m.Name)
	c.Name("organisation", m.Organisation)
	b.addLine(c, "name", "kind "+m.Name, &line)
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
		Timeout:      c.Duration("deadline", m.Deadline, defaultDeadline),
		Weight:       max(1, int(m.Weight)),
		SlotShare:    m.SlotShare,
		Hedge:        m.Hedge,
		Line:         line,
	}
	if k.SlotShare == 0 {
		k.SlotShare = 1
	}
	if c.Decoder.Line("kind.repeatable") == 0 {
		c.Fail("repeatable", "is missing; set it to true or false")
	}
	if k.Long && !k.Repeatable {
		c.Fail("length", "a kind that is not repeatable can't be long")
	}
	if k.Hedge && (k.Long || !k.Repeatable) {
		c.Fail("hedge", "only short, repeatable kinds can be hedged")
	}
	b.set.Kinds[k.Name] = k
}

func (b *builder) addDataCenter(m *pb.DataCenterRule, c *yamldoc.Checker, line tarragonwell.RuleLine) {
	c.Prefix = "data-center"
	c.Name("name", m.Name)
	b.addLine(c, "name", "data-center "+m.Name, &line)
	if c.Decoder.Line("data-center.drain") == 0 {
		c.Fail("drain", "is missing; set it to true or false")
	}
	b.set.DataCenters[m.Name] = &tarragonwell.DataCenter{
		Name:  m.Name,
		Drain: m.Drain,
		Line:  line,
	}
}

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (b *builder) addRoute(m *pb.RouteRule, c *yamldoc.Checker, line tarragonwell.RuleLine) {
	c.Prefix = "route"
	c.OneOf("method", m.Method, methods...)
	c.Required("service", m.Service)
	c.Required("kind", m.Kind)
	if !strings.HasPrefix(m.Path, "/") {
		c.Fail("path", "must begin with /")
	}
	b.addLine(c, "path", "route "+m.Method+" "+strings.TrimSuffix(m.Path, "/"), &line)
	r := &tarragonwell.Route{
		Method:     m.Method,
		PathPrefix: m.Path,
		Line:       line,
	}
	b.set.Routes = append(b.set.Routes, r)
	b.unresolved = append(b.unresolved, &routeReferences{
		route:   r,
		service: m.Service,
		kind:    m.Kind,
	})
}

// resolveRoutes sets the service and the kind of each route from their names,
// once all lines have been read.
func (b *builder) resolveRoutes() []*yamldoc.FieldError {
	var errs []*yamldoc.FieldError
	reportUnknown := func(r *routeReferences, field, name string) {
		errs = append(errs, &yamldoc.FieldError{
			Line:    r.route.Line.Number,
			Field:   "route." + field,
			Message: "unknown " + field + " \"" + name + "\"",
		})
	}
	for _, r := range b.unresolved {
		r.route.Service = b.set.Services[r.service]
		r.route.Kind = b.set.Kinds[r.kind]
		if r.route.Service == nil {
			reportUnknown(r, "service", r.service)
		}
		if r.route.Kind == nil {
			reportUnknown(r, "kind", r.kind)
		}
		if r.route.Service == nil || r.route.Kind == nil {
			continue
		}
		if r.route.Service.Organisation != r.route.Kind.Organisation {
			errs = append(errs, &yamldoc.FieldError{
				Line:    r.route.Line.Number,
				Field:   "route.kind",
				Message: "the kind and the service belong to different organisations",
			})
		}
	}
	return errs
}
