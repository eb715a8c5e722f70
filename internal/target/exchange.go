package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/control"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// Send implements tarragonwell.Exchanger.
func (t *Client) Send(ctx context.Context, c *tarragonwell.Call) (*tarragonwell.Response, error) {
	var writes writeTracker
	request, err := t.newRequest(writes.withTrace(ctx, c), c)
	if err != nil {
		return nil, &tarragonwell.AttemptError{
			Stage:  tarragonwell.StageNotSent,
			Reason: "the request can't be sent on",
			Err:    err,
		}
	}
	response, err := t.transportFor(c).RoundTrip(request)
	if err != nil {
		return nil, writes.exchangeError(err)
	}
	return t.acceptResponse(response, c)
}

// writeTracker records whether a byte of a call can have reached the target.
type writeTracker struct {
	conn *trackedConn
	// writesBefore is the number of writes on conn before it was used for the call.
	writesBefore uint64
	// writtenEarlier is set if the call was already written to a previous connection.
	writtenEarlier bool
}

// withTrace returns a context that records the connections used for the request and
// sets the call's deadline on them.
func (w *writeTracker) withTrace(ctx context.Context, c *tarragonwell.Call) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			w.writtenEarlier = w.written()
			w.conn, _ = info.Conn.(*trackedConn)
			if w.conn != nil {
				w.writesBefore = w.conn.setCallDeadline(c.Deadline)
			}
		},
	})
}

// written reports whether a byte of the call can have been written.
func (w *writeTracker) written() bool {
	return w.writtenEarlier || (w.conn != nil && w.conn.writes.Load() != w.writesBefore)
}

// exchangeError classifies an error of the transport.
func (w *writeTracker) exchangeError(err error) *tarragonwell.AttemptError {
	e := &tarragonwell.AttemptError{
		Stage:  tarragonwell.StageSent,
		Reason: "the target broke off",
		Err:    err,
	}
	switch {
	case errors.Is(err, errDeadlinePassed):
		e.Reason = "the deadline passed before the call was sent"
	case errors.Is(err, context.DeadlineExceeded):
		e.Reason = "the target did not answer in time"
	case errors.Is(err, context.Canceled):
		e.Reason = "the caller left"
	}
	if !w.written() {
		e.Stage = tarragonwell.StageNotSent
		var netErr *net.OpError
		if errors.As(err, &netErr) && netErr.Op == "dial" {
			e.Reason = "the target can't be reached"
		}
	}
	return e
}

// newRequest returns the HTTP request for a call.
func (t *Client) newRequest(ctx context.Context, c *tarragonwell.Call) (*http.Request, error) {
	u, err := url.ParseRequestURI(c.RequestURI)
	if err != nil {
		return nil, err
	}
	u.Scheme = "http"
	u.Host = t.options.Listed.Address
	r := &http.Request{
		Method:     c.Method,
		URL:        u,
		Host:       u.Host,
		Header:     ForwardableHeader(c.Header),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	r = r.WithContext(ctx)
	if v := r.Header.Get("Host"); v != "" {
		r.Host = v
		r.Header.Del("Host")
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		// An empty value keeps the transport from adding its own.
		r.Header.Set("User-Agent", "")
	}
	t.dialect.SetCallHeader(c, &t.options.Listed, time.Until(c.Deadline), r.Header)
	if !control.Enabled(control.SingleSend) {
		setRepeatableBody(r, c.Body)
		return r, nil
	}
	setSingleSendBody(r, c.Body)
	return r, nil
}

// setRepeatableBody sets a request body that the transport can read again for a retry.
func setRepeatableBody(r *http.Request, body []byte) {
	if len(body) == 0 {
		return
	}
	r.ContentLength = int64(len(body))
	r.GetBody = func() (io.ReadCloser, error) {
		return io.NopCloser(bytes.NewReader(body)), nil
	}
	r.Body, _ = r.GetBody()
}

// setSingleSendBody sets a request body and prevents the transport from retrying the
// request: the body cannot be read again, even if it is empty, and the headers that
// would permit a retry are removed.
func setSingleSendBody(r *http.Request, body []byte) {
	for _, name := range idempotencyKeyHeaders {
		r.Header.Del(name)
	}
	if len(body) == 0 && !transportRetriesMethod(r.Method) {
		r.Body = http.NoBody
		return
	}
	r.ContentLength = int64(len(body))
	r.Body = io.NopCloser(bytes.NewReader(body))
}

// transportRetriesMethod reports whether the transport retries a request without a body
// because of its method.
func transportRetriesMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// acceptResponse returns the target's response to a call, or an *ExchangeError if the
// dialect does not accept it.
func (t *Client) acceptResponse(r *http.Response, c *tarragonwell.Call) (*tarragonwell.Response, error) {
	head := t.dialect.ParseResponseHeader(c, r.StatusCode, r.Header)
	if head.Verdict != tarragonwell.ResponseAccepted {
		return nil, t.rejectResponse(r, head)
	}
	stripHopByHop(r.Header)
	return &tarragonwell.Response{
		Status:  r.StatusCode,
		Header:  r.Header,
		Body:    r.Body,
		Length:  r.ContentLength,
		Load:    head.Load,
		Leaving: head.Leaving,
		Target:  t.options.Listed.Address,
	}, nil
}

// rejectResponse closes a response that is not accepted and returns the error for it.
func (t *Client) rejectResponse(r *http.Response, head tarragonwell.ResponseInfo) *tarragonwell.AttemptError {
	e := &tarragonwell.AttemptError{
		Stage:   tarragonwell.StageRefused,
		Reason:  head.Reason,
		Load:    head.Load,
		Leaving: head.Leaving,
	}
	switch head.Verdict {
	case tarragonwell.ResponseMismatched:
		e.Stage = tarragonwell.StageSent
		// Further data on this connection may belong to any call.
		_ = r.Body.Close()
		t.closeIdleConnections()
		return e
	case tarragonwell.ResponseMisdirected:
		e.Misdirected = true
	}
	// If a short body is read to its end, the connection can be reused.
	_, _ = io.CopyN(io.Discard, r.Body, maxProbeBodySize)
	_ = r.Body.Close()
	return e
}
