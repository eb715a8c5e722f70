package instance

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/operation"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/rules"
)

// operationDispatcher runs operations at their home.
type operationDispatcher struct {
	common    *common.Dependencies
	documents *documents
}

// DispatchOperation implements tarragonwell.OperationDispatcher.
func (o *operationDispatcher) DispatchOperation(ctx context.Context, op *tarragonwell.Operation) tarragonwell.StoredResult {
	routing := o.documents.Routing()
	if routing == nil {
		return notRun("no rules are in force yet")
	}
	path, _, _ := strings.Cut(op.RequestURI, "?")
	route := routing.Match("", op.Method, path)
	if route == nil {
		return notRun("no rule routes this request")
	}
	service := rules.ChooseService(route, rand.Float64())
	name := fmt.Sprintf("%x-%d", op.Ticket.Incarnation, op.Ticket.Sequence)
	result := routing.Dispatchers[service.Name].Dispatch(ctx, &tarragonwell.Call{
		ID:          name,
		Method:      op.Method,
		RequestURI:  op.RequestURI,
		Header:      op.Header,
		Body:        op.Body,
		Route:       route,
		Service:     service,
		Deadline:    op.Deadline,
		RetriesLeft: op.RetriesLeft,
		OperationID: name,
	})
	return o.store(result)
}

// store makes a result that can be told again.
func (o *operationDispatcher) store(r tarragonwell.Result) tarragonwell.StoredResult {
	if r.Response == nil {
		return tarragonwell.StoredResult{
			Outcome: r.Outcome,
			Reason:  r.Reason,
		}
	}
	defer r.Response.Body.Close()
	limit := o.common.Settings.MaxResponseBufferBytes
	body, err := io.ReadAll(io.LimitReader(r.Response.Body, limit+1))
	if err != nil || int64(len(body)) > limit {
		return tarragonwell.StoredResult{
			Outcome: tarragonwell.OutcomeUnknown,
			Reason:  operation.ReasonNotKept,
		}
	}
	return tarragonwell.StoredResult{
		Outcome: r.Outcome,
		Status:  r.Response.Status,
		Header:  storedHeader(r.Response.Header),
		Body:    body,
		Reason:  r.Reason,
	}
}

// storedHeader leaves out what belongs to one transfer only.
func storedHeader(h http.Header) map[string][]string {
	out := h.Clone()
	out.Del("Content-Length")
	out.Del("Date")
	return out
}

func notRun(reason string) tarragonwell.StoredResult {
	return tarragonwell.StoredResult{
		Outcome: tarragonwell.OutcomeNotRun,
		Reason:  reason,
	}
}
