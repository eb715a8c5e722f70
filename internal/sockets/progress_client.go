package sockets

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// minProgressBytes is what has to arrive of a body within each StallTimeout. It is far below
// the rate of a usable link, and ends a response that arrives a few bytes at a time.
const minProgressBytes = 4 << 10

var (
	// ErrNoResponse means that no response has begun within the time limit.
	ErrNoResponse = eris.New("no response within the time limit")
	// ErrStalled means that the body of a response has stopped arriving.
	ErrStalled = eris.New("the response has stalled")
)

// ProgressClient makes HTTP requests whose time limits depend on the progress of the request and
// of the response and not on their sizes, so that large ones over a slow link are not given up.
type ProgressClient struct {
	// HTTP makes the requests; its Timeout must be 0.
	HTTP *http.Client
	// HeadTimeout bounds the time from the request, or from when the last part of its body was
	// passed on, to the end of the response's header.
	HeadTimeout time.Duration
	// StallTimeout bounds the time in which minProgressBytes of the body, or its end, arrive.
	StallTimeout time.Duration
}

// Do makes a request. Reads from the body of the response fail with ErrStalled once it has
// stopped arriving; the caller must close the body. Other errors are those of http.Client.Do,
// or ErrNoResponse.
func (c ProgressClient) Do(r *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	limit := time.AfterFunc(c.HeadTimeout, func() { cancel(ErrNoResponse) })
	r = r.WithContext(ctx)
	if r.Body != nil && r.Body != http.NoBody {
		r.Body = &progressRequestBody{
			ReadCloser: r.Body,
			timeout:    c.HeadTimeout,
			limit:      limit,
		}
	}
	response, err := c.HTTP.Do(r)
	if err != nil {
		limit.Stop()
		err = orCause(ctx, err)
		cancel(nil)
		return nil, err
	}
	// If the limit has just passed, the first read fails with ErrNoResponse.
	limit.Stop()
	response.Body = &progressBody{
		ReadCloser: response.Body,
		stall:      c.StallTimeout,
		limit:      time.AfterFunc(c.StallTimeout, func() { cancel(ErrStalled) }),
		ctx:        ctx,
		cancel:     cancel,
	}
	return response, nil
}

// progressRequestBody is the body of a request. It is read as the peer takes it in, except for
// what the buffers on the way hold.
type progressRequestBody struct {
	io.ReadCloser
	timeout time.Duration
	limit   *time.Timer
}

// Read implements io.Reader.
func (b *progressRequestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	// A limit that has passed, or that the response has ended, stays so.
	if n > 0 && b.limit.Stop() {
		b.limit.Reset(b.timeout)
	}
	return n, err
}

// progressBody is the body of a response whose request is cancelled if too few bytes arrive.
type progressBody struct {
	io.ReadCloser
	stall time.Duration
	// limit cancels the request; it is reset when enough bytes have arrived.
	limit *time.Timer
	// arrived counts the bytes since limit was reset.
	arrived int
	ctx     context.Context
	cancel  context.CancelCauseFunc
}

// Read implements io.Reader.
func (b *progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		return n, orCause(b.ctx, err)
	}
	b.arrived += n
	if b.arrived >= minProgressBytes {
		b.arrived = 0
		b.limit.Reset(b.stall)
	}
	return n, err
}

// Close implements io.Closer.
func (b *progressBody) Close() error {
	b.limit.Stop()
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

// orCause returns the reason for which the request's context has ended, or err if it has not.
func orCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
