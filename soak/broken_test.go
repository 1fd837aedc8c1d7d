package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// brokenBody is the size of long uploads in bytes, wholeEvents the number of events of a whole stream.
const brokenBody, wholeEvents = 4 << 20, 5

// isBroken reports whether engines answer the first attempt of a request with a number wrongly: half of those of each route.
func isBroken(number int) bool { return number%4 < 2 }

// brokenEngines answers the first attempts of requests for which isBroken returns true as respond does, and all others
// soundly. It stands for all upstreams of a fleet.
type brokenEngines struct {
	// lock guards the other fields. attempts counts the attempts of each request.
	lock     sync.Mutex
	attempts map[string]int
	// respond writes a response to an attempt whose body has not been read. The connection is closed afterwards.
	respond func(c *net.TCPConn, a brokenAttempt)
}

// brokenAttempt is an attempt of a request at one of brokenEngines.
type brokenAttempt struct {
	// head is that of a sound response with status 200, without the line that ends it; body is the whole body of one.
	id, head, body string
	request        *http.Request
	// number is that of the request.
	number int
}

// part returns the part of the body that a broken answer sends: the first event of a stream.
func (a brokenAttempt) part() string { return a.body[:len(worker.StreamEvent(a.id, 1))] }

// readBody reads the whole request body.
func (a brokenAttempt) readBody() { _, _ = io.Copy(io.Discard, a.request.Body) }

// length returns the header of a whole body.
func (a brokenAttempt) length() string { return fmt.Sprintf("Content-Length: %d\r\n", len(a.body)) }

// newBrokenEngines makes brokenEngines listen in place of all upstreams of a fleet.
func newBrokenEngines(f *fleet) *brokenEngines {
	b := &brokenEngines{attempts: map[string]int{}}
	for id, r := range f.upstreamRelays {
		r.Stop()
		address := netip.AddrPortFrom(f.address(2, int(id[len(id)-1]-'0')), upstreamPort)
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				go b.serve(c.(*net.TCPConn), id)
			}
		}()
	}
	return b
}

// setResponse makes first attempts be answered by respond.
func (b *brokenEngines) setResponse(respond func(c *net.TCPConn, a brokenAttempt)) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.respond = respond
}

// serve answers one request.
func (b *brokenEngines) serve(c *net.TCPConn, engine string) {
	defer func() { _ = c.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	a := brokenAttempt{id: request.Header.Get("X-Attempt-Id"), request: request}
	a.head = fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Engine-Stamp: %s\r\nX-Attempt-Id: %s\r\nContent-Type: text/event-stream\r\n", engine, a.id)
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // 0 if there is none
	for n := last + 1; n <= wholeEvents; n++ {
		a.body += worker.StreamEvent(a.id, n)
	}
	b.lock.Lock()
	isFirst := b.attempts[a.id] == 0
	b.attempts[a.id]++
	respond := b.respond
	b.lock.Unlock()
	a.number, _ = strconv.Atoi(a.id[strings.LastIndex(a.id, "-")+1:]) // 0 if there is none
	if isFirst && isBroken(a.number) {
		respond(c, a)
		return
	}
	a.readBody()
	_, _ = io.WriteString(c, a.head+a.length()+"\r\n"+a.body)
}

// brokenResult is how a request ended for its caller.
type brokenResult struct {
	status int
	header http.Header
	body   string
	// isComplete is true if the caller takes what arrived for a whole response.
	isComplete bool
}

// askRaw sends one request to an entry with a version of HTTP, on a connection of its own. It calls onBegin when the body of
// a response has begun.
func (e *entry) askRaw(version, route, id string, bodySize int, onBegin func()) brokenResult {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", e.host, callerPort), time.Second)
	if err != nil {
		return brokenResult{}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	go func() {
		_, _ = fmt.Fprintf(c, "POST /%s/x %s\r\nHost: h\r\nAuthorization: Bearer key-1\r\nX-Attempt-Id: %s\r\nX-Token-Usage: 2000,200\r\nContent-Length: %d\r\n\r\n", route, version, id, bodySize)
		_, _ = io.WriteString(c, id+strings.Repeat("x", bodySize-len(id))) // requests of the same content may be held back together
	}()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return brokenResult{}
	}
	body := bufio.NewReader(response.Body)
	if _, err := body.Peek(1); err == nil {
		onBegin()
	}
	text, err := io.ReadAll(body)
	return brokenResult{status: response.StatusCode, header: response.Header, body: string(text), isComplete: err == nil}
}

// Guards against answers that no engine has sent whole, or that are none in HTTP, and are complete for their callers: real
// processes, engines that answer half of all requests so, calls that may be repeated and streams. What is not retried, as
// the retry budget of an entry that has just started is small, is an honest failure.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	f := newFleetWithLimits(t, 40, 1, limits{maxBody: brokenBody})
	engines := newBrokenEngines(f)
	f.awaitReady(20 * time.Second)
	for name, c := range brokenAnswers() {
		t.Run(name, func(t *testing.T) {
			engines.setResponse(c.respond)
			ended := map[string]int{}
			for n := range c.requests {
				route := []string{"safe", "stream"}[n%2]
				id := fmt.Sprintf("%s-%d", strings.ReplaceAll(name, " ", "-"), n)
				r := f.entries[0].askRaw("HTTP/1.1", route, id, c.bodySize, func() {})
				whole := ""
				for n := 1; n <= wholeEvents; n++ {
					whole += worker.StreamEvent(id, n)
				}
				end := fmt.Sprintf("status %d, complete %t", r.status, r.isComplete)
				switch {
				case r.isComplete && r.status == http.StatusOK && strings.Contains(fmt.Sprint(r.header), "Broken"):
					end = "wrong"
					t.Errorf("%s: with a broken line: %v", id, r.header)
				case r.isComplete && r.status == http.StatusOK && r.body == whole:
					end = "whole"
				case r.isComplete && r.status == http.StatusOK:
					end = "wrong"
					t.Errorf("%s: complete, %d bytes of %d: %.60q", id, len(r.body), len(whole), r.body)
				case c.isSound:
					t.Errorf("%s: %s, although an engine answered soundly", id, end)
				case r.isComplete && r.header.Get("X-Engine-Stamp") != "":
					t.Errorf("%s: status %d with the stamp of the engine", id, r.status)
				case !isBroken(n):
					t.Errorf("%s: %s, although an engine answered soundly", id, end)
				}
				ended[end]++
			}
			t.Log(ended)
		})
	}
}

// brokenAnswer is a way in which engines answer wrongly, and the load that shows it.
type brokenAnswer struct {
	respond            func(c *net.TCPConn, a brokenAttempt)
	requests, bodySize int
	// isSound is true if the answers are whole nevertheless.
	isSound bool
}

// brokenAnswers returns the ways in which engines answer wrongly.
func brokenAnswers() map[string]brokenAnswer {
	return map[string]brokenAnswer{
		"reset during the upload": {requests: 42, bodySize: brokenBody, respond: func(c *net.TCPConn, a brokenAttempt) {
			_, _ = io.WriteString(c, a.head+"\r\n"+a.part())
			time.Sleep(time.Duration(a.number%21) * time.Millisecond)
			_ = c.SetLinger(0) // makes Close reset the connection
		}},
		"closed with unread bytes during the upload": {requests: 42, bodySize: brokenBody, respond: func(c *net.TCPConn, a brokenAttempt) {
			_, _ = io.WriteString(c, a.head+"\r\n"+a.part())
			time.Sleep(time.Duration(a.number%21) * time.Millisecond)
			for !hasUnread(c) { // without unread bytes the kernel closes the connection in order
				time.Sleep(time.Millisecond)
			}
		}},
		"reset during the upload, after a whole answer": {requests: 84, bodySize: brokenBody, isSound: true, respond: func(c *net.TCPConn, a brokenAttempt) {
			_, _ = io.WriteString(c, a.head+a.length()+"\r\n"+a.body)
			time.Sleep(time.Duration(a.number%5) * time.Millisecond)
			_ = c.SetLinger(0)
		}},
		"reset after the upload": {requests: 10, bodySize: brokenBody, respond: func(c *net.TCPConn, a brokenAttempt) {
			a.readBody()
			_, _ = io.WriteString(c, a.head+"\r\n"+a.part())
			_ = c.SetLinger(0)
		}},
		"chunks in HTTP/1.0": {requests: 20, bodySize: 100, respond: func(c *net.TCPConn, a brokenAttempt) {
			a.readBody()
			_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", strings.Replace(a.head, "HTTP/1.1", "HTTP/1.0", 1), len(a.body), a.body)
		}},
		"LF before a name":        brokenHead("\nX-Broken: a\r\n", ""),
		"two LF behind a field":   brokenHead("X-Broken: a\n\n", ""),
		"LF behind the length":    brokenHead("", "\nX-Broken: a\r\n"),
		"space before a name":     brokenHead(" X-Broken: a\r\n", ""),
		"space before the length": brokenHead("X-Broken: a\r\n ", ""),
		"tab before a name":       brokenHead("", "\tX-Broken: a\r\n"),
	}
}

// hasUnread reports whether the kernel holds bytes of a connection that have not been read.
func hasUnread(c *net.TCPConn) bool {
	unread := 0
	raw, err := c.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	}
	return err != nil || unread > 0
}

// brokenHead returns an answer that is whole, but for lines of its head before the length or behind it.
func brokenHead(before, behind string) brokenAnswer {
	return brokenAnswer{requests: 20, bodySize: 100, respond: func(c *net.TCPConn, a brokenAttempt) {
		a.readBody()
		_, _ = io.WriteString(c, a.head+before+a.length()+behind+"\r\n"+a.body)
	}}
}

// Guards against answers that have begun at a caller and can't be finished, and that the caller takes for whole: it speaks
// HTTP/1.0, in which an answer without a length ends with the connection. The engine resets the connection after 3 MB of a
// plain answer, or an event of a stream that may not be resumed, or the entry is killed then.
func TestCutAnswersLookCutToEveryCaller(t *testing.T) {
	const part = 3 << 20
	f := newFleetWithLimits(t, 41, 1, limits{maxBody: brokenBody})
	engines := newBrokenEngines(f)
	e := f.entries[0]
	for _, killed := range []bool{false, true} {
		for _, route := range []string{"safe", "fixed"} {
			for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
				for _, length := range []string{"", fmt.Sprintf("Content-Length: %d\r\n", 2*part)} {
					t.Run(fmt.Sprintf("killed %t, %s, %s, length %t", killed, route, version, length != ""), func(t *testing.T) {
						f.awaitReady(20 * time.Second)
						begun := make(chan struct{})
						engines.setResponse(func(c *net.TCPConn, a brokenAttempt) {
							a.readBody()
							_, _ = io.WriteString(c, a.head+length+"\r\n"+a.part())
							if route == "safe" {
								_, _ = c.Write(make([]byte, part))
							}
							<-begun
							if killed {
								e.signal(syscall.SIGKILL)
								_, _ = c.Read(make([]byte, 1)) // until the entry ends
							}
							_ = c.SetLinger(0)
						})
						r := e.askRaw(version, route, fmt.Sprintf("cut-%t-%s-%s-%d-0", killed, route, version[5:], len(length)), 100, func() { close(begun) })
						if r.isComplete || r.status != http.StatusOK || len(r.body) == 0 {
							t.Errorf("status %d, complete %t, %d bytes", r.status, r.isComplete, len(r.body))
						}
						if killed {
							e.awaitExitWithin(5 * time.Second)
							e.start()
						}
					})
				}
			}
		}
	}
}
