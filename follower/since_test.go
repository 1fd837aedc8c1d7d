package follower_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sapphireramp/sapphireramp/follower"
)

// history is a store of instances that keeps all its changes.
type history struct {
	changes []follower.Listed
	listed  map[string]int64
}

func (h *history) revision() int64 { return int64(len(h.changes)) }

func (h *history) change(id string, present bool) {
	revision := h.revision() + 1
	if present {
		h.changes = append(h.changes, ready(id, revision))
		h.listed[id] = revision
		return
	}
	h.changes = append(h.changes, gone(id, revision))
	delete(h.listed, id)
}

func (h *history) snapshot() follower.State {
	s := follower.State{Revision: h.revision()}
	for id, revision := range h.listed {
		s.Instances = append(s.Instances, ready(id, revision))
	}
	return s
}

func (h *history) since(have int64) follower.State {
	return follower.State{Revision: h.revision(), Instances: h.changes[have:]}
}

func (h *history) ids() string { return strings.Join(slices.Sorted(maps.Keys(h.listed)), "") }

// Entries that receive only the changes since their own revision, from the store or from each
// other, in any order and with restarts, end up with the state of the store. No removal is missed,
// not even that of an upstream that the sender of the changes never knew.
func TestChangesSinceARevisionMissNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		h := &history{listed: map[string]int64{}}
		entries := []*follower.Follower{follower.New(), follower.New(), follower.New()}
		fetch := func(from, to *follower.Follower) {
			if from.Revision() == 0 || to.Revision() > from.Revision() {
				return
			}
			s, complete := from.ChangesSince(now, to.Position(), follower.ConfigStamp{})
			if complete {
				to.ApplyPeerSnapshot(now, s)
				return
			}
			to.ApplyChanges(now, s)
		}
		h.change("a", true)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
			i, j := rapid.IntRange(0, 2).Draw(t, "entry"), rapid.IntRange(0, 2).Draw(t, "other")
			switch e := entries[i]; rapid.SampledFrom([]string{"put", "delete", "read", "watch", "fetch", "restart", "tick"}).Draw(t, "step") {
			case "put":
				h.change(fmt.Sprintf("%c", 'a'+rapid.IntRange(0, 4).Draw(t, "id")), true)
			case "delete":
				h.change(fmt.Sprintf("%c", 'a'+rapid.IntRange(0, 4).Draw(t, "id")), false)
			case "read":
				e.ApplyPeerSnapshot(now, h.snapshot())
			case "watch":
				if e.Revision() > 0 {
					e.ApplyChanges(now, h.since(e.Revision()))
				}
			case "fetch":
				fetch(entries[j], e)
			case "restart":
				entries[i] = follower.New()
			case "tick":
				e.Tick(now)
			}
		}
		entries[0].ApplyPeerSnapshot(now, h.snapshot())
		for i, e := range entries {
			fetch(entries[0], e)
			if usableIDs(e) != h.ids() {
				t.Fatalf("entry %d has upstreams %q, the store has %q", i, usableIDs(e), h.ids())
			}
		}
	})
}
