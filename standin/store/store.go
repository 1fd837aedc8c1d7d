// Package store is a stand-in for the store of the users' platform, which can
// be read and watched: it speaks the platform's protocol, and misbehaves as
// tests order.
package store

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Mode is how the store behaves.
type Mode int

// The modes.
const (
	// Available answers.
	Available Mode = iota
	// Unavailable answers 503, Many 429.
	Unavailable
	RateLimited
	// Unresponsive says nothing until the caller gives up.
	Unresponsive
	// ResetsConnections breaks connections.
	ResetsConnections
	// Slow answers after Delay.
	Slow
)

// SlowDelay is how long a store that is Late takes.
const SlowDelay = 300 * time.Millisecond

// maxPageItems is the most items of an answer.
const maxPageItems = 50

type item struct {
	Key string `json:"key"`
	// Value is base64 text, unless a test wrote something else.
	Value          json.RawMessage `json:"value,omitempty"`
	Revision       int64           `json:"rev"`
	CreateRevision int64           `json:"create-rev,omitempty"`
	Deleted        bool            `json:"deleted,omitempty"`
}

// Store holds the items. It is safe for concurrent use.
type Store struct {
	lock              sync.Mutex
	mode              Mode
	items             map[string]item
	history           []item
	compactedRevision int64
	revision          int64
	changed           chan struct{}
	callCount         int
}

// New returns an empty store that is up.
func New() *Store {
	return &Store{items: map[string]item{}, changed: make(chan struct{})}
}

// Put writes a key and returns the revision.
func (s *Store) Put(key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // a test's own value
	}
	return s.PutBytes(key, data)
}

// PutBytes writes a key with any bytes as its value and returns the revision.
func (s *Store) PutBytes(key string, data []byte) int64 {
	text, err := json.Marshal(data)
	if err != nil {
		panic(err) // bytes can always be written
	}
	return s.PutRaw(key, text)
}

// PutRaw writes a key whose value is the given JSON on the wire, which need not be
// base64 text, and returns the revision.
func (s *Store) PutRaw(key string, value json.RawMessage) int64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.revision++
	createRevision := s.revision
	if before, ok := s.items[key]; ok {
		createRevision = before.CreateRevision
	}
	i := item{Key: key, Value: value, Revision: s.revision, CreateRevision: createRevision}
	s.items[key] = i
	s.recordChange(i)
	return s.revision
}

// Delete removes a key and returns the revision.
func (s *Store) Delete(key string) int64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.revision++
	delete(s.items, key)
	s.recordChange(item{Key: key, Revision: s.revision, Deleted: true})
	return s.revision
}

func (s *Store) recordChange(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetMode changes how the store behaves; what waits is cut.
func (s *Store) SetMode(m Mode) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.mode = m
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact forgets all history.
func (s *Store) Compact() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.history, s.compactedRevision = nil, s.revision
}

// CallCount is how many calls were made.
func (s *Store) CallCount() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.callCount
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.lock.Lock()
	s.callCount++
	mode := s.mode
	s.lock.Unlock()
	if !applyMode(w, r, mode) {
		return
	}
	switch r.URL.Path {
	case "/kv-range":
		s.serveRange(w, r)
	case "/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// applyMode reports whether the call is to be answered after all.
func applyMode(w http.ResponseWriter, r *http.Request, mode Mode) bool {
	switch mode {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case RateLimited:
		w.WriteHeader(http.StatusTooManyRequests)
	case Unresponsive:
		<-r.Context().Done()
	case ResetsConnections:
		panic(http.ErrAbortHandler)
	case Slow:
		time.Sleep(SlowDelay)
		return true
	default:
		return true
	}
	return false
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.lock.Lock()
	var found []item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	asOf := s.revision
	s.lock.Unlock()
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > maxPageItems
	writeJSON(w, struct {
		Items []item `json:"items"`
		More  bool   `json:"more-pages"`
		AsOf  int64  `json:"as-of"`
	}{found[:min(len(found), maxPageItems)], more, asOf})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.lock.Lock()
		changed, asOf, gone := s.changed, s.revision, after < s.compactedRevision
		var events []item
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		up := s.mode == Available || s.mode == Slow
		s.lock.Unlock()
		waited := false
		switch {
		case !up:
			panic(http.ErrAbortHandler)
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) == 0:
			select {
			case <-changed:
				continue
			case <-timeout.C:
				waited = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || waited {
			writeJSON(w, struct {
				Events []item `json:"events"`
				AsOf   int64  `json:"as-of"`
			}{events, asOf})
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
