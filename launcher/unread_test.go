package launcher_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/store"
)

// Sizes of the responses of bulkUpstream: a plain one that an entry holds as a whole, one that it does not, and a stream.
const (
	largeBody, hugeBody  = 1 << 20, 8 << 20
	bulkEvents, bulkText = 40, 3000
)

// bulkBody is the content of all plain responses of bulkUpstreams; a common one, so that it counts once in the memory of
// the test.
var bulkBody = bytes.Repeat([]byte("x"), hugeBody)

// bulkUpstream answers requests with large responses at once: those whose path contains large or huge with a plain one,
// those whose path contains bulk with a stream, and others with a short response of either kind.
func bulkUpstream(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Engine-Stamp", id)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		size := len("short")
		switch {
		case strings.Contains(r.URL.Path, "/stream/"):
			events, text := 2, "short"
			if strings.Contains(r.URL.Path, "bulk") {
				events, text = bulkEvents, string(bulkBody[:bulkText])
			}
			w.Header().Set("Content-Type", "text/event-stream")
			for n := range events {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, text)
				_ = http.NewResponseController(w).Flush()
			}
			return
		case strings.Contains(r.URL.Path, "large"):
			size = largeBody
		case strings.Contains(r.URL.Path, "huge"):
			size = hugeBody
		}
		w.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = w.Write(bulkBody[:size])
	})
}

// bulkStream returns the stream of a bulkUpstream.
func bulkStream() string {
	stream := ""
	for n := range bulkEvents {
		stream += fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, bulkBody[:bulkText])
	}
	return stream
}

// withBulkUpstreams runs a test with one entry in front of bulkUpstreams, three for each service.
func withBulkUpstreams(t *testing.T, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.shutDown()
		for id := range f.workers {
			f.putWorker(id, serviceOf(id), "draining")
		}
		for i := range 6 {
			service := []string{"app", "lm"}[i%2]
			host := netip.AddrFrom4([4]byte{10, 101, 0, byte(i)})
			id := fmt.Sprintf("bulk-%s-%d", service, i)
			f.serve(netip.AddrPortFrom(host, 80), bulkUpstream(id))
			f.workerHosts[id] = host
			record := store.NewUpstreamRecord(service, netip.AddrPortFrom(host, 80))
			record.State, record.Zone = "ready", "dc-0"
			f.store.Put("servers/"+id, record)
		}
		time.Sleep(2 * time.Second)
		test(f)
	})
}

// request opens a connection to the entry and sends a request on it, without reading a response.
func (f *fleet) request(path, id string) net.Conn {
	connection, err := f.net.Dialer(callerHost)(f.t.Context(), "tcp", netip.AddrPortFrom(entryHost(0), entryPort).String())
	if err != nil {
		f.t.Fatal(err)
	}
	_, err = fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\nX-Attempt-Id: %s\r\nX-Token-Usage: 2000,200\r\nX-Deadline-Ms: 10000\r\n\r\n", path, id)
	if err != nil {
		f.t.Fatal(err)
	}
	return connection
}

// heapBytes returns the size of the live heap.
func heapBytes() int {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int(s.HeapAlloc)
}

const (
	unreadPerKind = 150
	// linkBytes is the memory of the simulated network for a request: two buffers for each of two connections.
	linkBytes = 4 * 64 << 10
	// maxUnreadBytes is the memory that the entry may use for each unread response besides what it holds in all, which
	// is heldInAll: buffers, goroutines and the parts that it always holds.
	maxUnreadBytes, heldInAll = 160 << 10, 32 << 20
)

// Guards against an entry whose memory grows with the responses that callers do not read, against upstreams that stay
// taken by them, and against a connection that is kept for ever.
func TestUnreadResponsesAreBounded(t *testing.T) {
	withBulkUpstreams(t, func(f *fleet) {
		before := heapBytes()
		goroutines := runtime.NumGoroutine()
		var unread []net.Conn
		for n := range unreadPerKind {
			for _, path := range []string{"/safe/large", "/safe/huge", "/stream/bulk"} {
				unread = append(unread, f.request(path, fmt.Sprintf("unread-%d-%s", n, path[1:5])))
			}
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Second)
		used := heapBytes() - before
		most := len(unread)*(linkBytes+maxUnreadBytes) + heldInAll
		t.Logf("%d unread responses of %d MiB in all: %d MiB, at most %d, of which %d are buffers of the network", len(unread), (unreadPerKind*(largeBody+hugeBody+bulkEvents*bulkText))>>20, used>>20, most>>20, len(unread)*linkBytes>>20)
		if used > most {
			t.Errorf("%d MiB in use, want at most %d", used>>20, most>>20)
		}
		for n := range 100 {
			c := f.newCaller(uint64(n))
			for _, path := range []string{"/once/x", "/stream/x"} {
				if r := c.Do(path, fmt.Sprintf("other-%d-%s", n, path[1:5]), "key-1", shortTimeout); !r.IsServed() || r.Duration > 200*time.Millisecond {
					t.Errorf("%s beside unread responses: status %d after %s: %v", path, r.Status, r.Duration, r.Err)
				}
			}
			c.Close()
			time.Sleep(20 * time.Millisecond)
		}
		// Two goroutines of the network stay for each connection until the caller closes it. While the entry has the
		// connection, it has three of its own at most, and the connection to the upstream has five.
		for _, c := range []struct {
			after time.Duration
			kept  int
		}{{2 * time.Minute, 128}, {10 * time.Minute, 0}} {
			time.Sleep(c.after)
			left := runtime.NumGoroutine() - goroutines
			t.Logf("%s later: %d goroutines of %d unread responses", c.after, left, len(unread))
			if left > 2*len(unread)+3*c.kept+20 {
				t.Errorf("%s later: %d goroutines are left of %d unread responses, of which at most %d may be kept", c.after, left, len(unread), c.kept)
			}
		}
		for _, connection := range unread {
			_ = connection.Close()
		}
	})
}

// Guards against a response that is ready and is lost for a caller that reads late, after the deadline of its request, or
// so slowly that it takes minutes.
func TestSlowReadersGetTheirResponses(t *testing.T) {
	withBulkUpstreams(t, func(f *fleet) {
		for path, size := range map[string]int{"/safe/large": largeBody, "/stream/bulk": bulkEvents * bulkText} {
			late, slow := f.request(path, "late-"+path[1:5]), f.request(path, "slow-"+path[1:5])
			time.Sleep(45 * time.Second)
			for _, connection := range []net.Conn{late, slow} {
				var reader io.Reader = connection
				if connection == slow {
					reader = slowReader{connection}
				}
				began := time.Now()
				response, err := http.ReadResponse(bufio.NewReaderSize(reader, 1000), nil)
				if err != nil {
					t.Errorf("%s: %v", path, err)
					continue
				}
				body, err := io.ReadAll(response.Body)
				t.Logf("%s: %d bytes within %s", path, len(body), time.Since(began))
				if err != nil || len(body) < size || path == "/stream/bulk" && string(body) != bulkStream() {
					t.Errorf("%s: %d of %d bytes, or others: %v", path, len(body), size, err)
				}
				_ = connection.Close()
			}
		}
	})
}

// slowReader reads up to 1 KB each 2 s, so that the network, which holds 64 KB, shows no progress for two minutes.
type slowReader struct{ io.Reader }

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(2 * time.Second)
	return r.Reader.Read(p[:min(len(p), 1000)])
}
