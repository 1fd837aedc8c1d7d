//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyTime is for how long the store keeps its history: the setting platform.history-s.
const historyTime = 20 * time.Second

// storeItem is an item of the store, or its deletion.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       int64  `json:"rev"`
	CreateRev int64  `json:"create-rev,omitempty"`
	Deleted   bool   `json:"deleted,omitempty"`
	writtenAt time.Time
}

// platformStore is a stand-in for the platform's store that answers as the pages say, and keeps historyTime of history.
// It is safe for concurrent use.
type platformStore struct {
	lock     sync.Mutex
	items    map[string]storeItem
	history  []storeItem
	dropped  int64
	revision int64
	changed  chan struct{}
}

func newPlatformStore() *platformStore {
	return &platformStore{items: map[string]storeItem{}, changed: make(chan struct{})}
}

// put writes a value, encoded as JSON.
func (s *platformStore) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the value comes from a case
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.revision++
	i := storeItem{Key: key, Value: data, Rev: s.revision, CreateRev: s.revision, writtenAt: time.Now()}
	if before, ok := s.items[key]; ok {
		i.CreateRev = before.CreateRev
	}
	s.items[key] = i
	s.history = append(s.history, i)
	for len(s.history) > 0 && time.Since(s.history[0].writtenAt) > historyTime {
		s.dropped, s.history = s.history[0].Rev, s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves kv-range and kv-watch.
func (s *platformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/kv-range":
		s.serveRange(w, r)
	case "/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// maxPageBytes is the size from which on a page ends.
const maxPageBytes = 1 << 20

func (s *platformStore) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.lock.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page, size := []storeItem{}, 0
	for _, key := range keys {
		if len(page) == 500 || size > maxPageBytes {
			break
		}
		page, size = append(page, s.items[key]), size+len(s.items[key].Value)
	}
	asOf := s.revision
	s.lock.Unlock()
	s.reply(w, map[string]any{"items": page, "more-pages": len(page) < len(keys), "as-of": asOf})
}

func (s *platformStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for isOver := false; ; {
		s.lock.Lock()
		for len(s.history) > 0 && time.Since(s.history[0].writtenAt) > historyTime {
			s.dropped, s.history = s.history[0].Rev, s.history[1:]
		}
		changed, asOf, isGone := s.changed, s.revision, after < s.dropped
		events := []storeItem{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		s.lock.Unlock()
		if isGone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || isOver {
			s.reply(w, map[string]any{"events": events, "as-of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

// reply sends a body, encoded as JSON.
func (s *platformStore) reply(w http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// touch writes the items with a prefix again, as engines do with each heartbeat.
func (s *platformStore) touch(prefix string) {
	s.lock.Lock()
	values := map[string]json.RawMessage{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) {
			values[key] = i.Value
		}
	}
	s.lock.Unlock()
	for key, value := range values {
		s.put(key, value)
	}
}
