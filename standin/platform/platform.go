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

	lock      sync.Mutex
	changed   chan struct{}
	mode      string
	reads     int
	config    history
	instances history
}

// history is the published values of one key, oldest first.
type history struct {
	values []publishedValue
	// stale is the value shown while the platform is stale.
	stale []byte
}

type publishedValue struct {
	publishedAt time.Time
	data        []byte
}

// New returns a platform that publishes nothing yet.
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

// Publish sets the configuration or, where list is true, the instance list.
func (s *Server) Publish(data []byte, list bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	target := &s.config
	if list {
		target = &s.instances
	}
	s.appendValue(target, data)
}

func (s *Server) appendValue(h *history, data []byte) {
	h.values = append(h.values, publishedValue{publishedAt: time.Now(), data: data})
	s.notifyReaders()
}

func (s *Server) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

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

// SetMode changes what readers see.
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

// serveSetState changes the state of one instance in the list, or removes it.
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

func (s *Server) serveReadCount(w http.ResponseWriter, _ *http.Request) {
	s.lock.Lock()
	defer s.lock.Unlock()
	_, _ = fmt.Fprintln(w, s.reads)
}

// valueWithLag is the newest value at least lag old.
func (h *history) valueWithLag(lag time.Duration) []byte {
	for i := len(h.values) - 1; i >= 0; i-- {
		if time.Since(h.values[i].publishedAt) >= lag || i == 0 {
			return h.values[i].data
		}
	}
	return nil
}

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

func etag(data []byte) string {
	sum := sha256.Sum256(data)
	return `"` + hex.EncodeToString(sum[:]) + `"`
}

// serveRead answers at once, or, where the reader has the value already and
// prefers to wait, once the value changes.
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

// preferredWait reads the wait that a reader prefers, as in RFC 7240.
func preferredWait(r *http.Request) time.Duration {
	text, found := strings.CutPrefix(r.Header.Get("Prefer"), "wait=")
	if !found {
		return 0
	}
	seconds, _ := strconv.Atoi(text)
	return time.Duration(seconds) * time.Second
}
