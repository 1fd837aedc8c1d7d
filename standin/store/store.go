// Package store emulates the key-value store of the users' platform over HTTP. Clients
// read items by key prefix and watch them for changes. Tests write items and make the
// store fail in the ways that Mode lists.
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

// Mode selects how the store responds to calls.
type Mode int

// The modes of a store. The zero value is Available.
const (
	// Available responds normally.
	Available Mode = iota
	// Unavailable responds with status 503.
	Unavailable
	// RateLimited responds with status 429.
	RateLimited
	// Unresponsive sends nothing until the client closes the connection.
	Unresponsive
	// ResetsConnections closes the connection instead of responding.
	ResetsConnections
	// Slow responds normally after SlowDelay.
	Slow
)

// SlowDelay is the time before the response of a store that is Slow.
const SlowDelay = 300 * time.Millisecond

// maxPageItems is the maximum number of items in the response to a range request.
const maxPageItems = 50

// item is an item or a change of one, as the store sends it.
type item struct {
	Key string `json:"key"`
	// Value is a JSON string with the value in base64, unless a test wrote other JSON by
	// PutRaw.
	Value json.RawMessage `json:"value,omitempty"`
	// Revision is the store's revision after the last change of the item. CreateRevision is
	// the store's revision after the item was created, or 0 in a change that removes it.
	Revision       int64 `json:"rev"`
	CreateRevision int64 `json:"create-rev,omitempty"`
	// Deleted is true in a change that removes the item.
	Deleted bool `json:"deleted,omitempty"`
}

// Store holds items by key and serves them over HTTP. It is safe for concurrent use.
type Store struct {
	lock  sync.Mutex
	mode  Mode
	items map[string]item
	// history has the changes after compactedRevision, the oldest first.
	history           []item
	compactedRevision int64
	// revision is the number of changes so far, not counting those that were lost by a restore.
	revision int64
	// epoch is the number of restores plus 1. garbledEpoch is the text that responses state instead; empty
	// for none.
	epoch        int64
	garbledEpoch string
	// changed is closed and replaced on each change of an item or of the mode.
	changed chan struct{}
	// watchBytes is the size of the values in a response to a watch from which on further changes are left to the
	// next one; 0 if all changes are sent at once.
	watchBytes int
	// watchRate is the size of the values per second at which responses to watches are made; 0 if that takes no time.
	watchRate int
	// callCount is the number of HTTP calls received, in all modes.
	callCount int
}

// New returns an empty store in the mode Available.
func New() *Store {
	return &Store{epoch: 1, items: map[string]item{}, changed: make(chan struct{})}
}

// Put writes a value, encoded as JSON, to a key and returns the store's new revision. It
// panics if the value can't be encoded.
func (s *Store) Put(key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the value comes from a test
	}
	return s.PutBytes(key, data)
}

// PutBytes writes any bytes to a key and returns the store's new revision.
func (s *Store) PutBytes(key string, data []byte) int64 {
	text, err := json.Marshal(data)
	if err != nil {
		panic(err) // unreachable: bytes can always be encoded as base64
	}
	return s.PutRaw(key, text)
}

// PutRaw writes a key whose value is sent to clients as the given JSON, which need not be
// a base64 string, and returns the store's new revision.
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

// Delete removes a key and returns the store's new revision.
func (s *Store) Delete(key string) int64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.revision++
	delete(s.items, key)
	s.recordChange(item{Key: key, Revision: s.revision, Deleted: true})
	return s.revision
}

// recordChange appends a change to the history and wakes all waiting watches. The lock
// must be held.
func (s *Store) recordChange(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetMode changes the mode of the store. Watches in progress are aborted unless the new
// mode is Available or Slow.
func (s *Store) SetMode(m Mode) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.mode = m
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact discards the history of changes. A watch from an older revision then fails with
// status 410.
func (s *Store) Compact() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.history, s.compactedRevision = nil, s.revision
}

// LimitWatches makes responses to watches end with the first change with which the values take size bytes; 0 for no limit.
func (s *Store) LimitWatches(size int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.watchBytes = size
}

// SlowWatches makes responses to watches take time before they begin: a second for each bytes of their values; 0 for none.
func (s *Store) SlowWatches(bytes int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.watchRate = bytes
}

// CallCount returns the number of HTTP calls received so far, in all modes.
func (s *Store) CallCount() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.callCount
}

// ServeHTTP responds to one call as the mode requires. /kv-range returns items, /kv-watch
// changes.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.lock.Lock()
	s.callCount++
	mode := s.mode
	s.lock.Unlock()
	if !applyMode(w, r, mode) {
		return
	}
	s.stateEpoch(w.Header())
	switch r.URL.Path {
	case "/kv-range":
		s.serveRange(w, r)
	case "/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// applyMode responds to a call if the mode is a failure. Otherwise it returns true, after
// the delay of Slow, and the call is to be served.
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

// serveRange responds with the items whose keys have the query's "prefix" and sort after
// its "after", in the order of keys, up to maxPageItems, and with the store's revision when
// they were read.
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

// serveWatch responds with the changes since the revision in the query's "after" to keys
// with its "prefix". If there are none, it waits up to "wait-ms" milliseconds for one and
// then responds without changes.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	epoch := s.Epoch()
	for {
		s.lock.Lock()
		changed, asOf, gone := s.changed, s.revision, after < s.compactedRevision || after > s.revision
		var events []item
		size := 0
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
				size += len(i.Value)
			}
			if s.watchBytes > 0 && size >= s.watchBytes {
				asOf = i.Revision
				break
			}
		}
		up, rate := (s.mode == Available || s.mode == Slow) && s.epoch == epoch, s.watchRate
		s.lock.Unlock()
		if rate > 0 {
			time.Sleep(time.Duration(size) * time.Second / time.Duration(rate))
		}
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

// writeJSON writes a body, encoded as JSON, as the response with status 200.
func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
