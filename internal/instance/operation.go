package instance

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/operation"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/rules"
)

// operationDispatcher dispatches the operations that this instance holds: those of its
// own incarnation, and those that it took over.
type operationDispatcher struct {
	common     *common.Dependencies
	reconciler *reconciler
}

// DispatchOperation implements tarragonwell.OperationDispatcher.
func (o *operationDispatcher) DispatchOperation(ctx context.Context, op *tarragonwell.Operation) tarragonwell.StoredResult {
	routing := o.reconciler.Routing()
	if routing == nil {
		return notRun("no rules are in force yet")
	}
	u, err := url.ParseRequestURI(op.RequestURI)
	if err != nil {
		return notRun("the request's path is malformed")
	}
	// As for other calls, the decoded path and the host select the route.
	route := routing.Match(http.Header(op.Header).Get("Host"), op.Method, u.Path)
	if route == nil {
		return notRun("no rule routes this request")
	}
	service := rules.ChooseService(route, rand.Float64())
	id := fmt.Sprintf("%x-%d", op.Ticket.Incarnation, op.Ticket.Sequence)
	result := routing.Dispatchers[service.Name].Dispatch(ctx, &tarragonwell.Call{
		ID:          id,
		Method:      op.Method,
		RequestURI:  op.RequestURI,
		Header:      op.Header,
		Body:        op.Body,
		Route:       route,
		Service:     service,
		Deadline:    op.Deadline,
		RetriesLeft: op.RetriesLeft,
		OperationID: id,
	})
	return o.storedResult(result)
}

// storedResult reads the result's body into memory, so that the result can be
// returned again. If the body is incomplete or exceeds the limit, the outcome is
// unknown.
func (o *operationDispatcher) storedResult(r tarragonwell.Result) tarragonwell.StoredResult {
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

// storedHeader returns the header without the fields that apply to a single transfer.
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
