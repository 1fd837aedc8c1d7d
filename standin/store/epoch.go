package store

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// Copy is a copy of the content of a store.
type Copy struct {
	items    map[string]item
	revision int64
}

// Copy returns a copy of the store's content, to be passed to Restore.
func (s *Store) Copy() Copy {
	s.lock.Lock()
	defer s.lock.Unlock()
	return Copy{items: maps.Clone(s.items), revision: s.revision}
}

// Restore replaces the store's content by a copy and begins a new epoch. All changes since the copy are lost,
// and their revisions will be given to other changes. Watches in progress are aborted. The returned
// function writes again what was lost, but for keys that have been changed since.
func (s *Store) Restore(c Copy) (rewrite func()) {
	s.lock.Lock()
	defer s.lock.Unlock()
	lost := s.items
	rewrite = func() { s.rewrite(lost, c) }
	s.items, s.revision, s.compactedRevision, s.history = maps.Clone(c.items), c.revision, c.revision, nil
	s.epoch++
	close(s.changed)
	s.changed = make(chan struct{})
	return rewrite
}

// rewrite changes the items that are as in the copy that the store was restored from to what they were
// before.
func (s *Store) rewrite(before map[string]item, c Copy) {
	s.lock.Lock()
	var put []item
	var removed []string
	for key, i := range before {
		if i.Revision != c.items[key].Revision && s.items[key].Revision == c.items[key].Revision {
			put = append(put, i)
		}
	}
	for key, i := range c.items {
		if _, ok := before[key]; !ok && s.items[key].Revision == i.Revision {
			removed = append(removed, key)
		}
	}
	s.lock.Unlock()
	slices.SortFunc(put, func(a, b item) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, i := range put {
		s.PutRaw(i.Key, i.Value)
	}
	for _, key := range removed {
		s.Delete(key)
	}
}

// Epoch returns the number of restores plus 1.
func (s *Store) Epoch() int64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.epoch
}

// GarbleEpoch makes the responses state the given text instead of the epoch, or the epoch again if it is empty.
func (s *Store) GarbleEpoch(text string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.garbledEpoch = text
}

// stateEpoch sets the header with the epoch in a response.
func (s *Store) stateEpoch(h http.Header) {
	s.lock.Lock()
	defer s.lock.Unlock()
	h.Set("Store-Era", strconv.FormatInt(s.epoch, 10))
	if s.garbledEpoch != "" {
		h.Set("Store-Era", s.garbledEpoch)
	}
}
