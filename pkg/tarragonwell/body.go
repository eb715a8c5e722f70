package tarragonwell

import (
	"io"
	"sync/atomic"
)

// Body is the body of a request. It is held once, in blocks, and shared by all attempts to
// send the request. Its creator holds it; each reader, and each part that uses it for
// longer than its creator does, holds it too until it is closed. A nil *Body is empty.
type Body struct {
	// Blocks holds the bytes in order; no block is empty. Neither the blocks nor the bytes
	// change while the body is held.
	Blocks [][]byte
	// Size is the number of bytes in Blocks.
	Size int64
	// Release is called when the last holder has closed the body; nil for nothing to do.
	Release func()
	// others is the number of holders less one, so that the zero value is held by its
	// creator. It is negative once the body is released.
	others atomic.Int64
}

// NewBody returns a body that consists of the content, which must not change.
func NewBody(content []byte) *Body {
	if len(content) == 0 {
		return nil
	}
	return &Body{
		Blocks: [][]byte{content},
		Size:   int64(len(content)),
	}
}

// Length returns the number of bytes.
func (b *Body) Length() int64 {
	if b == nil {
		return 0
	}
	return b.Size
}

// Hold adds a holder, which has to call Close.
func (b *Body) Hold() {
	if b != nil {
		b.others.Add(1)
	}
}

// Close removes a holder. The last one releases the bytes.
func (b *Body) Close() {
	if b == nil || b.others.Add(-1) >= 0 {
		return
	}
	b.Blocks = nil
	if b.Release != nil {
		b.Release()
	}
}

// Bytes returns the whole body in one piece. It copies the bytes unless they are in one
// block.
func (b *Body) Bytes() []byte {
	if b == nil {
		return nil
	}
	if len(b.Blocks) == 1 {
		return b.Blocks[0]
	}
	out := make([]byte, 0, b.Size)
	for _, block := range b.Blocks {
		out = append(out, block...)
	}
	return out
}

// NewReader returns a reader of the whole body, which holds it until it is closed.
func (b *Body) NewReader() *BodyReader {
	r := &BodyReader{
		body: b,
	}
	if b != nil {
		b.Hold()
		r.blocks = b.Blocks
	}
	return r
}

// BodyReader reads a Body. Read and WriteTo must not run at the same time; Close may be
// called at any time.
type BodyReader struct {
	body *Body
	// blocks are those that are not read to their end; offset is the position in the first.
	blocks [][]byte
	offset int
	closed atomic.Bool
}

// Read implements io.Reader.
func (r *BodyReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		next, err := r.next()
		if err != nil {
			if n > 0 && err == io.EOF {
				err = nil
			}
			return n, err
		}
		k := copy(p[n:], next)
		n += k
		r.skip(k)
	}
	return n, nil
}

// WriteTo implements io.WriterTo. It writes from the blocks, without a copy.
func (r *BodyReader) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for {
		next, err := r.next()
		if err == io.EOF {
			return written, nil
		}
		if err != nil {
			return written, err
		}
		n, err := w.Write(next)
		written += int64(n)
		r.skip(n)
		if err != nil {
			return written, err
		}
	}
}

// next returns the rest of the first block.
func (r *BodyReader) next() ([]byte, error) {
	if r.closed.Load() {
		return nil, io.ErrClosedPipe
	}
	if len(r.blocks) == 0 {
		return nil, io.EOF
	}
	return r.blocks[0][r.offset:], nil
}

func (r *BodyReader) skip(n int) {
	r.offset += n
	if r.offset == len(r.blocks[0]) {
		r.blocks = r.blocks[1:]
		r.offset = 0
	}
}

// Close implements io.Closer. Further calls have no effect.
func (r *BodyReader) Close() error {
	if r.closed.CompareAndSwap(false, true) {
		r.body.Close()
	}
	return nil
}
