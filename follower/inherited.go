package follower

import (
	"maps"
	"slices"
	"time"
)

// Inherited is what an entry knows from earlier epochs of the store and a complete state of the present
// epoch does not contain. Entries exchange it beside the state, since one that has started in the present
// epoch, and has read the store itself, has the same position as the others without it.
type Inherited struct {
	// EpochAge is the time since the first state of the present epoch was applied.
	EpochAge time.Duration
	// Left holds the registrations of incarnations that reported in an earlier epoch that they leave.
	Left []Listed
	// Unused holds the registrations whose UnusedFor is positive.
	Unused []Listed
	// Evacuated holds the names of the data centres whose evacuation was requested in an earlier epoch
	// and lasts.
	Evacuated []string
}

// Inherited returns what is known from earlier epochs at the time now, sorted by ID and by name.
func (f *Follower) Inherited(now time.Time) Inherited {
	in := Inherited{EpochAge: max(0, now.Sub(f.epochBegunAt))}
	if f.InheritedFingerprint() == 0 {
		return in // nothing is inherited
	}
	for _, id := range slices.Sorted(maps.Keys(f.instances)) {
		k := f.instances[id]
		if k.isRegisteredLeft() {
			in.Left = append(in.Left, k.asListed(now))
		}
		if l := k.asListed(now); !l.Gone && l.UnusedFor > 0 {
			in.Unused = append(in.Unused, l)
		}
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(f.evacuations)) {
		if f.evacuations[dataCentre].isInherited() {
			in.Evacuated = append(in.Evacuated, dataCentre)
		}
	}
	return in
}

// isRegisteredLeft reports whether the instance is registered in the present epoch and its incarnation
// reported in an earlier one that it leaves.
func (k *knownInstance) isRegisteredLeft() bool { return k.hasLeft && !k.listed.Gone }

// isInherited reports whether the evacuation was requested in an earlier epoch and lasts.
func (e knownEvacuation) isInherited() bool { return e.isOfEarlierEpoch && !e.Ended }

// ApplyInherited merges what another entry in the same epoch knows from earlier ones, and returns the
// changes. It only adds: nothing that this entry knows itself is withdrawn.
func (f *Follower) ApplyInherited(now time.Time, in Inherited) []Change {
	if begunAt := now.Add(-in.EpochAge); begunAt.Before(f.epochBegunAt) {
		f.epochBegunAt = begunAt
	}
	var changes []Change
	for _, l := range in.Left {
		changes = append(changes, f.applyLeft(l)...)
	}
	for _, l := range in.Unused {
		changes = append(changes, f.applyUnused(now, l)...)
	}
	if now.Sub(f.epochBegunAt) < evacuationRewriteTime {
		for _, dataCentre := range in.Evacuated {
			changes = append(changes, f.applyEvacuation(now, Evacuation{DataCentre: dataCentre})...)
		}
	}
	return changes
}

// applyLeft records that the incarnation of a registration has left, and returns the change if this entry uses it.
func (f *Follower) applyLeft(l Listed) []Change {
	k, ok := f.instances[l.Instance.ID]
	if !ok || k.hasLeft || !k.listed.Instance.SameIncarnation(l.Instance) {
		return nil
	}
	isUnknown := k.listed.Instance.Started.IsZero() || l.Instance.Started.IsZero()
	if isUnknown && k.listed.Revision > l.Revision {
		return nil // this registration may be that of a later incarnation, of which the sender does not know yet
	}
	wasUsed := !k.listed.Gone && !k.isLeaving()
	k.hasLeft, f.isFingerprinted = true, false
	if !wasUsed {
		return nil
	}
	return []Change{{ID: l.Instance.ID, Kind: KindLeaving, Revision: k.listed.Revision}}
}

// applyUnused stops the use of an upstream for Listed.UnusedFor, if this entry has the same registration and
// uses it, and returns the change. It never extends the time beyond endedRegistrationTime after the
// begin of the epoch, so that entries do not prolong it by telling each other.
func (f *Follower) applyUnused(now time.Time, l Listed) []Change {
	k, ok := f.instances[l.Instance.ID]
	if !ok || k.listed.Gone || k.listed.Revision != l.Revision || !k.unusedUntil.IsZero() {
		return nil
	}
	until := now.Add(l.UnusedFor)
	if latest := f.epochBegunAt.Add(endedRegistrationTime); until.After(latest) {
		until = latest
	}
	if !now.Before(until) {
		return nil
	}
	k.unusedUntil, f.isFingerprinted = until, false
	if k.isLeaving() {
		return nil
	}
	return []Change{{ID: l.Instance.ID, Kind: KindUnused, Revision: l.Revision}}
}
