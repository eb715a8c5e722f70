package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// logCallEnd logs how a call without a ticket ended. Successful calls go to the
// routine log, whose lines are dropped before others when there are too many to
// write.
func (s *Server) logCallEnd(r *http.Request, call *tarragonwell.Call, routing *Routing, result *tarragonwell.Result, arrived time.Time) {
	c := s.options.Common
	log := c.RoutineLogger().Info
	status := 0
	if result.Response != nil {
		status = result.Response.Status
	}
	if result.Outcome != tarragonwell.OutcomeComplete || status >= http.StatusInternalServerError {
		log = c.Log.Warn
	}
	now := c.Clock.Now()
	log("call-ended", "call", call.ID, "kind", call.Route.Kind.Name, "service", call.Service.Name,
		"path", call.RequestURI, "rules-revision", routing.Rules.Version.Revision,
		"outcome", result.Outcome.String(), "status", status, "reason", result.Reason,
		"caller-left", callerLeft(r), "retry-after-ms", result.RetryAfter.Milliseconds(),
		"took-ms", now.Sub(arrived).Milliseconds(), "left-ms", call.Deadline.Sub(now).Milliseconds())
}

// callerLeft reports whether a request ended because its caller did not wait any longer.
func callerLeft(r *http.Request) bool {
	return r.Context().Err() != nil && !errors.Is(context.Cause(r.Context()), common.ErrStopping)
}

// logRejected logs a request that was rejected before it became a call. It has
// no generated call ID: the line has the ID that the caller sent, if the dialect
// defines one.
func (s *Server) logRejected(r *http.Request, reason string) {
	revision := uint64(0)
	if routing := s.options.CurrentRouting(); routing != nil {
		revision = routing.Rules.Version.Revision
	}
	s.options.Common.Log.Warn("request-turned-away", "call", s.dialect.CallID(r.Header), "host", r.Host,
		"method", r.Method, "path", r.URL.Path, "reason", reason, "rules-revision", revision,
		"body-bytes", r.ContentLength, "held-bytes", s.options.Common.Memory.Reserved())
}
