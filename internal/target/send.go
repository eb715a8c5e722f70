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

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/control"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// Send implements tarragonwell.Sender.
func (cl *Client) Send(ctx context.Context, c *tarragonwell.Call) (*tarragonwell.Response, error) {
	if err := cl.restrictionError(); err != nil {
		return nil, &tarragonwell.AttemptError{
			Stage:  tarragonwell.StageNotSent,
			Reason: err.Error(),
			Err:    err,
		}
	}
	var writes writeTracker
	request, err := cl.newRequest(writes.withTrace(ctx, c.Deadline, c.SendBefore), c)
	if err != nil {
		return nil, &tarragonwell.AttemptError{
			Stage:  tarragonwell.StageNotSent,
			Reason: "the request can't be sent on",
			Err:    err,
		}
	}
	response, err := cl.transportFor(c).RoundTrip(request)
	if err != nil {
		return nil, writes.attemptError(err)
	}
	return cl.acceptResponse(response, c, writes.reused)
}

// writeTracker records whether a byte of a call or of a probe can have reached the target.
type writeTracker struct {
	conn *trackedConn
	// writesBefore is the number of writes on conn before it was used for the call.
	writesBefore uint64
	// reused is set if conn has carried an earlier request.
	reused bool
	// writtenEarlier is set if the call was already written to a previous connection.
	writtenEarlier bool
}

// withTrace returns a context that records the connections used for the request and prepares
// them for it, with the deadlines for its writes and for the first of them.
func (w *writeTracker) withTrace(ctx context.Context, deadline, firstWriteBy time.Time) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			w.writtenEarlier = w.written()
			w.reused = info.Reused
			w.conn, _ = info.Conn.(*trackedConn)
			if w.conn != nil {
				w.writesBefore = w.conn.beginCall(deadline, firstWriteBy)
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if w.conn != nil {
				w.conn.endWrites()
			}
		},
	})
}

// written reports whether a byte of the call can have been written.
func (w *writeTracker) written() bool {
	return w.writtenEarlier || (w.conn != nil && w.conn.writes.Load() != w.writesBefore)
}

// attemptError classifies an error of the transport.
func (w *writeTracker) attemptError(err error) *tarragonwell.AttemptError {
	e := &tarragonwell.AttemptError{
		Stage:  tarragonwell.StageSent,
		Reason: "the target broke off",
		Err:    err,
	}
	switch {
	case errors.Is(err, errMalformedHead):
		e.Reason = "the target sent a malformed response"
	case errors.Is(err, errDeadlinePassed):
		e.Reason = "the deadline passed before the call was sent"
	case errors.Is(err, context.DeadlineExceeded):
		e.Reason = "the target did not answer in time"
	case errors.Is(err, common.ErrStopping):
		e.Reason = "the instance stops"
	case errors.Is(err, context.Canceled):
		// The caller left, or a hedged attempt was faster and this error is discarded.
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
func (cl *Client) newRequest(ctx context.Context, c *tarragonwell.Call) (*http.Request, error) {
	u, err := url.ParseRequestURI(c.RequestURI)
	if err != nil {
		return nil, err
	}
	u.Scheme = "http"
	u.Host = cl.options.Listed.Address
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
	cl.dialect.SetCallHeader(c, &cl.options.Listed, time.Until(c.Deadline), r.Header)
	// Safeguards of package control are disabled only by tests that show what they
	// prevent.
	if !control.Enabled(control.SingleSend) {
		setRetryableBody(r, c.Body)
		return r, nil
	}
	setBodyWithoutRetry(r, c.Body)
	return r, nil
}

// setRetryableBody sets a request body that the transport can read again for a retry.
// It is used only if the safeguard against repeated sends is disabled.
func setRetryableBody(r *http.Request, body *tarragonwell.Body) {
	if body.Length() == 0 {
		return
	}
	r.ContentLength = body.Length()
	r.GetBody = func() (io.ReadCloser, error) {
		return body.NewReader(), nil
	}
	r.Body, _ = r.GetBody()
}

// setBodyWithoutRetry sets a request body and prevents the transport from retrying the
// request, whether the call is repeatable or not: only package service decides on
// retries. The body cannot be read again, and the headers that would permit a retry are
// removed. For GET, HEAD, OPTIONS and TRACE, which the transport retries without a body,
// an empty body is set as a reader other than http.NoBody.
func setBodyWithoutRetry(r *http.Request, body *tarragonwell.Body) {
	for _, name := range idempotencyKeyHeaders {
		r.Header.Del(name)
	}
	if body.Length() == 0 && !transportRetriesMethod(r.Method) {
		r.Body = http.NoBody
		return
	}
	r.ContentLength = body.Length()
	r.Body = bodyReader(body)
}

// bodyReader returns a reader of the body, which the transport closes, possibly after Send
// has returned. A body of one block gets a type that the transport knows to be in memory,
// so that it is sent with the header in one write. That reader does not hold the body: an
// attempt that is given up may refer to the block until its connection is closed.
func bodyReader(body *tarragonwell.Body) io.ReadCloser {
	if body == nil || len(body.Blocks) == 1 {
		return io.NopCloser(bytes.NewReader(body.Bytes()))
	}
	return body.NewReader()
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

// acceptResponse returns the target's response to a call, or an *AttemptError if the
// dialect does not accept it. reused states that the connection has carried an earlier
// request.
func (cl *Client) acceptResponse(r *http.Response, c *tarragonwell.Call, reused bool) (*tarragonwell.Response, error) {
	info := cl.dialect.ParseResponseHeader(c, r.StatusCode, r.Header)
	if reused && mayBeEarlierRefusal(&info) {
		info.Verdict = tarragonwell.ResponseMismatched
		info.Reason = "the refusal does not say which request it answers"
	}
	cl.reportNotice(info.TargetNotice)
	if info.Verdict != tarragonwell.ResponseAccepted {
		return nil, cl.responseError(r, info)
	}
	stripHopByHop(r.Header)
	return &tarragonwell.Response{
		Status:        r.StatusCode,
		Header:        r.Header,
		Body:          r.Body,
		Length:        r.ContentLength,
		Load:          info.Load,
		TargetAddress: cl.options.Listed.Address,
	}, nil
}

// mayBeEarlierRefusal reports whether a response on a connection that has carried an earlier
// request may be the late copy of a refusal of that request.
func mayBeEarlierRefusal(i *tarragonwell.ResponseInfo) bool {
	refused := i.Verdict == tarragonwell.ResponseRefused || i.Verdict == tarragonwell.ResponseMisdirected
	return refused && !i.Identified && control.Enabled(control.ResponseIdentity)
}

// responseError closes a response that is not accepted and returns the error for it.
// The target refused the call, or the response belongs to another call or target.
func (cl *Client) responseError(r *http.Response, info tarragonwell.ResponseInfo) *tarragonwell.AttemptError {
	e := &tarragonwell.AttemptError{
		Stage:        tarragonwell.StageRefused,
		Reason:       info.Reason,
		Load:         info.Load,
		TargetNotice: info.TargetNotice,
	}
	switch info.Verdict {
	case tarragonwell.ResponseMismatched:
		e.Stage = tarragonwell.StageSent
		// Further data on this connection may belong to any call. If the response has
		// no body, the transport already counts the connection as idle, and it can only
		// be closed with all other idle ones.
		_ = r.Body.Close()
		cl.closeIdleConnections()
		return e
	case tarragonwell.ResponseMisdirected:
		e.Misdirected = true
	case tarragonwell.ResponseAmbiguous:
		e.Stage = tarragonwell.StageSent
	}
	discardBody(r.Body)
	return e
}

// discardTimeout bounds the time for which the body of a discarded response is read,
// because the call is retried only after that.
const discardTimeout = 20 * time.Millisecond

// discardBody closes a body. It first reads it, so that the connection can be reused if
// the body is short and ends in time.
func discardBody(body io.ReadCloser) {
	timer := time.AfterFunc(discardTimeout, func() { _ = body.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, body, maxSmallBodySize)
	_ = body.Close()
}
