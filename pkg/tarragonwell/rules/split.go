package rules

import "github.com/tarragonwell/tarragonwell/pkg/tarragonwell"

// ChooseService returns the service to which a call on a route is assigned: the route's
// service or, if the route has a Split, one of its services, drawn in proportion to their
// weights. draw is a random number in [0, 1). The load of the services is ignored: an overloaded one keeps its share of
// the calls, and they don't move to the others.
func ChooseService(r *tarragonwell.Route, draw float64) *tarragonwell.Service {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := 0.0
	for _, p := range r.Split {
		total += p.Weight
	}
	remaining := draw * total
	for _, p := range r.Split {
		if remaining < p.Weight {
			return p.Service
		}
		remaining -= p.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
