package service

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// maxResumes bounds how often one long answer goes on from another target.
const maxResumes = 8

// errStalled means that a target sent nothing for the kind's deadline.
var errStalled = eris.New("the target sent nothing in time")

// section is one target's part of a long answer.
type section struct {
	lease  *lease
	body   io.ReadCloser
	cancel context.CancelCauseFunc
	// guard cancels the section when nothing arrives in time.
	guard *time.Timer
	begin time.Time
}

// attemptLong starts a streamed answer.
func (d *dispatch) attemptLong(ctx context.Context, l *lease, call *tarragonwell.Call) (*tarragonwell.Response, *tarragonwell.AttemptError) {
	answer, part, err := d.openSection(ctx, l, call)
	if err != nil {
		return nil, err
	}
	answer.Body = &streamBody{
		dispatch: d,
		ctx:      ctx,
		call:     call,
		part:     part,
		length:   answer.Length,
		tag:      strongTag(answer, call),
	}
	return answer, nil
}

// openSection sends the call and guards its answer against silence.
func (d *dispatch) openSection(ctx context.Context, l *lease, call *tarragonwell.Call) (*tarragonwell.Response, *section, *tarragonwell.AttemptError) {
	begin := d.service.options.Common.Clock.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	guard := time.AfterFunc(call.Deadline.Sub(begin), func() { cancel(errStalled) })
	answer, err := exchange(ctx, l, call)
	if err != nil {
		guard.Stop()
		d.releaseFailed(ctx, l, err, begin)
		cancel(nil)
		return nil, nil, err
	}
	guard.Stop()
	part := &section{
		lease:  l,
		body:   answer.Body,
		cancel: cancel,
		guard:  guard,
		begin:  begin,
	}
	return answer, part, nil
}

// close gives the section's lease back.
func (p *section) close(d *dispatch, end scheduling.AttemptResult) {
	p.guard.Stop()
	p.cancel(nil)
	_ = p.body.Close()
	p.lease.release(scheduling.Release{
		Kind:    d.call.Route.Kind,
		Result:  end,
		Latency: d.service.since(p.begin),
	})
}

// streamBody is a long answer. When a target breaks off it goes on from
// another one, provided that the answer has a strong validator; else it fails,
// never ends early.
type streamBody struct {
	dispatch *dispatch
	ctx      context.Context
	call     *tarragonwell.Call
	// part is nil once the body is closed.
	part *section
	// offset counts the bytes handed on.
	offset int64
	// length is -1 where it isn't known.
	length int64
	// tag is the strong validator, or empty.
	tag     string
	resumes int
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	if b.part == nil {
		return 0, io.ErrClosedPipe
	}
	// The guard runs only while the target is waited for, not the caller.
	b.part.guard.Reset(b.call.Route.Kind.Timeout)
	n, err := b.part.body.Read(p)
	b.part.guard.Stop()
	b.offset += int64(n)
	if err == nil || err == io.EOF {
		return n, err
	}
	if resumeErr := b.resume(); resumeErr != nil {
		return n, eris.Wrap(err, resumeErr.Error())
	}
	return n, nil
}

// Close implements io.Closer.
func (b *streamBody) Close() error {
	if b.part == nil {
		return nil
	}
	b.part.close(b.dispatch, scheduling.AttemptSucceeded)
	b.part = nil
	return nil
}

// resume opens the rest of the answer at another target.
func (b *streamBody) resume() error {
	end := scheduling.AttemptFailed
	if b.ctx.Err() != nil {
		end = scheduling.AttemptCancelled
	}
	b.part.close(b.dispatch, end)
	b.part = nil
	for b.resumes < maxResumes {
		b.resumes++
		if b.tag == "" || b.length < 0 {
			return eris.New("the answer can't be resumed")
		}
		if b.ctx.Err() != nil {
			return eris.New("the caller left")
		}
		if b.openRest() {
			b.dispatch.service.metrics.resumes.Inc()
			return nil
		}
	}
	return eris.New("no target went on with the answer")
}

// openRest tries one target.
func (b *streamBody) openRest() bool {
	d := b.dispatch
	call := *b.call
	call.ID = fmt.Sprintf("%s-r%d", b.call.ID, b.resumes)
	call.Deadline = d.service.options.Common.Clock.Now().Add(call.Route.Kind.Timeout)
	call.Header = http.Header(call.Header).Clone()
	http.Header(call.Header).Set("Range", fmt.Sprintf("bytes=%d-", b.offset))
	http.Header(call.Header).Set("If-Range", b.tag)
	ctx, cancel := context.WithDeadline(b.ctx, call.Deadline)
	defer cancel()
	l, _ := d.service.acquire(ctx, scheduling.AcquireRequest{
		Kind:     call.Route.Kind,
		Deadline: call.Deadline,
		Exclude:  d.tried,
	})
	if l == nil {
		return false
	}
	d.tried = append(d.tried, l.grant.TargetID)
	answer, part, err := d.openSection(b.ctx, l, &call)
	if err != nil {
		return false
	}
	if !b.continues(answer) {
		part.close(d, scheduling.AttemptCancelled)
		return false
	}
	b.part = part
	return true
}

// continues checks that an answer is the rest of the same representation.
func (b *streamBody) continues(a *tarragonwell.Response) bool {
	h := http.Header(a.Header)
	want := fmt.Sprintf("bytes %d-%d/%d", b.offset, b.length-1, b.length)
	return a.Status == http.StatusPartialContent && h.Get("ETag") == b.tag && h.Get("Content-Range") == want
}

// strongTag returns the validator of an answer that may be resumed.
func strongTag(a *tarragonwell.Response, c *tarragonwell.Call) string {
	h := http.Header(a.Header)
	tag := h.Get("ETag")
	whole := c.Method == http.MethodGet && a.Status == http.StatusOK && h.Get("Content-Encoding") == ""
	if !whole || !strings.HasPrefix(tag, `"`) {
		return ""
	}
	if length, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64); err != nil || length != a.Length {
		return ""
	}
	return tag
}
