// Package platform is a stand-in for the users' platform: a configuration
// service that can be read and watched, and a list of instances that lags.
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

// Modes of the platform, set by tests.
const (
	// ModeUp: answers with what was published last.
	ModeUp = "up"
	// ModeDown: answers nothing but errors.
	ModeDown = "down"
	// ModeStale: answers with what it had when it went stale.
	ModeStale = "stale"
	// ModePrevious: answers with what was published before the last.
	ModePrevious = "back"
)

// Server is the platform. Its values are set over HTTP by tests and by the
// operators of the demo.
type Server struct {
	// ListLag is how old the instance list is that readers see.
	ListLag time.Duration

	lock    sync.Mutex
	changed chan struct{}
	mode    string
	calls   int
	config  history
	list    history
}

// history is the published values of one key, oldest first.
type history struct {
	values []published
	// frozen is the value shown while the platform is stale.
	frozen []byte
}

type published struct {
	at   time.Time
	data []byte
}

// New returns a platform that publishes nothing yet.
func New(listLag time.Duration) *Server {
	return &Server{ListLag: listLag, mode: ModeUp, changed: make(chan struct{})}
}

// Handler returns the platform's HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathConfig, func(w http.ResponseWriter, r *http.Request) { s.read(w, r, &s.config, 0) })
	mux.HandleFunc("GET "+api.PathInstances, func(w http.ResponseWriter, r *http.Request) { s.read(w, r, &s.list, s.ListLag) })
	mux.HandleFunc("PUT /control/config", func(w http.ResponseWriter, r *http.Request) { s.publish(w, r, &s.config) })
	mux.HandleFunc("PUT /control/instances", func(w http.ResponseWriter, r *http.Request) { s.publish(w, r, &s.list) })
	mux.HandleFunc("PUT /control/mode/{mode}", s.setMode)
	mux.HandleFunc("PUT /control/instances/{name}/{state}", s.setState)
	mux.HandleFunc("GET /control/calls", s.countCalls)
	return mux
}

// Publish sets the configuration or, where list is true, the instance list.
func (s *Server) Publish(data []byte, list bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	target := &s.config
	if list {
		target = &s.list
	}
	s.put(target, data)
}

func (s *Server) put(h *history, data []byte) {
	h.values = append(h.values, published{at: time.Now(), data: data})
	s.wake()
}

func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) publish(w http.ResponseWriter, r *http.Request, h *history) {
	data, err := io.ReadAll(io.LimitReader(r.Body, 1<<20+1))
	if err != nil || len(data) > 1<<20 {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.put(h, data)
}

// SetMode changes what readers see.
func (s *Server) SetMode(mode string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.config.frozen = s.config.value(0)
	s.list.frozen = s.list.value(s.ListLag)
	s.mode = mode
	s.wake()
}

func (s *Server) setMode(w http.ResponseWriter, r *http.Request) {
	s.SetMode(r.PathValue("mode"))
	w.WriteHeader(http.StatusNoContent)
}

// setState changes the state of one instance in the list, or removes it.
func (s *Server) setState(w http.ResponseWriter, r *http.Request) {
	s.lock.Lock()
	defer s.lock.Unlock()
	var list api.InstanceList
	if n := len(s.list.values); n > 0 {
		_ = json.Unmarshal(s.list.values[n-1].data, &list)
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
	s.put(&s.list, data)
}

func (s *Server) countCalls(w http.ResponseWriter, _ *http.Request) {
	s.lock.Lock()
	defer s.lock.Unlock()
	_, _ = fmt.Fprintln(w, s.calls)
}

// value is the newest value at least lag old.
func (h *history) value(lag time.Duration) []byte {
	for i := len(h.values) - 1; i >= 0; i-- {
		if time.Since(h.values[i].at) >= lag || i == 0 {
			return h.values[i].data
		}
	}
	return nil
}

func (s *Server) shown(h *history, lag time.Duration) []byte {
	switch s.mode {
	case ModeStale:
		return h.frozen
	case ModePrevious:
		if n := len(h.values); n > 1 {
			return h.values[n-2].data
		}
	}
	return h.value(lag)
}

func etag(data []byte) string {
	sum := sha256.Sum256(data)
	return `"` + hex.EncodeToString(sum[:]) + `"`
}

// read answers at once, or, where the reader has the value already and
// prefers to wait, once the value changes.
func (s *Server) read(w http.ResponseWriter, r *http.Request, h *history, lag time.Duration) {
	s.lock.Lock()
	s.calls++
	s.lock.Unlock()
	deadline := time.NewTimer(waitOf(r))
	defer deadline.Stop()
	for {
		s.lock.Lock()
		data, down, changed := s.shown(h, lag), s.mode == ModeDown, s.changed
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
		lagging := (<-chan time.Time)(nil)
		if lag > 0 {
			lagging = time.After(lag / 4)
		}
		select {
		case <-changed:
		case <-lagging:
		case <-r.Context().Done():
			return
		case <-deadline.C:
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// waitOf reads the wait that a reader prefers, as in RFC 7240.
func waitOf(r *http.Request) time.Duration {
	text, found := strings.CutPrefix(r.Header.Get("Prefer"), "wait=")
	if !found {
		return 0
	}
	seconds, _ := strconv.Atoi(text)
	return time.Duration(seconds) * time.Second
}
