package follower

import (
	"time"

	"github.com/sapphireramp/sapphireramp/dispatcher"
)

// Listed is the registration of one upstream in the store, or the removal of one.
type Listed struct {
	Instance dispatcher.Instance
	// Revision is the store revision of the registration's last change.
	Revision int64
	// Gone is true if the registration was removed; only Instance.ID is then certain to
	// be set.
	Gone bool
	// UnusedFor is the time for which the upstream gets no work although it is listed,
	// because its registration may be one that was removed before the store returned from an
	// older copy; 0 for none, and in a state from the store.
	UnusedFor time.Duration
	// Doubtful is true for a removal that may be the lapse of a lease in an outage of
	// the store, because reads of the entry that read the removal had failed or been
	// interrupted before. An entry that receives the removal decides by its own record
	// of store failures whether to retain the upstream.
	Doubtful bool
	// Fault is why the registration could not be read; nil if it could. An upstream
	// whose registration is unreadable has Instance.Leaving set and gets no new work.
	Fault error
}

// State is the content of the store as of a revision, or only the changes up to that
// revision since an earlier one.
type State struct {
	// Epoch is the number of times that the store has gone back to an older copy of its content. Each
	// time it continues to count revisions from that of the copy, so revisions of different epochs are
	// not comparable. It is 0 if the store did not state it.
	Epoch int64
	// Revision is the store revision up to which the state is current.
	Revision int64
	// Config holds the configuration's bytes as stored; nil if the state does not
	// include it. ConfigRevision is the store revision of its last change, ConfigEpoch the epoch
	// of that revision, which may be an earlier one than Epoch, and ConfigVersion the
	// operator's version number in the configuration.
	Config                                     []byte
	ConfigRevision, ConfigEpoch, ConfigVersion int64
	// Instances holds the registrations and removals, at most one for each ID.
	Instances []Listed
	// Evacuations holds the evacuations of data centres and the ends of evacuations, in any
	// order; of several for one data centre that with the greatest revision applies.
	Evacuations []Evacuation
	// Faults holds the errors of unreadable headers and items of the store that can't be
	// attributed to an upstream; empty in a state from another entry.
	Faults []error
	// ResponseBytes is the size of the responses of the store that the state was read from; 0 in a state from another
	// entry.
	ResponseBytes int64
}

// Change is one change of a Follower's state. Its fields are logged.
type Change struct {
	// ID is the ID of the instance, or the name of the data centre for an evacuation and its
	// end; empty for a change of the configuration.
	ID string
	// Kind is one of the Kind constants.
	Kind string
	// Revision is the store revision of the change.
	Revision int64
	// Err is why a registration is unreadable; nil unless Kind is KindUnreadable.
	Err error
}

// The kinds of a Change.
const (
	// KindAppeared: an upstream became usable.
	KindAppeared = "appeared"
	// KindLeaving: an upstream started to drain.
	KindLeaving = "leaving"
	// KindGone: an upstream is no longer used: its registration was removed, or the time
	// for which it was retained after that has ended.
	KindGone = "gone"
	// KindRetainedAfterOutage: a registration was removed, but its upstream is still used
	// for a while, since the registration may have lapsed in an outage of the store.
	KindRetainedAfterOutage = "held_after_outage"
	// KindUnused: an upstream gets no work for a while, because its registration may be one that was
	// removed before the store returned from an older copy.
	KindUnused = "unused"
	// KindConfig: the configuration has a new revision.
	KindConfig = "configuration"
	// KindCold: a usable upstream has become cold, and for a while tolerates few requests.
	KindCold = "cold"
	// KindUnreadable: a registration can't be read.
	KindUnreadable = "unreadable"
	// KindEvacuated: the upstreams of a data centre get no new work.
	KindEvacuated = "evacuated"
	// KindEvacuationEnded: the upstreams of a data centre get work again.
	KindEvacuationEnded = "evacuation_ended"
)
