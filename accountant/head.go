package accountant

import "bytes"

const (
	// headCopies is the number of times that the bytes of a head are held while it is read and parsed.
	headCopies = 3
	// fieldBytes is the memory of one parsed field of a head besides its bytes: its part of a map, which doubles as it
	// grows, and its list of values.
	fieldBytes = 256
)

// HeadScanner follows the head of an HTTP request or response as it arrives, and counts the memory that it takes. The zero
// value is ready for use.
type HeadScanner struct {
	// size and lines count the bytes and lines so far, lineBytes the bytes of the current line.
	size, lines, lineBytes int
	// endsInReturn is true if the last byte was a carriage return.
	endsInReturn bool
	isComplete   bool
}

// Scan follows the next bytes of a connection until the end of the head, and returns how many of them belong to it.
func (s *HeadScanner) Scan(p []byte) int {
	before := s.size
	for len(p) > 0 && !s.isComplete {
		line, rest, hasEnd := bytes.Cut(p, []byte{'\n'})
		if len(line) > 0 {
			s.lineBytes += len(line)
			s.endsInReturn = line[len(line)-1] == '\r'
		}
		s.size += len(p) - len(rest)
		if hasEnd {
			s.lines++
			s.isComplete = s.lineBytes == 0 || s.lineBytes == 1 && s.endsInReturn
			s.lineBytes = 0
		}
		p = rest
	}
	return s.size - before
}

// Size returns the number of bytes of the head so far.
func (s *HeadScanner) Size() int { return s.size }

// Lines returns the number of complete lines of the head so far.
func (s *HeadScanner) Lines() int { return s.lines }

// IsComplete reports whether the head has ended.
func (s *HeadScanner) IsComplete() bool { return s.isComplete }

// Memory returns the memory that the head takes, in bytes.
func (s *HeadScanner) Memory() int64 { return HeadMemory(s.size, s.lines) }

// HeadMemory returns the memory, in bytes, that a head of size bytes takes once its fields are parsed.
func HeadMemory(size, fields int) int64 { return headCopies*int64(size) + fieldBytes*int64(fields) }
