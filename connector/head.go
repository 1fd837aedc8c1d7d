package connector

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"github.com/sapphireramp/sapphireramp/accountant"
)

// MaxHeadBytes is the maximum size of the head of a response that an entry reads, MaxHeadLines the maximum number of its
// lines. http.Transport reads ten mebibytes unless a limit is set, and has none for lines.
const MaxHeadBytes, MaxHeadLines = 64 << 10, 512

// TooManyLinesError is the error of a response whose head has more than MaxHeadLines lines.
type TooManyLinesError struct{ Lines int }

func (e TooManyLinesError) Error() string {
	return fmt.Sprintf("response head of %d lines: must be at most %d", e.Lines, MaxHeadLines)
}

// InvalidResponseError is the error of a response whose head is not one of HTTP/1.0 or HTTP/1.1, or not that of a final
// response. Nothing in it is believed or passed on.
type InvalidResponseError struct {
	// Line is the number of the invalid line of the head, or of its last one if lines contradict each other, from 1 on.
	Line int
	// Problem says what is wrong with it.
	Problem string
}

func (e InvalidResponseError) Error() string {
	return fmt.Sprintf("invalid response: line %d of the head: %s", e.Line, e.Problem)
}

// responseHead follows the head of a response, with those of interim responses before it, as it arrives, and checks it as
// RFC 9112 has it. http.Transport takes more for a head: lines that end in a line feed alone, lines that continue the one
// before, names that are none. What it takes for the end of a head may then be another place than the upstream meant. The
// zero value is ready for use.
type responseHead struct {
	// line is what has come of the current line. size and lines count the bytes and the complete lines of the current head,
	// linesBefore the lines of the heads before it.
	line                     []byte
	size, lines, linesBefore int
	// status is that of the current head, isHTTP10 true if its version is HTTP/1.0; 0 and false until its first line is
	// complete. hasLength and hasCoding are true once a field has stated the length or a transfer coding of the body.
	status                         int
	isHTTP10, hasLength, hasCoding bool
	// isComplete is true once the head of the final response has ended.
	isComplete bool
}

// minStatus and maxStatus bound the statuses of final responses.
const minStatus, maxStatus = 200, 599

// memory returns the memory, in bytes, that the current head takes.
func (h *responseHead) memory() int64 {
	return accountant.HeadMemory(h.size, h.lines) + int64(cap(h.line))
}

// add follows the next bytes of the connection. Its error is an InvalidResponseError or a TooManyLinesError.
func (h *responseHead) add(data []byte) error {
	for len(data) > 0 && !h.isComplete {
		part, rest, hasEnd := bytes.Cut(data, []byte{'\n'})
		h.size += len(data) - len(rest)
		h.line, data = append(h.line, part...), rest
		if !hasEnd {
			return nil
		}
		h.lines++
		if lines := h.linesBefore + h.lines; lines > MaxHeadLines {
			return TooManyLinesError{Lines: lines}
		}
		if problem := h.addLine(string(h.line)); problem != "" {
			return InvalidResponseError{Line: h.linesBefore + h.lines, Problem: problem}
		}
		h.line = h.line[:0]
	}
	return nil
}

// addLine follows a line without its line feed, and returns what is wrong with it; empty if nothing is.
func (h *responseHead) addLine(line string) (problem string) {
	line, endsInReturn := strings.CutSuffix(line, "\r")
	switch {
	case !endsInReturn:
		return "it ends in a line feed alone"
	case h.lines == 1:
		return h.setStatus(line)
	case line != "":
		return h.addField(line)
	case h.status < minStatus:
		*h = responseHead{line: h.line, linesBefore: h.linesBefore + h.lines}
	case h.hasCoding && h.isHTTP10:
		return "transfer coding in HTTP/1.0" // http.Transport ignores it, and takes the codes for the body
	case h.hasCoding && h.hasLength:
		return "transfer coding and length"
	default:
		h.isComplete = true
	}
	return ""
}

// setStatus sets the status from the first line of a head, and returns what is wrong with it.
func (h *responseHead) setStatus(line string) (problem string) {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(code, 10, 16)
	major, minor, ok := http.ParseHTTPVersion(version)
	if !ok || major != 1 {
		return fmt.Sprintf("version %.20q", version)
	}
	isInterim := status >= http.StatusContinue && status < minStatus && status != http.StatusSwitchingProtocols
	if err != nil || len(code) != 3 || status > maxStatus || status < minStatus && !isInterim {
		return fmt.Sprintf("status %.20q", code)
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return "invalid reason phrase"
	}
	h.status, h.isHTTP10 = int(status), minor == 0
	return ""
}

// addField follows the line of a field, and returns what is wrong with it.
func (h *responseHead) addField(line string) (problem string) {
	name, value, hasColon := strings.Cut(line, ":")
	switch {
	case !hasColon:
		return "no colon"
	case !httpguts.ValidHeaderFieldName(name):
		return fmt.Sprintf("name %.40q", name)
	case !httpguts.ValidHeaderFieldValue(value):
		return fmt.Sprintf("value of %.40q", name)
	}
	h.hasLength = h.hasLength || strings.EqualFold(name, "Content-Length")
	h.hasCoding = h.hasCoding || strings.EqualFold(name, "Transfer-Encoding")
	return ""
}
