package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/test/standin/target"
)

// Violation is one breach of a promise, with the history around it.
type Violation struct {
	Promise string
	Detail  string
}

// Promises, as reports name them.
const (
	PromiseAtMostOnce     = "at-most-once"
	PromiseTruthfulNotRun = "truthful-not-run"
	PromiseCompleteWasRun = "complete-was-run"
	PromiseWholeAnswer    = "whole-answer"
	PromiseOneOutcome     = "one-outcome"
	PromiseLeavingTarget  = "leaving-target"
	PromiseGracefulStop   = "graceful-stop"
	PromiseNewestRules    = "newest-rules"
	PromiseProbeBudget    = "probe-budget"
)

// Check holds the calls against what the targets ran.
func Check(calls []Call, runs []target.Run) []Violation {
	byOperation := map[string][]target.Run{}
	for _, r := range runs {
		byOperation[r.Operation] = append(byOperation[r.Operation], r)
	}
	told := map[string][]Call{}
	for _, c := range calls {
		told[c.Operation] = append(told[c.Operation], c)
	}
	var out []Violation
	for operation, calls := range told {
		out = append(out, checkOperation(operation, calls, byOperation[operation])...)
	}
	return append(out, checkOutcomes(told)...)
}

func checkOperation(operation string, calls []Call, runs []target.Run) []Violation {
	var out []Violation
	report := func(promise string) {
		out = append(out, Violation{
			Promise: promise,
			Detail:  describe(operation, calls, runs),
		})
	}
	if !calls[0].Repeatable && len(runs) > 1 {
		report(PromiseAtMostOnce)
	}
	for _, c := range calls {
		switch {
		case c.WrongBody:
			report(PromiseWholeAnswer)
		case c.Outcome == tarragonwell.OutcomeNotRun && len(runs) > 0:
			report(PromiseTruthfulNotRun)
		case c.Outcome == tarragonwell.OutcomeComplete && c.Status < 300 && len(runs) == 0:
			report(PromiseCompleteWasRun)
		}
	}
	return out
}

// describe prints the smallest history around an operation.
func describe(operation string, calls []Call, runs []target.Run) string {
	text := operation + ":"
	for _, c := range calls {
		text += fmt.Sprintf("\n    %s..%s %s told %v status %d %s %s", clock(c.Begin), clock(c.End), c.Kind, c.Outcome, c.Status, c.Reason, c.Detail)
	}
	for _, r := range runs {
		text += fmt.Sprintf("\n    %s ran at %s as %s", clock(time.UnixMicro(r.UnixMicro)), r.Target, r.RequestID)
	}
	return text
}

func clock(t time.Time) string {
	return t.Format("05.000000")
}

// ticketState is the state of one ticket in the model: it goes from fresh to
// ran or void once.
type ticketState int

const (
	ticketFresh ticketState = iota
	ticketRan
	ticketVoid
)

// ticketModel says which sequences of outcomes one ticket may show.
var ticketModel = porcupine.NondeterministicModel{
	Init: func() []any {
		return []any{ticketFresh}
	},
	Step: func(s, _, o any) []any {
		switch o {
		case tarragonwell.OutcomeComplete:
			if s == ticketVoid {
				return nil
			}
			return []any{ticketRan}
		case tarragonwell.OutcomeNotRun:
			if s == ticketRan {
				return nil
			}
			return []any{ticketVoid}
		default:
			if s != ticketFresh {
				return []any{s}
			}
			return []any{ticketFresh, ticketRan, ticketVoid}
		}
	},
}

// checkOutcomes checks that all callers of a ticket were told one outcome.
func checkOutcomes(told map[string][]Call) []Violation {
	var out []Violation
	for operation, calls := range told {
		if !calls[0].Final || len(calls) < 2 {
			continue
		}
		var events []porcupine.Operation
		for n, c := range calls {
			events = append(events, porcupine.Operation{
				ClientId: n,
				Input:    operation,
				Call:     c.Begin.UnixNano(),
				Output:   c.Outcome,
				Return:   c.End.UnixNano(),
			})
		}
		if !porcupine.CheckOperations(ticketModel.ToModel(), events) {
			out = append(out, Violation{
				Promise: PromiseOneOutcome,
				Detail:  describe(operation, calls, nil),
			})
		}
	}
	return out
}

// CheckProbes checks that a target was probed at most limit times within any
// window.
func CheckProbes(address string, probes []time.Time, limit int, window time.Duration) []Violation {
	slices.SortFunc(probes, func(a, b time.Time) int { return a.Compare(b) })
	first := 0
	for n, p := range probes {
		for p.Sub(probes[first]) >= window {
			first++
		}
		if n-first+1 > limit {
			return []Violation{
				{
					Promise: PromiseProbeBudget,
					Detail:  fmt.Sprintf("%s: %d probes within %v, allowed are %d", address, n-first+1, window, limit),
				},
			}
		}
	}
	return nil
}

// RulesActivation is one coming into force of rules on an instance.
type RulesActivation struct {
	Instance string
	At       time.Time
	// Sequence orders what one life of an instance did within a millisecond.
	Sequence uint64
	Revision uint64
}

// CheckRules checks that no instance goes back to older rules, also not over a
// restart.
func CheckRules(seen []RulesActivation) []Violation {
	slices.SortStableFunc(seen, func(a, b RulesActivation) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), a.At.Compare(b.At), cmp.Compare(a.Sequence, b.Sequence))
	})
	var out []Violation
	for n := 1; n < len(seen); n++ {
		a, b := seen[n-1], seen[n]
		if a.Instance == b.Instance && a.Revision > b.Revision {
			out = append(out, Violation{
				Promise: PromiseNewestRules,
				Detail:  fmt.Sprintf("%s went from revision %d back to %d", a.Instance, a.Revision, b.Revision),
			})
		}
	}
	return out
}
