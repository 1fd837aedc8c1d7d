package launcher_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireramp/sapphireramp/accountant"
	"github.com/sapphireramp/sapphireramp/standin/store"
)

const (
	// smallMemory is the memory of the entry in these tests, largeRequest the size of a large body.
	smallMemory  = 64 << 20
	largeRequest = 1 << 20
	// slowAnswer is the time that the upstreams of these tests take for an answer.
	slowAnswer = time.Second
)

// withSmallEntry runs a test with one entry that has little memory, and upstreams that take slowAnswer for each request.
func withSmallEntry(t *testing.T, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0)
		defer f.shutDown()
		f.maxBody, f.memoryLimit = 4*largeRequest, smallMemory
		f.putConfig(2, "key-1", "key-2")
		for id := range f.workers {
			f.putWorker(id, serviceOf(id), "draining")
		}
		for i := range 30 {
			host := netip.AddrFrom4([4]byte{10, 101, 0, byte(i)})
			id, service := fmt.Sprintf("slow-%d", i), []string{"app", "lm"}[i%2]
			f.workerHosts[id] = host
			f.serve(netip.AddrPortFrom(host, 80), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				time.Sleep(slowAnswer)
				w.Header().Set("X-Engine-Stamp", id)
				w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
				_, _ = fmt.Fprint(w, "id: 1\ndata: done\n\n")
			}))
			record := store.NewUpstreamRecord(service, netip.AddrPortFrom(host, 80))
			record.State, record.Zone = "ready", "dc-0"
			f.store.Put("servers/"+id, record)
		}
		f.hasStarted = false
		f.entries = append(f.entries, f.startEntry(0))
		time.Sleep(2 * time.Second)
		test(f)
	})
}

// sendBody opens a connection to the entry, states a body of a length, in chunks if it is negative, and sends size bytes
// of it.
func (f *fleet) sendBody(path, id string, length, size int) net.Conn {
	connection, err := f.net.Dialer(callerHost)(f.t.Context(), "tcp", netip.AddrPortFrom(entryHost(0), entryPort).String())
	if err != nil {
		f.t.Fatal(err)
	}
	framing := fmt.Sprintf("Content-Length: %d", length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	go func() {
		_, _ = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\nX-Attempt-Id: %s\r\nX-Token-Usage: 2000,200\r\nX-Deadline-Ms: 10000\r\n%s\r\n\r\n", path, id, framing)
		if length < 0 {
			_, _ = fmt.Fprintf(connection, "%x\r\n", 4*size)
		}
		_, _ = connection.Write(bulkBody[:size])
	}()
	return connection
}

// statusOf returns the status and Retry-After of the response on a connection, 0 if there is none within a time.
func statusOf(connection net.Conn, limit time.Duration) (int, time.Duration) {
	_ = connection.SetReadDeadline(time.Now().Add(limit))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}

// Guards against an entry that holds the bodies of all requests at once, exceeds its memory in a burst of large ones and
// is killed with its requests (review case 4). What it has no memory for is refused early, with a time to come back;
// small requests are served beside it.
func TestBurstOfLargeBodiesStaysWithinMemory(t *testing.T) {
	withSmallEntry(t, func(f *fleet) {
		before, goroutines := heapBytes(), runtime.NumGoroutine()
		const count = 100
		var burst []net.Conn
		for n := range count {
			burst = append(burst, f.sendBody([]string{"/stream/x", "/safe/x"}[n%2], fmt.Sprintf("large-%d", n), largeRequest, largeRequest))
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		used, most := heapBytes()-before, int(accountant.HeapLimit(smallMemory))+count*linkBytes
		t.Logf("%d bodies of %d MiB in all: %d MiB in use, of which %d may be buffers of the network", count, count*largeRequest>>20, used>>20, count*linkBytes>>20)
		if used > most {
			t.Errorf("%d MiB in use, want at most %d", used>>20, most>>20)
		}
		c := f.newCaller(1)
		defer c.Close()
		for _, path := range []string{"/once/x", "/stream/x"} {
			if r := c.Do(path, "modest-"+path[1:5], "key-1", shortTimeout); !r.IsServed() {
				t.Errorf("%s beside large requests: status %d: %v", path, r.Status, r.Err)
			}
		}
		served, refused := 0, 0
		for _, connection := range burst {
			status, retryAfter := statusOf(connection, 5*time.Second)
			_ = connection.Close()
			switch {
			case status == http.StatusOK:
				served++
			case status == http.StatusServiceUnavailable && retryAfter > 0 && retryAfter <= 4*time.Second:
				refused++
			default:
				t.Errorf("status %d, Retry-After %s", status, retryAfter)
			}
		}
		t.Logf("%d served, %d refused", served, refused)
		if served < 10 || refused == 0 {
			t.Errorf("%d of %d served, %d refused, want some of both", served, count, refused)
		}
		time.Sleep(20 * time.Second)
		if left := heapBytes() - before; left > smallMemory/8 {
			t.Errorf("%d KiB are left in use after the burst, and %d goroutines", left>>10, runtime.NumGoroutine()-goroutines)
		}
	})
}

// Guards against callers that state large bodies and stop sending, and so keep the memory of the entry until their
// deadlines while others are refused.
func TestStalledBodiesGiveMemoryBack(t *testing.T) {
	for name, length := range map[string]int{"length": 3 * largeRequest, "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			withSmallEntry(t, func(f *fleet) {
				var stalled []net.Conn
				for n := range 60 {
					stalled = append(stalled, f.sendBody("/stream/x", fmt.Sprintf("stalled-%d", n), length, 2*largeRequest))
				}
				time.Sleep(3 * time.Second)
				connection := f.sendBody("/stream/x", "sound", 3*largeRequest, 3*largeRequest)
				if status, _ := statusOf(connection, 5*time.Second); status != http.StatusOK {
					t.Errorf("status %d 3 s after callers have stalled", status)
				}
				for _, c := range append(stalled, connection) {
					_ = c.Close()
				}
			})
		})
	}
}

// Guards against request headers without an end, and connections without a request, that take all memory of the entry.
func TestHeadsWithoutEndAreBounded(t *testing.T) {
	withSmallEntry(t, func(f *fleet) {
		before := heapBytes()
		var open []net.Conn
		for range 1200 {
			connection, err := f.net.Dialer(callerHost)(f.t.Context(), "tcp", netip.AddrPortFrom(entryHost(0), entryPort).String())
			if err != nil {
				t.Fatal(err)
			}
			open = append(open, connection)
			go func() {
				_, _ = fmt.Fprintf(connection, "GET /once/x HTTP/1.1\r\nHost: h\r\n")
				for range 100 {
					if _, err := fmt.Fprintf(connection, "X-Filler: %s\r\n", bulkBody[:1000]); err != nil {
						return
					}
				}
			}()
		}
		time.Sleep(time.Second)
		used, most := heapBytes()-before, int(accountant.HeapLimit(smallMemory))+len(open)*linkBytes/2
		t.Logf("%d headers: %d MiB in use, of which %d may be buffers of the network", len(open), used>>20, len(open)*linkBytes>>21)
		if used > most {
			t.Errorf("%d MiB in use, want at most %d", used>>20, most>>20)
		}
		for _, c := range open {
			_ = c.Close()
		}
		time.Sleep(time.Second)
		c := f.newCaller(1)
		defer c.Close()
		if r := c.Do("/once/x", "after", "key-1", shortTimeout); !r.IsServed() {
			t.Errorf("status %d after the headers: %v", r.Status, r.Err)
		}
	})
}
