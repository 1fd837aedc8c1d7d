package connector

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"

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

// interimStatus begins the head of an interim response, after which another head follows.
var interimStatus = []byte("HTTP/1.1 1")

// responseConn is a connection of a transport of NewTransport.
type responseConn struct {
	net.Conn
	// dialled is the connection that was opened.
	dialled net.Conn
	holding *accountant.Holding
	// lock guards the other fields. head follows the current head, of which begin holds the first bytes. lines counts those
	// of all heads before it.
	lock  sync.Mutex
	head  accountant.HeadScanner
	begin []byte
	lines int
}

// Read reads from the connection. Its error is a TooManyLinesError if the head of the response, together with those of
// interim responses before it, has too many lines.
func (c *responseConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.lock.Lock()
	defer c.lock.Unlock()
	for data := p[:max(n, 0)]; len(data) > 0 && !c.head.IsComplete(); {
		c.begin = append(c.begin, data[:min(len(data), len(interimStatus)-len(c.begin))]...)
		data = data[c.head.Scan(data):]
		lines := c.lines + c.head.Lines()
		if more := c.head.Memory() - c.holding.Bytes(); more > 0 {
			c.holding.Force(more)
		}
		if lines > MaxHeadLines {
			return 0, TooManyLinesError{Lines: lines}
		}
		if c.head.IsComplete() && bytes.Equal(c.begin, interimStatus) {
			c.head, c.begin, c.lines = accountant.HeadScanner{}, nil, lines
		}
	}
	return n, err
}

// Close closes the connection, and gives back the memory of the head.
func (c *responseConn) Close() error {
	c.holding.Close()
	return c.Conn.Close()
}

// Unwrap returns the connection that was opened, from one that an HTTP client uses.
func Unwrap(c net.Conn) net.Conn {
	if wrapped, ok := c.(*responseConn); ok {
		return wrapped.dialled
	}
	return c
}

// InvalidResponseError is the error of a response whose head http.Transport accepts although it is not one of HTTP, or
// not that of a final response. Nothing in it is believed or passed on.
type InvalidResponseError struct {
	Proto  string
	Status int
	// Header is the name of the invalid header; empty if Proto, the version of HTTP, or Status is invalid.
	Header string
}

func (e InvalidResponseError) Error() string {
	if e.Header != "" {
		return fmt.Sprintf("invalid response: header %.40q", e.Header)
	}
	return fmt.Sprintf("invalid response: %.20s status %d", e.Proto, e.Status)
}

// minStatus and maxStatus bound the statuses of final responses.
const minStatus, maxStatus = 200, 599

// CheckHead returns an InvalidResponseError if the head of a response is invalid.
func CheckHead(r *http.Response) error {
	if r.ProtoMajor != 1 || r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return InvalidResponseError{Proto: r.Proto, Status: r.StatusCode}
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return InvalidResponseError{Proto: r.Proto, Status: r.StatusCode, Header: name}
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return InvalidResponseError{Proto: r.Proto, Status: r.StatusCode, Header: name}
			}
		}
	}
	return nil
}
