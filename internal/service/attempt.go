package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// attempt sends the call once. A short answer is held until it is whole; a long
// one, or one that is too large to hold, is streamed.
func (d *dispatch) attempt(ctx context.Context, l *lease, number, retriesLeft int) (*tarragonwell.Response, *tarragonwell.AttemptError) {
	call := *d.call
	call.Attempt = number
	call.RetriesLeft = retriesLeft
	if call.Route.Kind.Long {
		return d.attemptLong(ctx, l, &call)
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	begin := d.service.options.Common.Clock.Now()
	answer, err := exchange(ctx, l, &call)
	if err != nil {
		cancel()
		d.releaseFailed(ctx, l, err, begin)
		return nil, err
	}
	return d.hold(ctx, cancel, l, answer, begin)
}

func exchange(ctx context.Context, l *lease, c *tarragonwell.Call) (*tarragonwell.Response, *tarragonwell.AttemptError) {
	answer, err := l.target.Send(ctx, c)
	if err == nil {
		return answer, nil
	}
	var e *tarragonwell.AttemptError
	if errors.As(err, &e) {
		return nil, e
	}
	return nil, &tarragonwell.AttemptError{
		Stage:  tarragonwell.StageSent,
		Reason: "the target broke off",
		Err:    err,
	}
}

// hold reads a short answer whole.
func (d *dispatch) hold(ctx context.Context, cancel context.CancelFunc, l *lease, a *tarragonwell.Response, begin time.Time) (*tarragonwell.Response, *tarragonwell.AttemptError) {
	limit := d.service.options.Common.Settings.MaxResponseBufferBytes
	length := a.Length
	if d.call.Method == http.MethodHead {
		length = 0
	}
	held, err := readUpTo(a.Body, length, limit+1)
	if err != nil {
		_ = a.Body.Close()
		cancel()
		e := &tarragonwell.AttemptError{
			Stage:  tarragonwell.StageSent,
			Reason: "the answer broke off",
			Load:   a.Load,
			Err:    err,
		}
		d.releaseFailed(ctx, l, e, begin)
		return nil, e
	}
	end := scheduling.Release{
		Kind:    d.call.Route.Kind,
		Result:  endOf(a.Status),
		Latency: d.service.since(begin),
		Load:    a.Load,
		Leaving: a.Leaving,
	}
	if int64(len(held)) > limit {
		a.Body = &releasingBody{
			Reader: io.MultiReader(bytes.NewReader(held), a.Body),
			body:   a.Body,
			cancel: cancel,
			lease:  l,
			end:    end,
		}
		return a, nil
	}
	_ = a.Body.Close()
	cancel()
	l.release(end)
	a.Body = io.NopCloser(bytes.NewReader(held))
	if d.call.Method != http.MethodHead {
		a.Length = int64(len(held))
	}
	return a, nil
}

// readUpTo reads a body whole, or its first limit bytes. The length is -1 where
// it isn't known.
func readUpTo(body io.Reader, length, limit int64) ([]byte, error) {
	if length < 0 || length >= limit {
		return io.ReadAll(io.LimitReader(body, limit))
	}
	held := make([]byte, length)
	_, err := io.ReadFull(body, held)
	return held, err
}

func endOf(status int) scheduling.AttemptResult {
	if status >= http.StatusInternalServerError {
		return scheduling.AttemptFailed
	}
	return scheduling.AttemptSucceeded
}

// releaseFailed gives a lease back after a failed attempt. What the instance
// itself cancelled says nothing of the target.
func (d *dispatch) releaseFailed(ctx context.Context, l *lease, e *tarragonwell.AttemptError, begin time.Time) {
	end := scheduling.AttemptFailed
	switch {
	case e.Misdirected:
		end = scheduling.AttemptMisdirected
	case e.Stage == tarragonwell.StageRefused:
		end = scheduling.AttemptRefused
	case errors.Is(e.Err, context.Canceled) && !errors.Is(context.Cause(ctx), errStalled):
		end = scheduling.AttemptCancelled
	}
	l.release(scheduling.Release{
		Kind:    d.call.Route.Kind,
		Result:  end,
		Latency: d.service.since(begin),
		Load:    e.Load,
		Leaving: e.Leaving,
	})
}

// releasingBody streams an answer that was too large to hold.
type releasingBody struct {
	io.Reader
	body   io.Closer
	cancel context.CancelFunc
	lease  *lease
	end    scheduling.Release
}

// Close gives the lease back.
func (b *releasingBody) Close() error {
	if b.lease == nil {
		return nil
	}
	err := b.body.Close()
	b.cancel()
	b.lease.release(b.end)
	b.lease = nil
	return err
}
