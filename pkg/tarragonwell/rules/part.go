package rules

import "github.com/tarragonwell/tarragonwell/pkg/tarragonwell"

// ChooseService returns the service that a call on a route falls to. The draw is in
// [0, 1). A part that is short of room is not spared: its calls are its own.
func ChooseService(r *tarragonwell.Route, draw float64) *tarragonwell.Service {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := 0.0
	for _, p := range r.Split {
		total += p.Weight
	}
	left := draw * total
	for _, p := range r.Split {
		if left < p.Weight {
			return p.Service
		}
		left -= p.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
