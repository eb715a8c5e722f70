package service

import (
	"io"
	"net"

	"github.com/tarragonwell/tarragonwell/internal/common"
)

// bufferBlockSize is the size in bytes of the blocks of a responseBuffer. A block is
// allocated when the bytes before it have arrived, whatever length a response states.
const bufferBlockSize = 32 << 10

// minBufferBlockSize is the size of the first block if the length is not known. Further ones
// are as large as all before them, up to bufferBlockSize.
const minBufferBlockSize = 1 << 10

// responseBuffer holds a response, or the first part of one, in memory that counts against
// the budget. It must be released.
type responseBuffer struct {
	budget   *common.ByteBudget
	reserved int64
	// blocks are full but for the last one.
	blocks net.Buffers
	size   int64
}

// fill reads a body until it ends, until the limit is reached or until the budget is spent,
// and reports whether it has ended. length is that of the body, or -1 if it is not known.
func (b *responseBuffer) fill(body io.Reader, length, limit int64) (ended bool, err error) {
	for b.size != length {
		block := b.freeBlock(length, limit)
		if block == nil {
			return false, nil
		}
		n, err := body.Read(block)
		b.add(n)
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return true, nil
}

// freeBlock returns the free part of the last block, which is a new one if that is full. It
// returns nil if the limit is reached or the budget spent.
func (b *responseBuffer) freeBlock(length, limit int64) []byte {
	if n := len(b.blocks); n > 0 && len(b.blocks[n-1]) < cap(b.blocks[n-1]) {
		last := b.blocks[n-1]
		return last[len(last):cap(last)]
	}
	size := min(bufferBlockSize, limit-b.size)
	if length >= 0 {
		size = min(size, length-b.size)
	} else {
		size = min(size, max(minBufferBlockSize, b.size))
	}
	if size <= 0 || !b.budget.Reserve(size) {
		return nil
	}
	b.reserved += size
	b.blocks = append(b.blocks, make([]byte, 0, size))
	return b.blocks[len(b.blocks)-1][:size]
}

// add counts n bytes that were read into the free part of the last block.
func (b *responseBuffer) add(n int) {
	last := len(b.blocks) - 1
	b.blocks[last] = b.blocks[last][:len(b.blocks[last])+n]
	b.size += int64(n)
}

// release returns the memory to the budget. Further calls have no effect.
func (b *responseBuffer) release() {
	b.budget.Release(b.reserved)
	b.reserved = 0
	b.blocks = nil
}

// Read implements io.Reader. It drops the blocks that were read, and releases the memory
// after the last one.
func (b *responseBuffer) Read(p []byte) (int, error) {
	n, err := b.blocks.Read(p)
	if len(b.blocks) == 0 {
		b.release()
	}
	return n, err
}

// WriteTo implements io.WriterTo. With it, the header and the body of a short response to a
// caller need one write to its connection.
func (b *responseBuffer) WriteTo(w io.Writer) (int64, error) {
	defer b.release()
	return b.blocks.WriteTo(w)
}

// Close implements io.Closer.
func (b *responseBuffer) Close() error {
	b.release()
	return nil
}
