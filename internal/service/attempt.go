package service

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/control"
	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// attempt sends the call once. If it panics, the lease is released and the call may have
// run.
func (d *dispatch) attempt(ctx context.Context, l *lease, number, retriesLeft int) (response *tarragonwell.Response, err *tarragonwell.AttemptError) {
	panicked := d.dispatcher.options.Common.Isolate("attempt", func() {
		response, err = d.attemptOnce(ctx, l, number, retriesLeft)
	})
	if panicked == nil {
		return response, err
	}
	l.release(scheduling.Release{
		Kind:   d.call.Route.Kind,
		Result: scheduling.AttemptCancelled,
	})
	return nil, &tarragonwell.AttemptError{
		Stage:  tarragonwell.StageSent,
		Reason: "internal error",
		Err:    panicked,
	}
}

// attemptOnce sends the call once. The response to a short call is buffered until it
// is complete; the response to a long call, or one that is too large to buffer,
// is streamed.
func (d *dispatch) attemptOnce(ctx context.Context, l *lease, number, retriesLeft int) (*tarragonwell.Response, *tarragonwell.AttemptError) {
	call := *d.call
	call.Attempt = number
	call.RetriesLeft = retriesLeft
	if call.Route.Kind.Long {
		return d.attemptLong(ctx, l, &call)
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	begin := d.dispatcher.options.Common.Clock.Now()
	response, err := sendCall(ctx, l, &call)
	if err != nil {
		cancel()
		d.releaseFailed(ctx, l, err, begin)
		return nil, err
	}
	return d.buffer(ctx, cancel, l, response, begin)
}

// sendCall sends the call to the lease's target. An error that is not an AttemptError
// is wrapped in one, as if the call had been sent.
func sendCall(ctx context.Context, l *lease, c *tarragonwell.Call) (*tarragonwell.Response, *tarragonwell.AttemptError) {
	if control.Enabled(control.PauseCheck) {
		c.SendBefore = l.grantedAt.Add(l.maxAge)
		if l.expired() {
			return nil, &tarragonwell.AttemptError{
				Stage:  tarragonwell.StageNotSent,
				Reason: errGrantExpired.Error(),
				Err:    errGrantExpired,
			}
		}
	}
	c.OwnConnection = l.triedBefore
	response, err := l.target.Send(ctx, c)
	if err == nil {
		return response, nil
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

// buffer reads the body of a short response into memory. A body that exceeds the limit, or
// for which there is no memory left, is streamed instead, and the lease is then released
// when the body is closed.
func (d *dispatch) buffer(ctx context.Context, cancel context.CancelFunc, l *lease, r *tarragonwell.Response, begin time.Time) (*tarragonwell.Response, *tarragonwell.AttemptError) {
	limit := d.dispatcher.options.Common.Settings.MaxResponseBufferBytes
	length := r.Length
	if d.call.Method == http.MethodHead {
		// The response to HEAD states a length but has no body.
		length = 0
	}
	buffered := &common.BlockBuffer{
		Budget: &d.dispatcher.options.Common.ResponseBytes,
	}
	ended, err := buffered.Fill(r.Body, length, limit)
	if err != nil {
		buffered.Release()
		_ = r.Body.Close()
		cancel()
		e := &tarragonwell.AttemptError{
			Stage:  tarragonwell.StageSent,
			Reason: "the answer broke off",
			Load:   r.Load,
			Err:    err,
		}
		d.releaseFailed(ctx, l, e, begin)
		return nil, e
	}
	release := scheduling.Release{
		Kind:    d.call.Route.Kind,
		Result:  resultForStatus(r.Status),
		Latency: d.dispatcher.since(begin),
		Load:    r.Load,
	}
	if !ended {
		r.Body = &releasingBody{
			reader:   io.MultiReader(buffered, r.Body),
			buffered: buffered,
			body:     r.Body,
			ctx:      ctx,
			cancel:   cancel,
			lease:    l,
			release:  release,
		}
		return r, nil
	}
	_ = r.Body.Close()
	cancel()
	l.release(release)
	r.Body = buffered
	if d.call.Method != http.MethodHead {
		r.Length = buffered.Size
	}
	return r, nil
}

// resultForStatus returns the result of an attempt whose response has the status:
// server errors count as failures of the target.
func resultForStatus(status int) scheduling.AttemptResult {
	if status >= http.StatusInternalServerError {
		return scheduling.AttemptFailed
	}
	return scheduling.AttemptSucceeded
}

// releaseFailed releases the lease of a failed attempt. An attempt that was cancelled,
// because the caller disconnected or the other attempt of a hedgedPair was faster, is
// not counted against the target, unless it was cancelled because the target sent
// nothing in time. Neither is one that was not sent because the target is drained.
func (d *dispatch) releaseFailed(ctx context.Context, l *lease, e *tarragonwell.AttemptError, begin time.Time) {
	result := scheduling.AttemptFailed
	switch {
	case e.Misdirected:
		result = scheduling.AttemptMisdirected
	case e.Stage == tarragonwell.StageRefused:
		result = scheduling.AttemptRefused
	case errors.Is(e.Err, target.ErrDrained):
		result = scheduling.AttemptCancelled
	case errors.Is(e.Err, context.Canceled) && !errors.Is(context.Cause(ctx), errStreamStalled):
		result = scheduling.AttemptCancelled
	}
	l.release(scheduling.Release{
		Kind:    d.call.Route.Kind,
		Result:  result,
		Latency: d.dispatcher.since(begin),
		Load:    e.Load,
	})
}
