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

// operationQueryTimeout bounds querying an operation's outcome and voiding its
// ticket.
const operationQueryTimeout = 2 * time.Second

// ticketsResponse is the response to a request for tickets.
type ticketsResponse struct {
	Tickets []string `json:"tickets"`
	// LifeSeconds is how long the tickets are valid.
	LifeSeconds float64 `json:"life-seconds"`
}

// operationResponse is the response to a query for an operation.
type operationResponse struct {
	// State is unused, running or ended.
	State   string `json:"state"`
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason,omitempty"`
	// Status is the HTTP status of the target's response; 0 for none.
	Status int `json:"status,omitempty"`
}

// mintTickets mints tickets in advance.
func (s *Server) mintTickets(w http.ResponseWriter, r *http.Request) {
	routing := s.options.CurrentRouting()
	if routing == nil {
		s.writeNotRun(w, tarragonwell.CauseUnavailable, "no rules are in force yet", time.Second)
		return
	}
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > operation.MaxBatch {
			s.writeNotRun(w, tarragonwell.CauseMalformed, "count: want 1 to "+strconv.Itoa(operation.MaxBatch), 0)
			return
		}
		count = n
	}
	lifetime := routing.Rules.Fleet.TicketLife
	tickets, err := s.options.Operations.Mint(r.Context(), count, lifetime)
	if err != nil {
		s.writeNotRun(w, tarragonwell.CauseUnavailable, err.Error(), time.Second)
		return
	}
	body := ticketsResponse{
		LifeSeconds: lifetime.Seconds(),
	}
	for _, t := range tickets {
		body.Tickets = append(body.Tickets, operations.FormatTicket(t))
	}
	writeJSON(w, http.StatusOK, body)
}

// handleOperation returns the outcome of a ticket's operation, or voids the ticket.
func (s *Server) handleOperation(w http.ResponseWriter, r *http.Request) {
	ticket, err := operations.ParseTicket(mux.Vars(r)["ticket"])
	if err != nil {
		s.writeNotRun(w, tarragonwell.CauseMalformed, err.Error(), 0)
		return
	}
	verb := tarragonwell.OperationQuery
	if r.Method == http.MethodDelete {
		verb = tarragonwell.OperationVoid
	}
	ctx, cancel := context.WithTimeout(r.Context(), operationQueryTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	result := s.options.Operations.Do(ctx, &tarragonwell.Operation{
		Ticket:   ticket,
		Verb:     verb,
		Deadline: deadline,
	})
	setOutcome(w.Header(), result.Outcome, result.Reason)
	writeJSON(w, http.StatusOK, operationResponse{
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
