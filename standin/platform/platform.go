// Package platform emulates the users' platform, for tests and the demo: a
// service that publishes the configuration and the instance list over HTTP. Both
// can be read and watched; the instance list is shown with a delay.
package platform

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
)

// Modes of the platform, set by tests. They determine what readers of the
// configuration and the instance list get.
const (
	// ModeUp serves the latest values, the instance list delayed by ListLag.
	ModeUp = "up"
	// ModeDown answers every read with 503.
	ModeDown = "down"
	// ModeStale serves the values that readers in ModeUp got when the mode was
	// set.
	ModeStale = "stale"
	// ModePrevious serves the values published before the latest ones, as a
	// platform does that has gone back to an older state.
	ModePrevious = "back"
)

// Server emulates the platform. Tests publish values with its methods or over
// HTTP, operators of the demo over HTTP.
type Server struct {
	// ListLag is the age at which a published instance list becomes visible to
	// readers. It must not change once requests are served.
	ListLag time.Duration

	// lock guards the fields below.
	lock sync.Mutex
	// changed is closed, and replaced by an open channel, when a value or the
	// mode changes.
	changed chan struct{}
	// mode is one of the Mode constants.
	mode string
	// reads counts the requests for the configuration or the instance list since the start.
	reads     int
	config    history
	instances history
}

// history holds the published values of either the configuration or the instance list.
type history struct {
	// values holds all published values, oldest first.
	values []publishedValue
	// stale is the value that readers get in ModeStale; nil if nothing was published when
	// the mode was set.
	stale []byte
}

// publishedValue is a value and the time of its publication.
type publishedValue struct {
	publishedAt time.Time
	data        []byte
}

// New returns a Server in ModeUp that has no values yet. It answers reads with 503
// until they are published.
func New(listLag time.Duration) *Server {
	return &Server{ListLag: listLag, mode: ModeUp, changed: make(chan struct{})}
}

// Handler returns the platform's HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathConfig, func(w http.ResponseWriter, r *http.Request) { s.serveRead(w, r, &s.config, 0) })
	mux.HandleFunc("GET "+api.PathInstances, func(w http.ResponseWriter, r *http.Request) { s.serveRead(w, r, &s.instances, s.ListLag) })
	mux.HandleFunc("PUT /control/config", func(w http.ResponseWriter, r *http.Request) { s.servePublish(w, r, &s.config) })
	mux.HandleFunc("PUT /control/instances", func(w http.ResponseWriter, r *http.Request) { s.servePublish(w, r, &s.instances) })
	mux.HandleFunc("PUT /control/mode/{mode}", s.serveSetMode)
	mux.HandleFunc("PUT /control/instances/{name}/{state}", s.serveSetState)
	mux.HandleFunc("GET /control/calls", s.serveReadCount)
	return mux
}

// Publish publishes data as the configuration or, if isList is true, as the instance list.
func (s *Server) Publish(data []byte, isList bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	target := &s.config
	if isList {
		target = &s.instances
	}
	s.appendValue(target, data)
}

// appendValue publishes data as the latest value of h. The lock must be held.
func (s *Server) appendValue(h *history, data []byte) {
	h.values = append(h.values, publishedValue{publishedAt: time.Now(), data: data})
	s.notifyReaders()
}

// notifyReaders wakes the reads that wait for a change. The lock must be held.
func (s *Server) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// servePublish publishes the body of r. It refuses bodies over 1 MiB.
func (s *Server) servePublish(w http.ResponseWriter, r *http.Request, h *history) {
	data, err := io.ReadAll(io.LimitReader(r.Body, 1<<20+1))
	if err != nil || len(data) > 1<<20 {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.appendValue(h, data)
}

// SetMode sets the mode, one of the Mode constants, and wakes waiting reads. It
// also saves, for ModeStale, the values that readers get in ModeUp at this time.
func (s *Server) SetMode(mode string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.config.stale = s.config.valueWithLag(0)
	s.instances.stale = s.instances.valueWithLag(s.ListLag)
	s.mode = mode
	s.notifyReaders()
}

func (s *Server) serveSetMode(w http.ResponseWriter, r *http.Request) {
	s.SetMode(r.PathValue("mode"))
	w.WriteHeader(http.StatusNoContent)
}

// serveSetState publishes a copy of the latest instance list in which one instance
// has another state. State "gone" removes the instance.
func (s *Server) serveSetState(w http.ResponseWriter, r *http.Request) {
	s.lock.Lock()
	defer s.lock.Unlock()
	var list api.InstanceList
	if n := len(s.instances.values); n > 0 {
		_ = json.Unmarshal(s.instances.values[n-1].data, &list)
	}
	kept := list.Instances[:0]
	for _, i := range list.Instances {
		if i.Name == r.PathValue("name") {
			i.State = r.PathValue("state")
		}
		if i.State != "gone" {
			kept = append(kept, i)
		}
	}
	list.Instances = kept
	data, _ := json.Marshal(list)
	s.appendValue(&s.instances, data)
}

// serveReadCount responds with the number of reads since the start.
func (s *Server) serveReadCount(w http.ResponseWriter, _ *http.Request) {
	s.lock.Lock()
	defer s.lock.Unlock()
	_, _ = fmt.Fprintln(w, s.reads)
}

// valueWithLag returns the newest value that is at least lag old, or the oldest
// value if all are newer. It returns nil if nothing was published.
func (h *history) valueWithLag(lag time.Duration) []byte {
	for i := len(h.values) - 1; i >= 0; i-- {
		if time.Since(h.values[i].publishedAt) >= lag || i == 0 {
			return h.values[i].data
		}
	}
	return nil
}

// visibleValue returns the value that readers get in the current mode, or nil if
// there is none. The lock must be held.
func (s *Server) visibleValue(h *history, lag time.Duration) []byte {
	switch s.mode {
	case ModeStale:
		return h.stale
	case ModePrevious:
		if n := len(h.values); n > 1 {
			return h.values[n-2].data
		}
	}
	return h.valueWithLag(lag)
}

// etag returns the entity tag of data, a quoted SHA-256 hash.
func etag(data []byte) string {
	sum := sha256.Sum256(data)
	return `"` + hex.EncodeToString(sum[:]) + `"`
}

// serveRead responds with the visible value and its ETag. If the reader already
// has that value (If-None-Match), serveRead waits for another one for up to
// preferredWait and responds with 304 if none appears. Without a visible value, and
// in ModeDown, it responds with 503.
func (s *Server) serveRead(w http.ResponseWriter, r *http.Request, h *history, lag time.Duration) {
	s.lock.Lock()
	s.reads++
	s.lock.Unlock()
	deadline := time.NewTimer(preferredWait(r))
	defer deadline.Stop()
	for {
		s.lock.Lock()
		data, down, changed := s.visibleValue(h, lag), s.mode == ModeDown, s.changed
		s.lock.Unlock()
		if down || data == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if etag(data) != r.Header.Get("If-None-Match") {
			w.Header().Set("ETag", etag(data))
			_, _ = w.Write(data)
			return
		}
		lagPoll := (<-chan time.Time)(nil)
		if lag > 0 {
			lagPoll = time.After(lag / 4)
		}
		select {
		case <-changed:
		case <-lagPoll:
		case <-r.Context().Done():
			return
		case <-deadline.C:
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// preferredWait returns the time in the reader's Prefer header (wait=SECONDS, as in
// RFC 7240), or 0 without a valid one.
func preferredWait(r *http.Request) time.Duration {
	text, found := strings.CutPrefix(r.Header.Get("Prefer"), "wait=")
	if !found {
		return 0
	}
	seconds, _ := strconv.Atoi(text)
	return time.Duration(seconds) * time.Second
}
