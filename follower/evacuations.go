package follower

import (
	"maps"
	"slices"
	"time"
)

// Evacuation is the operator's request to send no new work to the upstreams of a data centre, or the
// end of that request.
type Evacuation struct {
	DataCentre string
	// Revision is the store revision of the last change of the request.
	Revision int64
	// Ended is true if the request was withdrawn.
	Ended bool
}

// knownEvacuation is the latest evacuation of a data centre that was applied, or its end.
type knownEvacuation struct {
	Evacuation
	// endedAt is when the end was applied; zero while the evacuation lasts.
	endedAt time.Time
	// isOfEarlierEpoch is true for what was applied in an earlier epoch; its revision is then 0.
	isOfEarlierEpoch bool
}

// applyEvacuation applies the begin or the end of an evacuation if its revision is greater than that
// of the last one applied for the data centre, and returns the change if there is any.
func (f *Follower) applyEvacuation(now time.Time, e Evacuation) []Change {
	known, ok := f.evacuations[e.DataCentre]
	if ok && e.Revision <= known.Revision {
		return nil
	}
	wasEvacuated := ok && !known.Ended
	applied := knownEvacuation{Evacuation: e, isOfEarlierEpoch: e.Revision == 0}
	if e.Ended {
		applied.endedAt = now
	}
	f.evacuations[e.DataCentre] = applied
	f.isFingerprinted = false
	switch {
	case !e.Ended && !wasEvacuated:
		return []Change{{ID: e.DataCentre, Kind: KindEvacuated, Revision: e.Revision}}
	case e.Ended && wasEvacuated:
		return []Change{{ID: e.DataCentre, Kind: KindEvacuationEnded, Revision: e.Revision}}
	}
	return nil
}

// endMissingEvacuations ends the evacuations that a complete state does not contain, and returns the
// changes. Unlike the registration of an upstream, a request of the operator does not lapse in an
// outage of the store. Those of an earlier epoch, which the store may have lost, end later (see tickEpoch).
func (f *Follower) endMissingEvacuations(now time.Time, s State) []Change {
	requested := map[string]bool{}
	for _, e := range s.Evacuations {
		requested[e.DataCentre] = !e.Ended
	}
	var changes []Change
	for _, dataCentre := range slices.Sorted(maps.Keys(f.evacuations)) {
		known := f.evacuations[dataCentre]
		if !known.Ended && !known.isOfEarlierEpoch && !requested[dataCentre] && known.Revision < s.Revision {
			changes = append(changes, f.applyEvacuation(now, Evacuation{DataCentre: dataCentre, Revision: s.Revision, Ended: true})...)
		}
	}
	return changes
}

// dropEndedEvacuations drops the evacuations that ended more than removalTTL ago.
func (f *Follower) dropEndedEvacuations(now time.Time) {
	for dataCentre, known := range f.evacuations {
		if known.Ended && now.Sub(known.endedAt) > removalTTL {
			f.baseRevision = max(f.baseRevision, known.Revision)
			delete(f.evacuations, dataCentre)
		}
	}
}

// evacuationsSince returns the evacuations and ends of evacuations with a greater revision, or all if
// complete is true, sorted by data centre.
func (f *Follower) evacuationsSince(revision int64, complete bool) []Evacuation {
	var out []Evacuation
	for _, dataCentre := range slices.Sorted(maps.Keys(f.evacuations)) {
		if e := f.evacuations[dataCentre].Evacuation; complete || e.Revision > revision {
			out = append(out, e)
		}
	}
	return out
}

// isEvacuated reports whether a data centre is being evacuated.
func (f *Follower) isEvacuated(dataCentre string) bool {
	known, ok := f.evacuations[dataCentre]
	return ok && !known.Ended
}

// EvacuatedDataCentres returns the names of the data centres that are being evacuated, sorted. A name
// may be of a data centre in which no upstream is registered.
func (f *Follower) EvacuatedDataCentres() []string {
	var out []string
	for dataCentre := range f.evacuations {
		if f.isEvacuated(dataCentre) {
			out = append(out, dataCentre)
		}
	}
	slices.Sort(out)
	return out
}
