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

// Violation is one breach of a promise.
type Violation struct {
	// Promise is one of the Promise constants.
	Promise string
	// Detail describes the breach, with the calls and runs of the operation where
	// there is one.
	Detail string
}

// Promises, by the names that reports use.
const (
	// PromiseAtMostOnce means that an operation that is not repeatable runs at
	// most once.
	PromiseAtMostOnce = "at-most-once"
	// PromiseTruthfulNotRun means that an operation reported as not-run has not run.
	PromiseTruthfulNotRun = "truthful-not-run"
	// PromiseCompleteWasRun means that an operation reported as complete, with a
	// status below 300, has run.
	PromiseCompleteWasRun = "complete-was-run"
	// PromiseWholeAnswer means that a response that looks complete to the caller is
	// the complete response to its own request.
	PromiseWholeAnswer = "whole-answer"
	// PromiseOneOutcome means that all calls with one ticket get the same final outcome.
	PromiseOneOutcome = "one-outcome"
	// PromiseLeavingTarget means that a target that is leaving is sent no calls
	// after Plan.LeavingGrace.
	PromiseLeavingTarget = "leaving-target"
	// PromiseGracefulStop means that a planned stop fails no caller's connection.
	PromiseGracefulStop = "graceful-stop"
	// PromiseNewestRules means that an instance does not revert to older rules, and
	// applies the newest rules within rulesConvergenceLimit.
	PromiseNewestRules = "newest-rules"
	// PromiseProbeBudget means that the fleet does not exceed the probe budget of
	// any target.
	PromiseProbeBudget = "probe-budget"
)

// Check compares the calls with the runs that the targets recorded.
func Check(calls []Call, runs []target.Run) []Violation {
	runsByOperation := map[string][]target.Run{}
	for _, r := range runs {
		runsByOperation[r.Operation] = append(runsByOperation[r.Operation], r)
	}
	callsByOperation := map[string][]Call{}
	for _, c := range calls {
		callsByOperation[c.Operation] = append(callsByOperation[c.Operation], c)
	}
	var out []Violation
	for operation, calls := range callsByOperation {
		out = append(out, checkOperation(operation, calls, runsByOperation[operation])...)
	}
	return append(out, checkOutcomes(callsByOperation)...)
}

func checkOperation(operation string, calls []Call, runs []target.Run) []Violation {
	var out []Violation
	addViolation := func(promise string) {
		out = append(out, Violation{
			Promise: promise,
			Detail:  formatHistory(operation, calls, runs),
		})
	}
	if !calls[0].Repeatable && len(runs) > 1 {
		addViolation(PromiseAtMostOnce)
	}
	for _, c := range calls {
		switch {
		case c.WrongBody:
			addViolation(PromiseWholeAnswer)
		case c.Outcome == tarragonwell.OutcomeNotRun && len(runs) > 0:
			addViolation(PromiseTruthfulNotRun)
		case c.Outcome == tarragonwell.OutcomeComplete && c.Status < 300 && len(runs) == 0:
			addViolation(PromiseCompleteWasRun)
		}
	}
	return out
}

// formatHistory lists the calls and runs of one operation.
func formatHistory(operation string, calls []Call, runs []target.Run) string {
	text := operation + ":"
	for _, c := range calls {
		text += fmt.Sprintf("\n    %s..%s %s got %v status %d %s %s", formatTime(c.Begin), formatTime(c.End), c.Kind, c.Outcome, c.Status, c.Reason, c.Detail)
	}
	for _, r := range runs {
		text += fmt.Sprintf("\n    %s ran at %s as %s", formatTime(time.UnixMicro(r.UnixMicro)), r.Target, r.RequestID)
	}
	return text
}

func formatTime(t time.Time) string {
	return t.Format("05.000000")
}

// ticketState is the state of one ticket in the model. It changes at most once,
// from unresolved to complete or not-run.
type ticketState int

const (
	ticketUnresolved ticketState = iota
	ticketComplete
	ticketNotRun
)

// ticketModel defines which sequences of outcomes are valid for one ticket. An
// unknown outcome is valid in every state.
var ticketModel = porcupine.NondeterministicModel{
	Init: func() []any {
		return []any{ticketUnresolved}
	},
	Step: func(s, _, o any) []any {
		switch o {
		case tarragonwell.OutcomeComplete:
			if s == ticketNotRun {
				return nil
			}
			return []any{ticketComplete}
		case tarragonwell.OutcomeNotRun:
			if s == ticketComplete {
				return nil
			}
			return []any{ticketNotRun}
		default:
			if s != ticketUnresolved {
				return []any{s}
			}
			return []any{ticketUnresolved, ticketComplete, ticketNotRun}
		}
	},
}

// checkOutcomes checks that the calls with one ticket got one final outcome.
func checkOutcomes(callsByOperation map[string][]Call) []Violation {
	var out []Violation
	for operation, calls := range callsByOperation {
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
				Detail:  formatHistory(operation, calls, nil),
			})
		}
	}
	return out
}

// CheckProbes checks that a target was probed at most limit times in every
// interval of the length window.
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
					Detail:  fmt.Sprintf("%s: %d probes within %v, want at most %d", address, n-first+1, window, limit),
				},
			}
		}
	}
	return nil
}

// RulesActivation is the activation of a rules revision on an instance.
type RulesActivation struct {
	Instance string
	At       time.Time
	// Sequence orders the activations of one incarnation within a millisecond.
	Sequence uint64
	Revision uint64
}

// CheckRules checks that no instance reverts to older rules, including across
// restarts.
func CheckRules(activations []RulesActivation) []Violation {
	slices.SortStableFunc(activations, func(a, b RulesActivation) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), a.At.Compare(b.At), cmp.Compare(a.Sequence, b.Sequence))
	})
	var out []Violation
	for n := 1; n < len(activations); n++ {
		a, b := activations[n-1], activations[n]
		if a.Instance == b.Instance && a.Revision > b.Revision {
			out = append(out, Violation{
				Promise: PromiseNewestRules,
				Detail:  fmt.Sprintf("%s reverted from revision %d to %d", a.Instance, a.Revision, b.Revision),
			})
		}
	}
	return out
}
