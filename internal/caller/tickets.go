package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/tarragonwell/tarragonwell/internal/operations"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/operation"
)

// askTimeout bounds a question for an operation's outcome.
const askTimeout = 2 * time.Second

// ticketsBody answers a request for tickets.
type ticketsBody struct {
	Tickets []string `json:"tickets"`
	// LifeSeconds is how long the tickets can be used.
	LifeSeconds float64 `json:"life-seconds"`
}

// operationBody answers a question for an operation.
type operationBody struct {
	// State is unused, running or ended.
	State   string `json:"state"`
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason,omitempty"`
	// Status is the HTTP status of the target's answer.
	Status int `json:"status,omitempty"`
}

// mint makes tickets ahead.
func (s *Server) mint(w http.ResponseWriter, r *http.Request) {
	routing := s.options.Routing()
	if routing == nil {
		s.writeRefusal(w, tarragonwell.CauseUnavailable, "no rules are in force yet", time.Second)
		return
	}
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > operation.MaxBatch {
			s.writeRefusal(w, tarragonwell.CauseMalformed, "count: want 1 to "+strconv.Itoa(operation.MaxBatch), 0)
			return
		}
		count = n
	}
	life := routing.Rules.Fleet.TicketLife
	tickets, err := s.options.Operations.Mint(r.Context(), count, life)
	if err != nil {
		s.writeRefusal(w, tarragonwell.CauseUnavailable, err.Error(), time.Second)
		return
	}
	body := ticketsBody{
		LifeSeconds: life.Seconds(),
	}
	for _, t := range tickets {
		body.Tickets = append(body.Tickets, operations.FormatTicket(t))
	}
	writeJSON(w, http.StatusOK, body)
}

// operation tells the outcome of a ticket, or gives the ticket up.
func (s *Server) operation(w http.ResponseWriter, r *http.Request) {
	ticket, err := operations.ParseTicket(mux.Vars(r)["ticket"])
	if err != nil {
		s.writeRefusal(w, tarragonwell.CauseMalformed, err.Error(), 0)
		return
	}
	verb := tarragonwell.OperationQuery
	if r.Method == http.MethodDelete {
		verb = tarragonwell.OperationVoid
	}
	ctx, cancel := context.WithTimeout(r.Context(), askTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	result := s.options.Operations.Do(ctx, &tarragonwell.Operation{
		Ticket:   ticket,
		Verb:     verb,
		Deadline: deadline,
	})
	setOutcome(w.Header(), result.Outcome, result.Reason)
	writeJSON(w, http.StatusOK, operationBody{
		State:   operationState(result),
		Outcome: result.Outcome.String(),
		Reason:  result.Reason,
		Status:  result.Status,
	})
}

func operationState(r tarragonwell.StoredResult) string {
	switch {
	case r.Outcome == tarragonwell.OutcomeUnspecified:
		return "unused"
	case r.Reason == operation.ReasonRunning:
		return "running"
	default:
		return "ended"
	}
}
