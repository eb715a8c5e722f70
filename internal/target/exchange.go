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
	var w writeWatch
	request, err := t.request(w.trace(ctx, c), c)
	if err != nil {
		return nil, &tarragonwell.AttemptError{
			Stage:  tarragonwell.StageNotSent,
			Reason: "the request can't be sent on",
			Err:    err,
		}
	}
	response, err := t.transportFor(c).RoundTrip(request)
	if err != nil {
		return nil, w.failure(err)
	}
	return t.answer(response, c)
}

// writeWatch finds out whether a byte of a call could have reached the target.
type writeWatch struct {
	conn *trackedConn
	// before is the count of writes when the call got its connection.
	before uint64
	// earlier says that an attempt on a former connection was written.
	earlier bool
}

func (w *writeWatch) trace(ctx context.Context, c *tarragonwell.Call) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			w.earlier = w.written()
			w.conn, _ = info.Conn.(*trackedConn)
			if w.conn != nil {
				w.before = w.conn.arm(c.Deadline)
			}
		},
	})
}

func (w *writeWatch) written() bool {
	return w.earlier || (w.conn != nil && w.conn.writes.Load() != w.before)
}

func (w *writeWatch) failure(err error) *tarragonwell.AttemptError {
	e := &tarragonwell.AttemptError{
		Stage:  tarragonwell.StageSent,
		Reason: "the target broke off",
		Err:    err,
	}
	switch {
	case errors.Is(err, errTooLate):
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

func (t *Client) request(ctx context.Context, c *tarragonwell.Call) (*http.Request, error) {
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
		// Else the transport would name itself.
		r.Header.Set("User-Agent", "")
	}
	t.dialect.SetCallHeader(c, &t.options.Listed, time.Until(c.Deadline), r.Header)
	if !control.Enabled(control.SingleSend) {
		setBody(r, c.Body)
		return r, nil
	}
	setSingleBody(r, c.Body)
	return r, nil
}

// setBody gives a request a body that the transport can have again.
func setBody(r *http.Request, body []byte) {
	if len(body) == 0 {
		return
	}
	r.ContentLength = int64(len(body))
	r.GetBody = func() (io.ReadCloser, error) {
		return io.NopCloser(bytes.NewReader(body)), nil
	}
	r.Body, _ = r.GetBody()
}

// setSingleBody keeps the transport from sending a request twice: the body
// can't be had again, not even where it is empty, and no header invites it.
func setSingleBody(r *http.Request, body []byte) {
	for _, name := range keys {
		r.Header.Del(name)
	}
	if len(body) == 0 && !resentByMethod(r.Method) {
		r.Body = http.NoBody
		return
	}
	r.ContentLength = int64(len(body))
	r.Body = io.NopCloser(bytes.NewReader(body))
}

// resentByMethod reports whether the transport repeats a request without a body
// for its method alone.
func resentByMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// answer checks what a target answered.
func (t *Client) answer(r *http.Response, c *tarragonwell.Call) (*tarragonwell.Response, error) {
	head := t.dialect.ParseResponseHeader(c, r.StatusCode, r.Header)
	if head.Verdict != tarragonwell.ResponseAccepted {
		return nil, t.turnAway(r, head)
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

// turnAway ends an exchange whose answer isn't taken.
func (t *Client) turnAway(r *http.Response, head tarragonwell.ResponseInfo) *tarragonwell.AttemptError {
	e := &tarragonwell.AttemptError{
		Stage:   tarragonwell.StageRefused,
		Reason:  head.Reason,
		Load:    head.Load,
		Leaving: head.Leaving,
	}
	switch head.Verdict {
	case tarragonwell.ResponseMismatched:
		e.Stage = tarragonwell.StageSent
		// What else comes on this connection may belong to any call.
		_ = r.Body.Close()
		t.closeIdle()
		return e
	case tarragonwell.ResponseMisdirected:
		e.Misdirected = true
	}
	// A short body read to its end leaves the connection fit for use.
	_, _ = io.CopyN(io.Discard, r.Body, maxProbeBodySize)
	_ = r.Body.Close()
	return e
}
