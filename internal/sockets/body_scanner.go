package sockets

// bodyPart is the part of a request body in which a bodyScanner is.
type bodyPart int

const (
	// partData: bytes of the body, or of a chunk and its line end.
	partData bodyPart = iota
	// partChunkSize: the line before a chunk.
	partChunkSize
	// partTrailer: the lines after the last chunk.
	partTrailer
	// partEnd: after the body.
	partEnd
)

// maxChunkSizeDigits bounds the hexadecimal digits of the size of a chunk, so that a size
// that is out of range is no small one. net/http accepts 16.
const maxChunkSizeDigits = 15

// bodyScanner finds the end of a request body, so that the head after it is counted. It
// changes nothing: what it does not understand is counted as a head, and net/http closes the
// connection. The zero value is that of an empty body.
type bodyScanner struct {
	part bodyPart
	// left is the number of bytes until the end of the part, in partData.
	left    int64
	chunked bool
	// size and digits are those of the current chunk so far; extension is set after the
	// digits.
	size      int64
	digits    int
	extension bool
	// trailer counts the lines after the last chunk, up to the empty one.
	trailer headScanner
}

// newBodyScanner returns a scanner of a body of the given length, or of a chunked one if the
// length is negative.
func newBodyScanner(length int64) bodyScanner {
	if length < 0 {
		return bodyScanner{
			part:    partChunkSize,
			chunked: true,
		}
	}
	return bodyScanner{
		left: length,
	}
}

// ended reports whether the body has ended.
func (b *bodyScanner) ended() bool {
	return b.part == partEnd || (b.part == partData && b.left == 0 && !b.chunked)
}

// scan scans bytes and returns how many of them belong to the body.
func (b *bodyScanner) scan(p []byte) (n int) {
	for n < len(p) && !b.ended() {
		switch b.part {
		case partData:
			k := min(b.left, int64(len(p)-n))
			b.left -= k
			n += int(k)
			if b.left == 0 && b.chunked {
				b.part = partChunkSize
			}
		case partChunkSize:
			b.scanChunkSize(p[n])
			n++
		case partTrailer:
			k, done := b.trailer.scan(p[n:])
			n += k
			if done {
				b.part = partEnd
			}
		}
	}
	return n
}

// scanChunkSize scans a byte of the line before a chunk.
func (b *bodyScanner) scanChunkSize(c byte) {
	digit, ok := hexDigit(c)
	switch {
	case c == '\n' && b.digits > 0:
		b.beginChunk()
	case c == '\n':
		b.part = partEnd
	case b.extension:
	case ok && b.digits < maxChunkSizeDigits:
		b.size = b.size<<4 | digit
		b.digits++
	case ok || b.digits == 0:
		b.part = partEnd
	default:
		b.extension = true
	}
}

// beginChunk begins a chunk, or the trailer after the last one.
func (b *bodyScanner) beginChunk() {
	if b.size == 0 {
		b.part = partTrailer
		// The first line may be the empty one.
		b.trailer = headScanner{
			started: true,
		}
		return
	}
	b.part = partData
	b.left = b.size + int64(len("\r\n"))
	b.size = 0
	b.digits = 0
	b.extension = false
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(c byte) (value int64, ok bool) {
	switch {
	case c >= '0' && c <= '9':
		return int64(c - '0'), true
	case c >= 'a' && c <= 'f':
		return int64(c-'a') + 10, true
	case c >= 'A' && c <= 'F':
		return int64(c-'A') + 10, true
	default:
		return 0, false
	}
}
