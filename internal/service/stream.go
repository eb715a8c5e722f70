package service

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// maxResumes is the maximum number of attempts to resume one long response from
// another target.
const maxResumes = 8

// errStreamStalled means that a target did not send the response header by the call's
// deadline, or later sent no further data within the kind's timeout.
var errStreamStalled = eris.New("the target sent nothing in time")

// segment is the part of a long response that comes from one target.
type segment struct {
	lease  *lease
	body   io.ReadCloser
	cancel context.CancelCauseFunc
	// stallTimer cancels the segment if the target sends nothing in time.
	stallTimer *time.Timer
	begin      time.Time
}

// attemptLong sends the call once and returns a streamed response.
func (d *dispatch) attemptLong(ctx context.Context, l *lease, call *tarragonwell.Call) (*tarragonwell.Response, *tarragonwell.AttemptError) {
	ctx, cancel := streamContext(ctx, call)
	response, s, err := d.openSegment(ctx, l, call)
	if err != nil {
		cancel()
		return nil, err
	}
	response.Body = &streamBody{
		dispatch: d,
		ctx:      ctx,
		cancel:   cancel,
		status:   response.Status,
		call:     call,
		segment:  s,
		length:   response.Length,
		etag:     strongETag(response, call),
	}
	return response, nil
}

// streamContext returns the context of a long response. It ends when the caller stops
// waiting, if the caller stated that time.
func streamContext(ctx context.Context, call *tarragonwell.Call) (context.Context, context.CancelFunc) {
	if call.CallerTimeLeft <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, call.CallerTimeLeft)
}

// openSegment sends the call and waits for the response header, at most until the
// call's deadline.
func (d *dispatch) openSegment(ctx context.Context, l *lease, call *tarragonwell.Call) (*tarragonwell.Response, *segment, *tarragonwell.AttemptError) {
	begin := d.dispatcher.options.Common.Clock.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	stallTimer := time.AfterFunc(call.Deadline.Sub(begin), func() { cancel(errStreamStalled) })
	response, err := sendCall(ctx, l, call)
	if err != nil {
		stallTimer.Stop()
		d.releaseFailed(ctx, l, err, begin)
		cancel(nil)
		return nil, nil, err
	}
	stallTimer.Stop()
	s := &segment{
		lease:      l,
		body:       response.Body,
		cancel:     cancel,
		stallTimer: stallTimer,
		begin:      begin,
	}
	return response, s, nil
}

// close cancels the attempt and releases the segment's lease.
func (s *segment) close(d *dispatch, result scheduling.AttemptResult) {
	s.stallTimer.Stop()
	s.cancel(nil)
	_ = s.body.Close()
	s.lease.release(scheduling.Release{
		Kind:    d.call.Route.Kind,
		Result:  result,
		Latency: d.dispatcher.since(s.begin),
	})
}

// streamBody is the body of a long response. If the target's connection fails, the
// body is resumed from another target, provided that the response has a strong
// validator and a known length. Otherwise Read returns an error, so that a
// truncated body never looks complete.
type streamBody struct {
	dispatch *dispatch
	// ctx bounds the whole response, with all resumptions. Close cancels it.
	ctx    context.Context
	cancel context.CancelFunc
	// status is that of the first response.
	status int
	// end is the error that ended the body; io.EOF at its end, nil before.
	end  error
	call *tarragonwell.Call
	// segment is nil once the body is closed.
	segment *segment
	// offset is the number of bytes read so far.
	offset int64
	// length is the length of the whole body in bytes, or -1 if it is not known.
	length int64
	// etag is the strong validator; empty if the body can't be resumed.
	etag string
	// resumes is the number of attempts to resume the body so far.
	resumes int
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	if b.segment == nil {
		return 0, io.ErrClosedPipe
	}
	// The timer runs only while waiting for the target, not for the caller.
	b.segment.stallTimer.Reset(b.call.Route.Kind.Timeout)
	n, err := b.segment.body.Read(p)
	b.segment.stallTimer.Stop()
	b.offset += int64(n)
	if err == nil || err == io.EOF {
		b.end = err
		return n, err
	}
	if resumeErr := b.resume(err); resumeErr != nil {
		return n, eris.Wrap(err, resumeErr.Error())
	}
	return n, nil
}

// Close implements io.Closer. It releases the lease, unless a failure did.
func (b *streamBody) Close() error {
	defer b.cancel()
	if b.segment == nil {
		return nil
	}
	result := resultForStatus(b.status)
	if b.end != io.EOF {
		result = unfinishedResult(b.ctx, b.end)
	}
	b.segment.close(b.dispatch, result)
	b.segment = nil
	return nil
}

// resume closes the segment, which ended with an error, and opens the rest of the
// response at another target.
func (b *streamBody) resume(cause error) error {
	b.segment.close(b.dispatch, unfinishedResult(b.ctx, cause))
	b.segment = nil
	for b.resumes < maxResumes {
		b.resumes++
		if b.etag == "" || b.length < 0 {
			return eris.New("the answer can't be resumed")
		}
		if b.ctx.Err() != nil {
			return eris.New("the caller left or no longer waits")
		}
		if b.openRemainder() {
			b.dispatch.dispatcher.metrics.resumes.Inc()
			return nil
		}
	}
	return eris.New("no target went on with the answer")
}

// openRemainder requests the rest of the response from one target, and reports whether
// it succeeded. The retry budget counts it as a first attempt.
func (b *streamBody) openRemainder() bool {
	d := b.dispatch
	call := *b.call
	call.ID = fmt.Sprintf("%s-r%d", b.call.ID, b.resumes)
	call.Deadline = d.dispatcher.options.Common.Clock.Now().Add(call.Route.Kind.Timeout)
	// The copy shares the values, which are replaced and not changed.
	header := http.Header(maps.Clone(call.Header))
	if header == nil {
		header = http.Header{}
	}
	header.Set("Range", fmt.Sprintf("bytes=%d-", b.offset))
	header.Set("If-Range", b.etag)
	call.Header = header
	ctx, cancel := context.WithDeadline(b.ctx, call.Deadline)
	defer cancel()
	l, _ := d.dispatcher.acquire(ctx, scheduling.AcquireRequest{
		Kind:     call.Route.Kind,
		Deadline: call.Deadline,
		Exclude:  d.tried,
	})
	if l == nil {
		return false
	}
	d.tried = append(d.tried, l.grant.TargetID)
	response, s, err := d.openSegment(b.ctx, l, &call)
	if err != nil {
		return false
	}
	if !b.isContinuation(response) {
		s.close(d, scheduling.AttemptCancelled)
		return false
	}
	b.segment = s
	return true
}

// isContinuation reports whether a response is the rest of the same representation.
func (b *streamBody) isContinuation(r *tarragonwell.Response) bool {
	h := http.Header(r.Header)
	want := fmt.Sprintf("bytes %d-%d/%d", b.offset, b.length-1, b.length)
	return r.Status == http.StatusPartialContent && h.Get("ETag") == b.etag && h.Get("Content-Range") == want
}

// strongETag returns the strong validator of a response that can be resumed, or an
// empty string. Only complete, unencoded responses to GET can be resumed.
func strongETag(r *tarragonwell.Response, c *tarragonwell.Call) string {
	h := http.Header(r.Header)
	etag := h.Get("ETag")
	complete := c.Method == http.MethodGet && r.Status == http.StatusOK && h.Get("Content-Encoding") == ""
	if !complete || !strings.HasPrefix(etag, `"`) {
		return ""
	}
	if length, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64); err != nil || length != r.Length {
		return ""
	}
	return etag
}
