package common

import (
	"io"
	"net"
)

// blockSize is the size in bytes of the blocks of a BlockBuffer. A block is allocated when
// the bytes before it have arrived, whatever length the sender states.
const blockSize = 32 << 10

// minBlockSize is the size of the first block if the length is not known. Further ones are
// as large as all before them, up to blockSize.
const minBlockSize = 1 << 10

// BlockBuffer holds a body, or the first part of one, in memory that counts against a
// budget. The bytes stay in the blocks into which they were read, so that no more than
// their size is allocated. It must be released.
type BlockBuffer struct {
	Budget *ByteBudget
	// OneBlock requests a single block if the length is known, for users that need the bytes
	// in one piece.
	OneBlock bool
	// Blocks are full but for the last one.
	Blocks net.Buffers
	// Size is the number of bytes that were read.
	Size int64
	// reserved is what is reserved from the budget; allocated, which is not more, is the
	// size of all blocks.
	reserved  int64
	allocated int64
}

// Reserve reserves memory for n further bytes, and reports whether the budget has it.
func (b *BlockBuffer) Reserve(n int64) bool {
	if !b.Budget.Reserve(n) {
		return false
	}
	b.reserved += n
	return true
}

// Fill reads a body until it ends, until the limit is reached or until the budget is spent,
// and reports whether it has ended. length is that of the body, or -1 if it is not known.
func (b *BlockBuffer) Fill(body io.Reader, length, limit int64) (ended bool, err error) {
	for b.Size != length {
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
func (b *BlockBuffer) freeBlock(length, limit int64) []byte {
	if n := len(b.Blocks); n > 0 && len(b.Blocks[n-1]) < cap(b.Blocks[n-1]) {
		last := b.Blocks[n-1]
		return last[len(last):cap(last)]
	}
	size := b.nextSize(length, limit)
	if size <= 0 {
		return nil
	}
	if missing := b.allocated + size - b.reserved; missing > 0 && !b.Reserve(missing) {
		return nil
	}
	b.allocated += size
	b.Blocks = append(b.Blocks, make([]byte, 0, size))
	return b.Blocks[len(b.Blocks)-1][:size]
}

// nextSize returns the size of the next block; 0 if the limit is reached.
func (b *BlockBuffer) nextSize(length, limit int64) int64 {
	switch {
	case length >= 0 && b.OneBlock:
		return min(length-b.Size, limit-b.Size)
	case length >= 0:
		return min(blockSize, length-b.Size, limit-b.Size)
	default:
		return min(blockSize, max(minBlockSize, b.Size), limit-b.Size)
	}
}

// add counts n bytes that were read into the free part of the last block.
func (b *BlockBuffer) add(n int) {
	last := len(b.Blocks) - 1
	b.Blocks[last] = b.Blocks[last][:len(b.Blocks[last])+n]
	b.Size += int64(n)
}

// Release returns the memory to the budget. Further calls have no effect.
func (b *BlockBuffer) Release() {
	b.Budget.Release(b.reserved)
	b.reserved = 0
	b.allocated = 0
	b.Blocks = nil
}

// Read implements io.Reader. It drops the blocks that were read, and releases the memory
// after the last one.
func (b *BlockBuffer) Read(p []byte) (int, error) {
	n, err := b.Blocks.Read(p)
	if len(b.Blocks) == 0 {
		b.Release()
	}
	return n, err
}

// WriteTo implements io.WriterTo. It writes from the blocks and returns the memory of each
// when it is written, so that a slow reader holds only what it has not read. With it, the
// header and the body of a short response to a caller need one write to its connection.
func (b *BlockBuffer) WriteTo(w io.Writer) (int64, error) {
	defer b.Release()
	var written int64
	for len(b.Blocks) > 0 {
		block := b.Blocks[0]
		n, err := w.Write(block)
		written += int64(n)
		if err != nil {
			return written, err
		}
		b.Blocks[0] = nil
		b.Blocks = b.Blocks[1:]
		b.reserved -= int64(cap(block))
		b.Budget.Release(int64(cap(block)))
	}
	return written, nil
}

// Close implements io.Closer.
func (b *BlockBuffer) Close() error {
	b.Release()
	return nil
}
