package controller

import (
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/assigner"
)

const (
	// minPeerWait and maxPeerWait bound the time from the start of an entry for which it waits for the
	// state of the store from others, if it hears from any, instead of reading the store itself. A
	// complete read takes several calls, so in a large fleet that starts at once the reads of all would
	// be most of a day's calls. Within the bounds the times differ between entries: if the seeds can't
	// read the store, or it has no configuration yet, the first others to read it spare the rest.
	minPeerWait, maxPeerWait = 1500 * time.Millisecond, 3500 * time.Millisecond
	// firstReplyTime is the time from the start of an entry for which it waits for the first heartbeat
	// or reply of another one. Once it has heard from one, it learns of the others in that time.
	firstReplyTime = 300 * time.Millisecond
	// completeFraction is the ratio of the entries that an entry knows to those that others report (see
	// recordUpCount) from which on it can tell whether it is a store reader.
	completeFraction = 0.9
	// newcomerTime is the time from the start of an entry in which the largest number that any heartbeat
	// reported counts instead of the latest: the fleet may be starting, so that most senders know little.
	newcomerTime = 5 * time.Second
)

// awaitsPeers reports whether this entry, which has no state of the store yet, leaves it to others to
// read the store. Seeds do not, since others wait for them.
func (s *state) awaitsPeers(now time.Time) bool {
	age := now.Sub(s.started)
	if age >= s.peerWait() || s.isSeed() {
		return false
	}
	return s.hearsOthers || age < firstReplyTime
}

// peerWait returns the time between minPeerWait and maxPeerWait that this entry waits for the state.
func (s *state) peerWait() time.Duration {
	const steps = 1000
	step := assigner.Weight(s.controller.config.Name, "start") % steps
	return minPeerWait + time.Duration(step)*(maxPeerWait-minPeerWait)/steps
}

// knowsFewer reports whether this entry knows so much less of the fleet than others that it would often
// take itself for a store reader wrongly. When a whole fleet starts, the seeds, which hear from all, know
// most.
func (s *state) knowsFewer() bool {
	return float64(s.upCount) < completeFraction*float64(s.upCountOfOthers)
}

// awaitsMembers reports whether this entry has started so recently that it takes itself for a store reader only because
// it has not heard of most others yet. When a whole fleet starts, those that it hears from know as few.
func (s *state) awaitsMembers(now time.Time) bool {
	return s.hearsOthers && now.Sub(s.started) < firstReplyTime
}

// recordUpCount records the number of entries that the sender of a heartbeat believes to be running.
func (s *state) recordUpCount(now time.Time, count int) {
	if now.Sub(s.started) < newcomerTime {
		count = max(count, s.upCountOfOthers)
	}
	s.upCountOfOthers = count
}

// isStartingSeed reports whether this entry is a seed that started less than minPeerWait ago. Such seeds
// read the store for all: when a whole fleet starts, it takes more than a second until the store readers
// know that they are, and the confirmations of all other entries would be stale by then.
func (s *state) isStartingSeed(now time.Time) bool {
	return s.isSeed() && now.Sub(s.started) < minPeerWait
}

// isSeed reports whether other entries find the fleet through this one, or there are no seeds.
func (s *state) isSeed() bool {
	return len(s.seeds) == 0 || slices.Contains(s.seeds, s.controller.config.PeerAddress)
}
