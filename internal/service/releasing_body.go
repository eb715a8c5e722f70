package service

import (
	"context"
	"errors"
	"io"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// releasingBody streams a response that is too large to buffer, and releases the
// lease when it is closed.
type releasingBody struct {
	reader io.Reader
	// buffered is the part of the body that was read before it was streamed.
	buffered *common.BlockBuffer
	body     io.Closer
	// ctx is that of the attempt; it ends at the call's deadline.
	ctx    context.Context
	cancel context.CancelFunc
	// lease is nil once the body is closed.
	lease *lease
	// release is that of a body which is read to its end.
	release scheduling.Release
	// end is the error that ended the body; io.EOF at its end, nil before.
	end error
}

// Read implements io.Reader.
func (b *releasingBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err != nil {
		b.end = err
	}
	return n, err
}

// Close implements io.Closer. It releases the lease.
func (b *releasingBody) Close() error {
	if b.lease == nil {
		return nil
	}
	if b.end != io.EOF {
		b.release.Result = unfinishedResult(b.ctx, b.end)
	}
	b.buffered.Release()
	err := b.body.Close()
	b.cancel()
	b.lease.release(b.release)
	b.lease = nil
	return err
}

// unfinishedResult returns the result of an attempt whose body was not read to its end.
// err is the error that ended the body, or nil if the reader did not go on. A body that
// the reader gives up is no evidence of the target's health, one that fails or that is
// still not complete at the deadline of ctx is.
func unfinishedResult(ctx context.Context, err error) scheduling.AttemptResult {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return scheduling.AttemptFailed
	}
	if err == nil || ctx.Err() != nil {
		return scheduling.AttemptCancelled
	}
	return scheduling.AttemptFailed
}
