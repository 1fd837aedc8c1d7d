package follower

import (
	"bytes"
	"time"

	"github.com/sapphireramp/sapphireramp/dispatcher"
)

const (
	// endedRegistrationTime is the longest time for which a store that has returned from an older copy
	// lists an upstream that has ended: three intervals between heartbeats of an upstream, after which
	// its registration lapses, and the propagation of the removal.
	endedRegistrationTime = 4500 * time.Millisecond
	// evacuationRewriteTime is the time within which the operator writes an evacuation again that the
	// store has lost.
	evacuationRewriteTime = 10 * time.Second
)

// Position is a point in the history of the store. Positions of different epochs are only comparable by
// their epochs.
type Position struct {
	// Epoch is as in State.Epoch, Revision as in State.Revision. Both are 0 before the first state.
	Epoch, Revision int64
}

// ConfigStamp identifies a configuration. Within an epoch, the configuration with the greater revision is
// newer. A configuration of an earlier epoch has a revision that the store may have given to another change
// since; against such a one the operator's version decides.
type ConfigStamp struct {
	// Epoch and Revision are the position of the configuration's last change in the store.
	Epoch, Revision int64
	// Version is the operator's version number in the configuration, which increases with each change.
	Version int64
}

// IsNewerThan reports whether the configuration with stamp c replaces the one with stamp o.
func (c ConfigStamp) IsNewerThan(o ConfigStamp) bool {
	if c.Epoch == o.Epoch {
		return c.Revision > o.Revision
	}
	return c.Version > o.Version || c.Version == o.Version && c.Epoch > o.Epoch
}

// ResolveEpoch returns the state with its epoch, where the store did not state it in a readable form: that of
// the position that this entry had before the call to the store, or the next one if the state is complete
// and its revision is lower. The reads of a store are linearizable, so only a store that has gone back
// returns a lower revision than before.
func (s State) ResolveEpoch(before Position, complete bool) State {
	if s.Epoch != 0 {
		return s
	}
	s.Epoch = before.Epoch
	if complete && s.Revision < before.Revision {
		s.Epoch++
	}
	s.ConfigEpoch = s.Epoch
	return s
}

// Position returns the position in the store's history up to which all changes were applied.
func (f *Follower) Position() Position { return Position{Epoch: f.epoch, Revision: f.revision} }

// enterEpoch reports whether a state may be merged as one of the present epoch. It begins the epoch of the state
// if that is later and the state is complete, or if this follower has no state. Changes of a later epoch do
// not suffice for that, and a state of an earlier epoch is out of date.
func (f *Follower) enterEpoch(now time.Time, s State, complete bool) bool {
	switch {
	case s.Epoch == f.epoch:
		return true
	case s.Epoch < f.epoch || !complete && f.revision > 0:
		return false
	}
	f.epoch, f.epochBegunAt = s.Epoch, now
	f.revision, f.baseRevision, f.isFingerprinted = 0, 0, false
	for _, k := range f.instances {
		k.listed.Revision, k.isOfEarlierEpoch = 0, true
		k.hasLeft = k.hasLeft || k.isKnownToLeave()
	}
	for dataCentre, known := range f.evacuations {
		known.Revision, known.isOfEarlierEpoch = 0, true
		f.evacuations[dataCentre] = known
	}
	return true
}

// isKnownToLeave reports whether the instance has reported that it leaves. An unreadable registration,
// which lacks an address, shows no such thing.
func (k *knownInstance) isKnownToLeave() bool {
	return k.listed.Instance.Leaving && k.listed.Instance.Address.IsValid()
}

// inherit completes the knowledge of an instance by what was known of the same incarnation before. An
// incarnation that has reported in an earlier epoch that it leaves is not used, whatever the store lists:
// the copy that the store returned from may be older than the report. One whose registration was removed
// in an earlier epoch is not used until endedRegistrationTime after a complete state lists it, which shows
// that it still renews its registration. fromSnapshot is true for a registration in a complete state; any
// other was written in the present epoch.
func (k *knownInstance) inherit(now time.Time, before *knownInstance, fromSnapshot bool) {
	if !before.listed.Instance.SameIncarnation(k.listed.Instance) {
		return
	}
	k.hasLeft = before.hasLeft
	if !before.isOfEarlierEpoch {
		return
	}
	if isUnchanged(before.listed.Instance, k.listed.Instance) {
		k.coldUntil = before.coldUntil
	}
	if fromSnapshot && before.listed.Gone && before.retainedUntil.IsZero() {
		k.unusedUntil = now.Add(endedRegistrationTime)
	}
}

// isUnchanged reports whether two registrations say the same.
func isUnchanged(a, b dispatcher.Instance) bool {
	a.Started, b.Started = a.Started.UTC(), b.Started.UTC()
	return a == b
}

// epochRetention returns for how much longer an upstream is used that is missing in the first states of an
// epoch: the store may have lost its registration, which the upstream writes again.
func (f *Follower) epochRetention(now time.Time, k *knownInstance) time.Duration {
	if !k.isOfEarlierEpoch {
		return 0
	}
	return max(0, reregisterTime-now.Sub(f.epochBegunAt))
}

// applyConfig applies the configuration of a state if it is newer than the one in force, and returns the
// change. A store that has returned from an older copy may hold an older configuration until the operator
// writes the newest one again; the one in force stays then.
func (f *Follower) applyConfig(s State) []Change {
	if s.Config == nil {
		return nil
	}
	stamp := ConfigStamp{Epoch: s.ConfigEpoch, Revision: s.ConfigRevision, Version: s.ConfigVersion}
	if f.config != nil && !stamp.IsNewerThan(f.configStamp) {
		return nil
	}
	isRewritten := stamp.Epoch != f.configStamp.Epoch && bytes.Equal(s.Config, f.config)
	f.config, f.configStamp, f.isFingerprinted = s.Config, stamp, false
	if isRewritten {
		return nil
	}
	return []Change{{Kind: KindConfig, Revision: stamp.Revision}}
}

// tickEpoch ends what holds only for a while after the begin of an epoch, and returns the changes.
func (f *Follower) tickEpoch(now time.Time) []Change {
	var changes []Change
	for id, k := range f.instances {
		if !k.unusedUntil.IsZero() && !now.Before(k.unusedUntil) {
			k.unusedUntil, f.isFingerprinted = time.Time{}, false
			if !k.listed.Gone && !k.isLeaving() {
				changes = append(changes, Change{ID: id, Kind: KindAppeared, Revision: k.listed.Revision})
			}
		}
	}
	if now.Sub(f.epochBegunAt) >= evacuationRewriteTime {
		for dataCentre, known := range f.evacuations {
			if known.isInherited() {
				changes = append(changes, f.applyEvacuation(now, Evacuation{DataCentre: dataCentre, Revision: f.revision, Ended: true})...)
			}
		}
	}
	return changes
}
