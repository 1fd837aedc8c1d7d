package splitter

import (
	"bufio"
	"bytes"
)

// ScanCompleteLines is a split function for a bufio.Scanner like bufio.ScanLines, but leaves out a last line
// without an end. Where a stream is cut off within an event, the scanner then ends with the error of the stream
// and not with a part of the event.
func ScanCompleteLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if atEOF && bytes.IndexByte(data, '\n') < 0 {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}
