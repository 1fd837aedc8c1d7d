// Package follower decides what an entry believes of the platform's store: the
// configuration in force and the upstreams that may be sent work. It takes in
// full reads, changes, and what other entries read, in any order, and never
// goes back to an older revision of anything. It does no I/O.
package follower

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sapphireramp/sapphireramp/dispatcher"
)

const (
	// reregisterTime is how long after an outage of the store an upstream whose
	// entry lapsed may take to register again: the platform's pages promise
	// about two seconds, and 300 ms are added for the way here.
	reregisterTime = 2300 * time.Millisecond
	// removalTTL is how long the removal of an entry is remembered, so that an
	// older state of another entry does not bring it back. States of peers are
	// younger than this by their confirmation.
	removalTTL = 5 * time.Minute
	// maxReadGap is the longest time between two reads of the store that leaves no room
	// for an outage between them: a watch, its answer and the pause after it take
	// 0.7 s, and no lease of an upstream is shorter than twice this.
	maxReadGap = 1500 * time.Millisecond
	// defaultRemovalBound is the shortest time that a platform has given so far.
	defaultRemovalBound = 2 * time.Second
)

// ErrHistoryGone says that the store no longer has the changes asked for, so
// that the whole state has to be read.
var ErrHistoryGone = errors.New("the store dropped this part of its history")

// Listed is what the store says of one upstream.
type Listed struct {
	Instance dispatcher.Instance
	// Revision is that of the entry's last change.
	Revision int64
	// Gone entries were removed; of Instance only the ID is set.
	Gone bool
	// Doubtful removals may be lapses in an outage of the store: the entry that read
	// them was not served all along. Each entry judges by what it knows itself.
	Doubtful bool
	// Fault says why the entry could not be read; it counts as leaving.
	Fault error
}

// State is a part or the whole of what the store holds.
type State struct {
	// Revision of the store that the state is as of.
	Revision int64
	// Config is the configuration as it is stored; nil where the state says
	// nothing of it.
	Config         []byte
	ConfigRevision int64
	Instances      []Listed
	// Faults are of items that could not be read and name no upstream.
	Faults []error
}

// Change is one change of belief, for the log.
type Change struct {
	// ID of the instance, empty where the configuration changed.
	ID       string
	Kind     string
	Revision int64
	// Err is why an entry can't be read; nil for other changes.
	Err error
}

// What a change can be.
const (
	KindAppeared   = "appeared"
	KindLeaving    = "leaving"
	KindGone       = "gone"
	KindRetained   = "held_after_outage"
	KindConfig     = "configuration"
	KindUnreadable = "unreadable"
)

type knownInstance struct {
	listed Listed
	// retainedUntil is set on an instance whose entry is gone while it may still
	// return after an outage of the store; zero otherwise.
	retainedUntil time.Time
	removedAt     time.Time
}

// Follower holds the beliefs. It is not safe for concurrent use.
type Follower struct {
	revision int64
	// baseRevision is the revision from which on every removal is remembered: what came
	// and went before the newest whole state was never known.
	baseRevision   int64
	newestRevision int64
	config         []byte
	configRevision int64
	instances      map[string]*knownInstance
	// lastFailureAt is when the store last failed this entry or one that told so;
	// zero when it never did.
	lastFailureAt time.Time
	// ownFailureAt and servedAt are when the store last failed and last served this
	// entry itself; zero when it never did.
	ownFailureAt, ownReadAt time.Time
	// removalBound is how long a removed upstream may get work at most.
	removalBound time.Duration
	// confirmedAt is when the store last confirmed the state, to this entry or
	// to the one it learned the state from; zero when it never did.
	confirmedAt time.Time
}

// New returns a follower that knows nothing, with the usual bound on removals.
func New() *Follower {
	return &Follower{instances: map[string]*knownInstance{}, removalBound: defaultRemovalBound}
}

// SetRemovalBound sets how long after its removal an upstream may get work at most.
func (f *Follower) SetRemovalBound(bound time.Duration) { f.removalBound = bound }

// ApplySnapshot takes in a whole state that another entry believes. An upstream that it
// does not list is gone. A state older than the belief is ignored.
func (f *Follower) ApplySnapshot(now time.Time, s State) []Change {
	return f.mergeSnapshot(now, s, f.retentionTime(now))
}

// mergeSnapshot takes in a whole state; the upstreams of entries that are missing in it
// are held for a time.
func (f *Follower) mergeSnapshot(now time.Time, s State, retention time.Duration) []Change {
	if s.Revision < f.revision {
		return nil
	}
	if s.Revision > f.revision {
		f.baseRevision = s.Revision
	}
	changes := f.ApplyChanges(now, s)
	listed := make(map[string]bool, len(s.Instances))
	for _, l := range s.Instances {
		listed[l.Instance.ID] = !l.Gone
	}
	for id, k := range f.instances {
		if !listed[id] && !k.listed.Gone && k.listed.Revision <= s.Revision {
			changes = append(changes, f.remove(now, id, s.Revision, retention)...)
		}
	}
	return changes
}

// ApplyStoreRead takes in what this entry itself has read of the store: a whole state, or
// changes. A removal may be a lapse only where the store failed this entry since
// it last served it, or where this entry was not reading and others were failed.
// Failures that only others saw mean nothing to one that was served all along: its
// removals are meant, and those whom it tells take that over. That keeps what was
// removed from getting work for 2.3 s, over the 2 s that the platform allows, where
// the store turns only some entries away.
func (f *Follower) ApplyStoreRead(now time.Time, s State, complete bool) []Change {
	doubtful := f.ownFailureAt.After(f.ownReadAt) || now.Sub(f.ownReadAt) > maxReadGap
	retention := time.Duration(0)
	if doubtful {
		retention = f.retentionTime(now)
	}
	s.Instances = slices.Clone(s.Instances)
	for i := range s.Instances {
		s.Instances[i].Doubtful = doubtful
	}
	var changes []Change
	if complete {
		changes = f.mergeSnapshot(now, s, retention)
	} else {
		changes = f.ApplyChanges(now, s)
	}
	f.ownReadAt = now
	f.Confirm(now)
	return changes
}

// ApplyChanges takes in changes that another entry knows, each of which counts where it
// is newer than what is believed of its key.
func (f *Follower) ApplyChanges(now time.Time, s State) []Change {
	var changes []Change
	if s.Config != nil && s.ConfigRevision > f.configRevision {
		f.config, f.configRevision = s.Config, s.ConfigRevision
		f.newestRevision = max(f.newestRevision, s.ConfigRevision)
		changes = append(changes, Change{Kind: KindConfig, Revision: s.ConfigRevision})
	}
	for _, l := range s.Instances {
		changes = append(changes, f.applyListed(now, l)...)
	}
	f.revision = max(f.revision, s.Revision)
	return changes
}

func (f *Follower) applyListed(now time.Time, l Listed) []Change {
	id := l.Instance.ID
	k, ok := f.instances[id]
	if ok && l.Revision <= k.listed.Revision {
		return nil
	}
	if l.Gone {
		retention := time.Duration(0)
		if l.Doubtful {
			retention = f.retentionTime(now)
		}
		changes := f.remove(now, id, l.Revision, retention)
		f.instances[id].listed.Doubtful = l.Doubtful
		return changes
	}
	f.newestRevision = max(f.newestRevision, l.Revision)
	f.instances[id] = &knownInstance{listed: l}
	switch {
	case l.Fault != nil && ok && k.listed.Fault != nil:
		// Still unreadable: one line says so, however often it is written.
	case l.Fault != nil:
		return []Change{{ID: id, Kind: KindUnreadable, Revision: l.Revision, Err: l.Fault}}
	case l.Instance.Leaving && ok && !k.listed.Instance.Leaving:
		return []Change{{ID: id, Kind: KindLeaving, Revision: l.Revision}}
	case !l.Instance.Leaving && (!ok || k.listed.Gone):
		return []Change{{ID: id, Kind: KindAppeared, Revision: l.Revision}}
	}
	return nil
}

// remove notes that an entry is gone. For as long as it may have lapsed in an
// outage of the store the upstream is held, since it may register again.
func (f *Follower) remove(now time.Time, id string, revision int64, retention time.Duration) []Change {
	k, ok := f.instances[id]
	if !ok {
		k = &knownInstance{listed: Listed{Instance: dispatcher.Instance{ID: id, Leaving: true}}}
		f.instances[id] = k
	}
	wasGone := k.listed.Gone
	k.listed.Gone, k.listed.Revision = true, max(revision, k.listed.Revision)
	f.newestRevision = max(f.newestRevision, revision)
	if wasGone {
		return nil
	}
	k.removedAt = now
	if ok && !k.listed.Instance.Leaving && retention > 0 {
		k.retainedUntil = now.Add(retention)
		return []Change{{ID: id, Kind: KindRetained, Revision: revision}}
	}
	return []Change{{ID: id, Kind: KindGone, Revision: revision}}
}

// retentionTime is how much longer an entry that lapsed in the last outage may take
// to return; 0 where the store was confirmed since. An entry that only heard of the
// outage holds nothing beyond the bound on removals, which goes first: the outage may
// be one of others only. What it drops too early in a real one, of less than the age
// at which it would have read for itself, is back when its upstream registers.
func (f *Follower) retentionTime(now time.Time) time.Duration {
	if f.lastFailureAt.IsZero() || f.confirmedAt.After(f.lastFailureAt) {
		return 0
	}
	remaining := reregisterTime - now.Sub(f.lastFailureAt)
	if !f.ownFailureAt.After(f.ownReadAt) && !f.confirmedAt.IsZero() {
		remaining = min(remaining, f.removalBound-now.Sub(f.confirmedAt))
	}
	return max(0, remaining)
}

// RecordOwnFailure notes that the store did not answer this entry as it should.
func (f *Follower) RecordOwnFailure(at time.Time) {
	f.ownFailureAt = at
	f.RecordFailure(at)
}

// RecordFailure notes that the store failed this entry or another.
func (f *Follower) RecordFailure(at time.Time) {
	if at.After(f.lastFailureAt) {
		f.lastFailureAt = at
	}
}

// FailureAge is how long ago the store last failed, and false where it never
// did.
func (f *Follower) FailureAge(now time.Time) (time.Duration, bool) {
	if f.lastFailureAt.IsZero() {
		return 0, false
	}
	return now.Sub(f.lastFailureAt), true
}

// ClearConfirmation forgets that the state was confirmed: after a pause of this
// process nobody knows how old it is.
func (f *Follower) ClearConfirmation() { f.confirmedAt = time.Time{} }

// Confirm notes that the store, or a peer that asked it, vouched at a time
// for the state believed.
func (f *Follower) Confirm(at time.Time) {
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// ConfirmedAt is when the state was last confirmed; zero when it never was.
func (f *Follower) ConfirmedAt() time.Time { return f.confirmedAt }

// ConfirmationAge is how long ago the state was confirmed, and false where it
// never was.
func (f *Follower) ConfirmationAge(now time.Time) (time.Duration, bool) {
	if f.confirmedAt.IsZero() {
		return 0, false
	}
	return now.Sub(f.confirmedAt), true
}

// Tick ends what was held too long, and forgets old removals.
func (f *Follower) Tick(now time.Time) []Change {
	var changes []Change
	for id, k := range f.instances {
		if !k.listed.Gone {
			continue
		}
		if !k.retainedUntil.IsZero() && !now.Before(k.retainedUntil) {
			k.retainedUntil = time.Time{}
			changes = append(changes, Change{ID: id, Kind: KindGone, Revision: k.listed.Revision})
		}
		if now.Sub(k.removedAt) > removalTTL {
			f.baseRevision = max(f.baseRevision, k.listed.Revision)
			delete(f.instances, id)
		}
	}
	return changes
}

// UsableInstances returns the upstreams that may be sent new work, by ID.
func (f *Follower) UsableInstances() []dispatcher.Instance {
	var out []dispatcher.Instance
	for _, k := range f.instances {
		if k.listed.Instance.Leaving || (k.listed.Gone && k.retainedUntil.IsZero()) {
			continue
		}
		out = append(out, k.listed.Instance)
	}
	slices.SortFunc(out, func(a, b dispatcher.Instance) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Config returns the configuration as it is stored, and its revision; nil
// before the first.
func (f *Follower) Config() ([]byte, int64) { return f.config, f.configRevision }

// Revision is that of the store up to which all changes are known.
func (f *Follower) Revision() int64 { return f.revision }

// NewestRevision is the revision of the newest change believed. Two followers of one
// content believe the same.
func (f *Follower) NewestRevision() int64 { return f.newestRevision }

// HasState reports whether a whole state was ever taken in.
func (f *Follower) HasState() bool { return f.configRevision > 0 }

// ChangesSince returns what an entry that knows all changes up to a revision lacks, and
// whether that is the whole state, as it is where a removal since then may be
// forgotten. The configuration is left out where the entry has that revision.
func (f *Follower) ChangesSince(revision, configRevision int64) (s State, complete bool) {
	s.Revision = f.revision
	if f.configRevision > configRevision {
		s.Config, s.ConfigRevision = f.config, f.configRevision
	}
	complete = revision < f.baseRevision
	for _, id := range slices.Sorted(maps.Keys(f.instances)) {
		l := f.instances[id].listed
		if !complete && l.Revision <= revision {
			continue
		}
		l.Fault = nil
		s.Instances = append(s.Instances, l)
	}
	return s, complete
}
