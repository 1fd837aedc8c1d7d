package controller

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/asserter"
	"github.com/sapphireramp/sapphireramp/follower"
	"github.com/sapphireramp/sapphireramp/prober"
	"github.com/sapphireramp/sapphireramp/quarantiner"
)

// logQuarantined logs decisions to refuse requests that crash upstreams. Source is "own" if this
// entry made the decisions, otherwise the name of the entry that they were adopted from.
func (s *state) logQuarantined(now time.Time, decisions []quarantiner.Decision, source string) {
	for _, d := range decisions {
		s.controller.config.Log.Warn("quarantined", d.LogFields(now, source)...)
	}
}

// applyMemberChanges logs state changes of other entries, records the times of deaths in diedAt and lostAt,
// and sets dirty if there is any change.
func (s *state) applyMemberChanges(changes []prober.Change) {
	for _, change := range changes {
		s.controller.config.Log.Info("member", zap.String("name", change.Name), zap.String("from", string(change.From)),
			zap.String("to", string(change.To)), zap.String("reason", change.Reason))
		if change.To == prober.Dead {
			s.diedAt[change.Name] = time.Now()
		}
		delete(s.lostAt, change.Name)
		if change.To == prober.Dead && change.From != prober.Stopping {
			s.lostAt[change.Name] = time.Now()
		}
		s.dirty = true
	}
}

// forgetFormerMembers drops what is recorded of entries that are no longer members.
func (s *state) forgetFormerMembers() {
	isFormer := func(name string) bool {
		_, ok := s.prober.Find(name)
		return !ok
	}
	if len(s.capacities) > s.prober.Count() {
		maps.DeleteFunc(s.capacities, func(name string, _ reportedCapacity) bool { return isFormer(name) })
	}
	if len(s.diedAt) > s.prober.Count() {
		maps.DeleteFunc(s.diedAt, func(name string, _ time.Time) bool { return isFormer(name) })
	}
}

// maxLoggedFaults is the maximum number of unreadable items from one reply of the store that are
// logged individually: enough to identify the process that writes them.
const maxLoggedFaults = 20

// logStoreChanges logs changes of the follower's state and sets dirty if there is any. Source is
// "store" for changes read from the store, the name of the peer for changes received from one, or
// "hold_ended" for upstreams that were retained after an outage of the store and are no longer.
func (s *state) logStoreChanges(changes []follower.Change, source string) {
	unreadable := 0
	for _, change := range changes {
		s.dirty = true
		if change.Kind == follower.KindUnreadable {
			if unreadable++; unreadable > maxLoggedFaults {
				continue
			}
		}
		event := "upstream"
		switch change.Kind {
		case follower.KindConfig:
			event = "configuration"
		case follower.KindEvacuated, follower.KindEvacuationEnded:
			event = "evacuation"
		}
		s.controller.config.Log.Info(event, zap.String("id", change.ID), zap.String("change", change.Kind),
			zap.Int64("revision", change.Revision), zap.String("source", source), zap.Error(change.Err))
	}
	if unreadable > maxLoggedFaults {
		s.controller.config.Log.Warn("upstreams_unreadable", zap.Int("count", unreadable), zap.Int("logged", maxLoggedFaults), zap.String("source", source))
	}
}

// logUnreadableItems logs the errors of items of the store that can't be read or attributed to
// an upstream: up to maxLoggedFaults individually, then the total number.
func (s *state) logUnreadableItems(faults []error) {
	for i, err := range faults {
		if i == maxLoggedFaults {
			s.controller.config.Log.Warn("items_unreadable", zap.Int("count", len(faults)), zap.Int("logged", maxLoggedFaults))
			return
		}
		s.controller.config.Log.Warn("item_unreadable", zap.Error(err))
	}
}

// checkConfig asserts that the follower's configuration is the one before or a newer one.
func (s *state) checkConfig(before follower.ConfigStamp) {
	_, after := s.follower.Config()
	s.controller.config.Asserter.Check(after == before || after.IsNewerThan(before), asserter.RevisionWentBack, "configuration went back to %+v from %+v", after, before)
}
