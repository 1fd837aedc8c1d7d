package forwarder_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/forwarder"
	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// respondWith makes upstreams answer every request with the bytes that respond writes to the connection, which is
// closed at its end. It returns a function that makes them answer as before.
func (f *fixture) respondWith(upstreams []dispatcher.Instance, respond func(c net.Conn)) (restore func()) {
	var listeners []net.Listener
	for _, i := range upstreams {
		listener, err := f.net.Listen(i.Address)
		f.is.NoErr(err)
		listeners = append(listeners, listener)
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = c.Close() }()
					r, err := http.ReadRequest(bufio.NewReader(c))
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					respond(c)
				}()
			}
		}()
	}
	return func() {
		for _, l := range listeners {
			_ = l.Close()
		}
		for i, w := range append(append([]*worker.Worker{}, f.plain...), f.engines...) {
			f.restored = append(f.restored, f.serve(f.instances[i].Address, w))
		}
	}
}

// respondFirstWith makes upstreams answer the first request as respond does, and further ones with a sound response. It
// returns the number of requests so far, and a function that makes them answer as before.
func (f *fixture) respondFirstWith(sound string, respond func(c net.Conn)) (attempts *atomic.Int64, restore func()) {
	attempts = &atomic.Int64{}
	return attempts, f.respondWith(f.instances, func(c net.Conn) {
		if attempts.Add(1) > 1 {
			_, _ = io.WriteString(c, sound)
			return
		}
		respond(c)
	})
}

// paths are those of a plain call that may run once, one that may be repeated, a stream that may be resumed and one that
// may not.
var paths = []string{"/once/x", "/safe/x", "/stream/x", "/fixed/x"}

const soundHead = "Content-Type: text/plain\r\nX-Engine-Stamp: stamp\r\nX-Engine-Header: spoiled\r\n"

// Guards against responses that are none in HTTP: their headers, the stamp of the engine among them, in an answer of the
// entry's own (review case 6), placements that are never given back, and success without the whole response.
func TestSpoiledResponsesAreFailures(t *testing.T) {
	event := "id: 1\ndata: a\n\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(event))
	for name, response := range map[string]string{
		"status 000":            "HTTP/1.1 000 OK\r\n" + soundHead + length + "\r\n" + event,
		"status 099":            "HTTP/1.1 099 OK\r\n" + soundHead + length + "\r\n" + event,
		"status 101":            "HTTP/1.1 101 OK\r\n" + soundHead + length + "\r\n" + event,
		"status 101, upgrade":   "HTTP/1.1 101 OK\r\nConnection: upgrade\r\nUpgrade: x\r\n" + soundHead + length + "\r\n" + event,
		"status 100 only":       "HTTP/1.1 100 Continue\r\n\r\n",
		"status 600":            "HTTP/1.1 600 OK\r\n" + soundHead + length + "\r\n" + event,
		"status 999":            "HTTP/1.1 999 OK\r\n" + soundHead + length + "\r\n" + event,
		"status -20":            "HTTP/1.1 -20 OK\r\n" + soundHead + length + "\r\n" + event,
		"status 20":             "HTTP/1.1 20 OK\r\n" + soundHead + length + "\r\n" + event,
		"version":               "HTTP/3.7 200 OK\r\n" + soundHead + length + "\r\n" + event,
		"no head":               event,
		"nothing":               "",
		"control in a value":    "HTTP/1.1 200 OK\r\n" + soundHead + "X-Broken: a\x01b\r\n" + length + "\r\n" + event,
		"NUL in a value":        "HTTP/1.1 200 OK\r\n" + soundHead + "X-Broken: a\x00b\r\n" + length + "\r\n" + event,
		"CR in a value":         "HTTP/1.1 200 OK\r\n" + soundHead + "X-Broken: a\rb\r\n" + length + "\r\n" + event,
		"space in a name":       "HTTP/1.1 200 OK\r\n" + soundHead + "X Broken: a\r\n" + length + "\r\n" + event,
		"tab in a name":         "HTTP/1.1 200 OK\r\n" + soundHead + "X\tBroken: a\r\n" + length + "\r\n" + event,
		"control in a name":     "HTTP/1.1 200 OK\r\n" + soundHead + "X\x01Broken: a\r\n" + length + "\r\n" + event,
		"NUL in a name":         "HTTP/1.1 200 OK\r\n" + soundHead + "\x00X-Broken: a\r\n" + length + "\r\n" + event,
		"CR in a name":          "HTTP/1.1 200 OK\r\n" + soundHead + "\rX-Broken: a\r\n" + length + "\r\n" + event,
		"DEL in a name":         "HTTP/1.1 200 OK\r\n" + soundHead + "X-Broken\x7f: a\r\n" + length + "\r\n" + event,
		"space behind a name":   "HTTP/1.1 200 OK\r\n" + soundHead + "X-Broken : a\r\n" + length + "\r\n" + event,
		"no name":               "HTTP/1.1 200 OK\r\n" + soundHead + ": a\r\n" + length + "\r\n" + event,
		"line without a colon":  "HTTP/1.1 200 OK\r\n" + soundHead + "X-Broken\r\n" + length + "\r\n" + event,
		"LF before a name":      "HTTP/1.1 200 OK\r\n" + soundHead + "\nX-Broken: a\r\n" + length + "\r\n" + event,
		"LF before the length":  "HTTP/1.1 200 OK\r\n" + soundHead + "\n" + length + "\r\n" + event,
		"LF behind the length":  "HTTP/1.1 200 OK\r\n" + soundHead + length + "\nX-Broken: a\r\n\r\n" + event,
		"two LF behind a field": "HTTP/1.1 200 OK\r\n" + soundHead + "X-Broken: a\n\n" + length + "\r\n" + event,
		"LF in a name":          "HTTP/1.1 200 OK\r\n" + soundHead + "X-\nBroken: a\r\n" + length + "\r\n" + event,
		"lines that end in LF":  strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+soundHead+length+"\r\n", "\r\n", "\n") + event,
		"space before a name":   "HTTP/1.1 200 OK\r\n" + soundHead + " X-Broken: a\r\n" + length + "\r\n" + event,
		"tab before a name":     "HTTP/1.1 200 OK\r\n" + soundHead + "\tX-Broken: a\r\n" + length + "\r\n" + event,
		"space before a length": "HTTP/1.1 200 OK\r\n" + soundHead + " " + length + "\r\n" + event,
		"tab before a length":   "HTTP/1.1 200 OK\r\n" + soundHead + "\t" + length + "\r\n" + event,
		"many fields":           "HTTP/1.1 200 OK\r\n" + soundHead + strings.Repeat("x:\r\n", 4000) + length + "\r\n" + event,
		"head cut off":          "HTTP/1.1 200 OK\r\n" + soundHead,
		"negative length":       "HTTP/1.1 200 OK\r\n" + soundHead + "Content-Length: -5\r\n\r\n" + event,
		"two lengths":           "HTTP/1.1 200 OK\r\n" + soundHead + length + "Content-Length: 3\r\n\r\n" + event,
		"body too short":        "HTTP/1.1 200 OK\r\n" + soundHead + "Content-Length: 100\r\n\r\n" + event,
		"chunk without a size":  "HTTP/1.1 200 OK\r\n" + soundHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + event + "\r\n0\r\n\r\n",
		"chunks cut off":        "HTTP/1.1 200 OK\r\n" + soundHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nid: 1\r\n",
		"chunks in HTTP/1.0":    "HTTP/1.0 200 OK\r\n" + soundHead + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(event), event),
		"chunks and a length":   "HTTP/1.1 200 OK\r\n" + soundHead + "Transfer-Encoding: chunked\r\n" + length + "\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(event), event),
		"unknown encoding":      "HTTP/1.1 200 OK\r\n" + soundHead + "Transfer-Encoding: zip\r\n\r\n" + event,
		"no stamp":              "HTTP/1.1 200 OK\r\nX-Engine-Header: spoiled\r\n" + length + "\r\n" + event,
	} {
		t.Run(name, func(t *testing.T) {
			withForwarder(t, func(f *fixture) {
				restore := f.respondWith(f.instances, func(c net.Conn) { _, _ = io.WriteString(c, response) })
				for n := range 60 { // more than all upstreams have slots
					path := paths[n%len(paths)]
					id := fmt.Sprintf("spoiled-%d", n)
					a := f.ask(request{path: path, id: id, usage: "1000,100"})
					if a.err != nil && (path == "/stream/x" || path == "/fixed/x") {
						continue // the stream had begun
					}
					f.is.NoErr(a.err)
					if a.status != http.StatusBadGateway && a.status != http.StatusServiceUnavailable {
						t.Errorf("%s: status %d, body %.40q", path, a.status, a.body)
					}
					if a.header.Get("X-Engine-Stamp") != "" || a.header.Get("X-Engine-Header") != "" {
						t.Errorf("%s: status %d with the headers of the engine: %v", path, a.status, a.header)
					}
					if a.header.Get("X-Attempt-Id") != id {
						t.Errorf("%s: status %d without the id of the request", path, a.status)
					}
				}
				restore()
				time.Sleep(10 * time.Second)
				for _, path := range paths {
					a := f.ask(request{path: path, id: "sound-" + path[1:4], usage: "1000,100"})
					if a.status != http.StatusOK || a.err != nil {
						t.Errorf("%s afterwards: status %d: %s %v", path, a.status, a.body, a.err)
					}
				}
			})
		})
	}
}

// Guards against requests that fail because one upstream sends a response that is none, where another would have answered.
func TestSpoiledResponseIsRetried(t *testing.T) {
	event := "id: 1\ndata: a\n\n"
	sound := "HTTP/1.1 200 OK\r\n" + soundHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(event)) + event
	for name, spoiled := range map[string]string{
		"status 000":           strings.Replace(sound, "200", "000", 1),
		"LF before a name":     strings.Replace(sound, "Content-Length", "\nContent-Length", 1),
		"space before a name":  strings.Replace(sound, "Content-Length", " Content-Length", 1),
		"head that is cut off": sound[:len(sound)/2],
	} {
		for _, path := range []string{"/safe/x", "/stream/x"} {
			t.Run(name+path, func(t *testing.T) {
				withForwarder(t, func(f *fixture) {
					attempts, restore := f.respondFirstWith(sound, func(c net.Conn) { _, _ = io.WriteString(c, spoiled) })
					defer restore()
					a := f.ask(request{path: path, id: "retried", usage: "1000,100"})
					f.is.NoErr(a.err)
					f.is.Equal(a.status, http.StatusOK)
					f.is.Equal(a.body, event)
					f.is.Equal(attempts.Load(), int64(2))
				})
			})
		}
	}
}

// Guards against a panic that leaves a placement and reserved memory behind, and that gives a failure of the entry the
// headers of the engine.
func TestPanicGivesPlacementsBack(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		var isPanicking atomic.Bool
		isPanicking.Store(true)
		f.protocol.ReadResponse = func(status int, h http.Header) forwarder.ResponseMetadata {
			if isPanicking.Load() {
				panic("test")
			}
			return forwarder.ResponseMetadata{RequestID: h.Get("X-Attempt-Id"), HasUpstreamStamp: true}
		}
		for n := range 80 {
			path := append(paths, "/long/x")[n%5]
			usage := map[string]string{"/long/x": "400000,100"}[path]
			a := f.ask(request{path: path, id: fmt.Sprintf("panic-%d", n), usage: usage})
			f.is.NoErr(a.err)
			if a.status != http.StatusBadGateway {
				t.Errorf("%s: status %d: %s", path, a.status, a.body)
			}
			f.is.Equal(a.header.Get("X-Engine-Stamp"), "")
		}
		isPanicking.Store(false)
		time.Sleep(10 * time.Second)
		for _, e := range f.engines {
			f.is.Equal(len(e.ReservedTokens()), 0)
		}
		f.is.Equal(f.account.Usage().Held, int64(0))
		for _, path := range paths {
			a := f.ask(request{path: path, id: "sound-" + path[1:4], usage: "1000,100"})
			f.is.Equal(a.status, http.StatusOK)
		}
	})
}

// Guards against responses whose bytes never end, in a head or a body: memory that grows with them, connections that are
// kept, requests that are answered after their deadline, and the stamp of an engine on a failure of the entry.
func TestResponsesWithoutEndAreCutOff(t *testing.T) {
	for name, write := range endlessResponses() {
		for _, isSlow := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, slow %t", name, isSlow), func(t *testing.T) {
				withForwarder(t, func(f *fixture) {
					var open, peak atomic.Int64
					restore := f.respondWith(f.instances, func(c net.Conn) {
						open.Add(1)
						defer open.Add(-1)
						for n := 0; ; n++ {
							if err := write(c, n); err != nil {
								return
							}
							peak.Store(max(peak.Load(), f.account.Usage().Held)) // a lost update of several at once shows in the next one
							if isSlow {
								time.Sleep(100 * time.Millisecond)
							} else {
								time.Sleep(time.Millisecond)
							}
						}
					})
					for _, path := range paths {
						a := f.ask(request{path: path, id: "endless-" + path[1:4], usage: "1000,100", timeout: 3 * time.Second})
						if a.duration > 3*time.Second+100*time.Millisecond {
							t.Errorf("%s: answered after %s, status %d", path, a.duration, a.status)
						}
						if a.err == nil && a.status < 500 {
							t.Errorf("%s: status %d, complete", path, a.status)
						}
						if a.status >= 500 && a.header.Get("X-Engine-Stamp") != "" {
							t.Errorf("%s: status %d with the stamp of the engine", path, a.status)
						}
					}
					time.Sleep(time.Second)
					f.is.Equal(open.Load(), int64(0))
					f.is.True(peak.Load() <= 2<<20) // bufferedBytes and the request
					f.is.Equal(f.account.Usage().Held, int64(0))
					restore()
					time.Sleep(10 * time.Second)
					for _, path := range paths {
						f.is.Equal(f.ask(request{path: path, id: "sound-" + path[1:4], usage: "1000,100"}).status, http.StatusOK)
					}
				})
			})
		}
	}
}

// headThen returns a function that writes a sound head and begin at first, and then filler.
func headThen(begin, filler string) func(io.Writer, int) error {
	return func(w io.Writer, n int) error {
		text := filler
		if n == 0 {
			text = "HTTP/1.1 200 OK\r\n" + soundHead + begin + filler
		}
		_, err := io.WriteString(w, text)
		if errors.Is(err, syscall.EPIPE) {
			return io.ErrClosedPipe
		}
		return err
	}
}

// endlessResponses returns functions that write the part with a number of a response that never ends, by where it does not.
func endlessResponses() map[string]func(io.Writer, int) error {
	filler := strings.Repeat("x", 4000)
	return map[string]func(io.Writer, int) error{
		"status line":  func(w io.Writer, _ int) error { _, err := io.WriteString(w, filler); return err },
		"header line":  headThen("X-Long: ", filler),
		"header lines": headThen("", "X-Filler: "+filler+"\r\n"),
		"interim response": func(w io.Writer, _ int) error {
			_, err := io.WriteString(w, "HTTP/1.1 103 Early Hints\r\nX-Filler: "+filler+"\r\n\r\n")
			return err
		},
		"body":            headThen("\r\n", filler),
		"chunk":           headThen("Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n", filler),
		"chunk extension": headThen("Transfer-Encoding: chunked\r\n\r\n5;", filler),
		"trailer":         headThen("Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", "X-Filler: "+filler+"\r\n"),
		"event":           headThen("Content-Type: text/event-stream\r\n\r\ndata: ", filler),
		"old events":      headThen("Content-Type: text/event-stream\r\n\r\nid: 5\ndata: a\n\n", "id: 4\ndata: "+filler+"\n\n"),
	}
}

// Guards against requests that fail although another upstream would have answered them in time, because one sends bytes
// without end, or slowly, that are no answer.
func TestResponseWithoutEndIsRetried(t *testing.T) {
	event := "id: 6\ndata: sound\n\n" // what follows the only event of an endless response
	sound := "HTTP/1.1 200 OK\r\n" + soundHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(event)) + event
	for name, write := range endlessResponses() {
		for _, path := range []string{"/safe/x", "/stream/x"} {
			t.Run(name+path, func(t *testing.T) {
				withForwarder(t, func(f *fixture) {
					attempts, restore := f.respondFirstWith(sound, func(c net.Conn) {
						for n := 0; write(c, n) == nil; n++ {
							time.Sleep(100 * time.Millisecond)
						}
					})
					defer restore()
					a := f.ask(request{path: path, id: "retried", usage: "1000,100"})
					if a.status != http.StatusOK || a.err != nil || !strings.HasSuffix(a.body, event) {
						t.Errorf("status %d after %s, body %.40q: %v", a.status, a.duration, a.body, a.err)
					}
					f.is.Equal(attempts.Load(), int64(2))
				})
			})
		}
	}
}
