package connector

import "fmt"

const (
	// MaxFrameBytes is the maximum size of a message of another entry. The largest hold a compressed configuration, or
	// what a tunnel carries.
	MaxFrameBytes = 8 << 20
	// MaxTypeBytes is the maximum size of all type definitions on a connection to another entry.
	MaxTypeBytes = 16 << 10
	// frameCopies is the number of times that the bytes of an accepted message are held: as they came, and decoded.
	frameCopies = 2
	// freeFrameBytes is the size up to which a message does not count in the account of the entry.
	freeFrameBytes = 32 << 10
	// maxLengthBytes is the maximum number of bytes of the length of a message, after the first one.
	maxLengthBytes = 8
)

// FrameTooLargeError is the error of reading from a connection to another entry on which a message begins that is larger
// than Max bytes, or bytes that are none.
type FrameTooLargeError struct{ Size, Max uint64 }

func (e FrameTooLargeError) Error() string {
	return fmt.Sprintf("message of %d bytes: must be at most %d", e.Size, e.Max)
}

// TypesTooLargeError is the error of reading from a connection to another entry on which more than MaxTypeBytes of type
// definitions arrive, which package encoding/gob keeps as long as the connection is open.
type TypesTooLargeError struct{ Size int }

func (e TypesTooLargeError) Error() string {
	return fmt.Sprintf("type definitions of %d bytes: must be at most %d", e.Size, MaxTypeBytes)
}

// gobUint reads an unsigned integer of package encoding/gob byte by byte: one byte below 128, or the negated number of the
// bytes that follow, the most significant first.
type gobUint struct {
	// left is the number of bytes that are still to come, value what has come.
	left  int
	value uint64
}

// add adds the next byte, and reports whether the integer is complete. It returns false for ever if it is too long.
func (u *gobUint) add(b byte) bool {
	switch {
	case u.left > 0:
		u.value = u.value<<8 | uint64(b)
		u.left--
	case b < 128:
		u.value = uint64(b)
	default:
		u.value, u.left = 0, 256-int(b)
	}
	return u.left == 0
}

// isTooLong reports whether the integer has more bytes than any has.
func (u *gobUint) isTooLong() bool { return u.left > maxLengthBytes }

// frameScanner follows the messages in a stream of package encoding/gob, each of which begins with its length and the ID of
// its type, a signed integer; a message with a negative ID defines a type.
type frameScanner struct {
	// max is the maximum size of a message.
	max uint64
	// length is the length of the current message, id the ID, as far as they have come.
	length, id gobUint
	// left is the number of bytes of the current message that are still to come. needsID is true until its ID has come.
	left    uint64
	needsID bool
	// typeBytes is the size of all messages that define types.
	typeBytes int
}

// scan follows the next bytes of the stream. It returns the size of the largest message of which a part is in p, and a
// FrameTooLargeError or a TypesTooLargeError if a limit is exceeded.
func (s *frameScanner) scan(p []byte) (largest uint64, err error) {
	if s.left > 0 {
		largest = s.length.value
	}
	for len(p) > 0 {
		if s.left > 0 && !s.needsID {
			n := min(s.left, uint64(len(p)))
			s.left, p = s.left-n, p[n:]
			continue
		}
		b := p[0]
		p = p[1:]
		if s.needsID {
			s.left--
			if err := s.scanID(b); err != nil {
				return largest, err
			}
			continue
		}
		isComplete := s.length.add(b)
		if s.length.isTooLong() || s.length.value > s.max {
			return largest, FrameTooLargeError{Size: s.length.value, Max: s.max}
		}
		if isComplete {
			s.left, s.needsID = s.length.value, s.length.value > 0
			largest = max(largest, s.left)
		}
	}
	return largest, nil
}

// scanID follows the next byte of the ID of a message. The lowest bit of an encoded signed integer is its sign.
func (s *frameScanner) scanID(b byte) error {
	isComplete := s.id.add(b)
	if s.id.isTooLong() {
		return FrameTooLargeError{Size: s.length.value, Max: s.max}
	}
	if !isComplete && s.left > 0 {
		return nil
	}
	if s.needsID = false; s.id.value&1 == 1 {
		s.typeBytes += int(s.length.value)
	}
	s.id = gobUint{}
	if s.typeBytes > MaxTypeBytes {
		return TypesTooLargeError{Size: s.typeBytes}
	}
	return nil
}
