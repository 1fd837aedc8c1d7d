package connector

import "fmt"

const (
	// MaxFrameBytes is the maximum size of a message of another entry. The largest hold a compressed configuration, or
	// what a tunnel carries.
	MaxFrameBytes = 8 << 20
	// freeFrameBytes is the size up to which a message does not count in the account of the entry.
	freeFrameBytes = 32 << 10
	// maxLengthBytes is the maximum number of bytes of the length of a message, after the first one.
	maxLengthBytes = 8
)

// FrameTooLargeError is the error of reading from a connection to another entry on which a message begins that is larger
// than MaxFrameBytes, or bytes that are none.
type FrameTooLargeError struct{ Size uint64 }

func (e FrameTooLargeError) Error() string {
	return fmt.Sprintf("message of %d bytes: must be at most %d", e.Size, MaxFrameBytes)
}

// frameScanner follows the messages in a stream of package encoding/gob, each of which begins with its length as an
// unsigned integer: one byte below 128, or the negated number of the bytes that follow, the most significant first.
type frameScanner struct {
	// lengthLeft is the number of bytes of the length that are still to come, length what has come of it.
	lengthLeft int
	length     uint64
	// left is the number of bytes of the current message that are still to come.
	left uint64
}

// scan follows the next bytes of the stream. It returns the size of the largest message of which a part is in p, and a
// FrameTooLargeError if one is too large.
func (s *frameScanner) scan(p []byte) (largest uint64, err error) {
	largest = s.left
	for len(p) > 0 {
		if s.left > 0 {
			n := min(s.left, uint64(len(p)))
			s.left, p = s.left-n, p[n:]
			continue
		}
		b := p[0]
		p = p[1:]
		switch {
		case s.lengthLeft > 0:
			s.length = s.length<<8 | uint64(b)
			s.lengthLeft--
		case b < 128:
			s.length = uint64(b)
		default:
			s.length, s.lengthLeft = 0, 256-int(b)
		}
		if s.lengthLeft > maxLengthBytes || s.length > MaxFrameBytes {
			return largest, FrameTooLargeError{Size: s.length}
		}
		if s.lengthLeft == 0 {
			s.left = s.length
			largest = max(largest, s.left)
		}
	}
	return largest, nil
}
