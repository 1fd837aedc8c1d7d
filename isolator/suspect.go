package isolator

import (
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/quarantiner"
)

const (
	// minSuspectCrashes is the number of crashes, one after the other, from which a part is suspected.
	minSuspectCrashes = 2
	// minOrganisations is the number of organisations whose prompts must have crashed upstreams for a part to be
	// suspected or quarantined in the prompts of all: one can't get the requests of another refused.
	minOrganisations = 2
)

// knownCrash is the exit of an incarnation that ran requests with a part.
type knownCrash struct {
	incarnation quarantiner.IncarnationHash
	// sent is when the last of these requests was sent, ended when their responses broke off.
	sent, ended time.Time
	// tried is true if one of the requests was tried alone.
	tried bool
	// organisations are hashes of those that sent the requests; at most minOrganisations.
	organisations []uint32
	// broadcastsLeft is the number of updates that are still to contain the crash, recordedAt when this entry learned
	// of it.
	broadcastsLeft int
	recordedAt     time.Time
}

// broadcastAge returns the time since the exit, or since it was recorded if that was after maxBroadcastAge.
func (k knownCrash) broadcastAge(now time.Time) time.Duration {
	if k.recordedAt.Sub(k.ended) > maxBroadcastAge {
		return now.Sub(k.recordedAt)
	}
	return now.Sub(k.ended)
}

// isSameExit reports whether two crashes of a part report the same exit. Equal incarnations are not enough: while
// the store is unavailable, entries use the ID of the previous incarnation for a restarted upstream.
func (k knownCrash) isSameExit(o knownCrash) bool { return k.exit().IsSame(o.exit()) }

// exit returns the exit that the crash reports.
func (k knownCrash) exit() quarantiner.Exit {
	return quarantiner.Exit{Incarnation: k.incarnation, At: k.ended}
}

// suspect is the state kept of a part with a recent crash.
type suspect struct {
	// crashes is sorted by ended. All are more than trustTime later than lastSurvival.
	crashes []knownCrash
	// firstCrash and lastCrash are the times of the first and the last crash of the present episode, whether or not
	// they are in crashes. Crashes of an episode are at most episodeGap apart.
	firstCrash, lastCrash time.Time
	// lastSurvival is the latest time at which an upstream began a response to a request with the part that it
	// completed, or went on with for SurvivalTime. It is later than firstCrash; zero if there is none.
	lastSurvival time.Time
	// survivalBroadcastsLeft is the number of updates that are still to contain lastSurvival.
	survivalBroadcastsLeft int
	// hasControl is true once a prompt without the part was answered since the first of crashes, at this entry. In an
	// outage of all upstreams nothing is answered, whatever its parts.
	hasControl bool
	// trialUntil is when another request with the part may be tried; at most the end of the trial in progress.
	trialUntil time.Time
	// sequential is the number of crashes that happened one after the other (see countSequential).
	sequential int
	// isSuspected is true from when the part is first found to be suspected until it survives.
	isSuspected bool
}

// add adds a crash, or merges it with the one that reports the same exit, and reports whether it was unknown. It
// ignores crashes up to trustTime after lastSurvival.
func (s *suspect) add(k knownCrash) bool {
	if n := slices.IndexFunc(s.crashes, k.isSameExit); n >= 0 {
		s.crashes[n].merge(k)
		s.sequential = s.countSequential(nil)
		return false
	}
	if k.ended.Sub(s.lastCrash) > episodeGap {
		s.firstCrash, s.lastSurvival = k.ended, time.Time{}
	}
	if k.ended.Before(s.firstCrash) {
		s.firstCrash = k.ended
	}
	if k.ended.After(s.lastCrash) {
		s.lastCrash = k.ended
	}
	if !s.lastSurvival.IsZero() && k.ended.Sub(s.lastSurvival) <= trustTime {
		return false
	}
	s.crashes = append(s.crashes, k)
	slices.SortFunc(s.crashes, func(a, b knownCrash) int { return a.ended.Compare(b.ended) })
	if len(s.crashes) > maxCrashesPerSuspect {
		s.crashes = slices.Delete(s.crashes, 1, 2) // the first one tells how old the evidence is
	}
	s.sequential = s.countSequential(nil)
	return true
}

// drop removes the crashes for which matches returns true.
func (s *suspect) drop(matches func(knownCrash) bool) {
	s.crashes = slices.DeleteFunc(s.crashes, matches)
	s.sequential = s.countSequential(nil)
	s.isSuspected = s.isSuspected && s.sequential >= minSuspectCrashes
	if len(s.crashes) == 0 {
		s.hasControl = false
	}
}

// wasTried reports whether enough of the crashes are those of requests that were tried alone, or there are
// manyCrashes. Others, if they are few, can be due to what the upstreams ran beside.
func (s *suspect) wasTried() bool {
	return len(s.crashes) >= manyCrashes || s.countSequential(func(k knownCrash) bool { return k.tried }) >= minTrials
}

// merge adds another report of the same exit. What it adds is sent to other entries again.
func (k *knownCrash) merge(o knownCrash) {
	if o.sent.Sub(k.sent) > timestampSlack || o.tried && !k.tried {
		k.broadcastsLeft = o.broadcastsLeft
	}
	k.tried = k.tried || o.tried
	if o.sent.After(k.sent) {
		k.sent = o.sent
	}
	for _, organisation := range o.organisations {
		if len(k.organisations) < minOrganisations && !slices.Contains(k.organisations, organisation) {
			k.organisations = append(k.organisations, organisation)
		}
	}
}

// survive records a survival that began at a time, which removes the crashes up to trustTime after it. It reports
// whether the survival counts: it must have begun after the first crash of the episode, as a part that was sound
// before may crash upstreams now.
func (s *suspect) survive(begun time.Time) bool {
	if !begun.After(s.firstCrash) {
		return false
	}
	if begun.After(s.lastSurvival) {
		if begun.Sub(s.lastSurvival) > trustTime/3 {
			s.survivalBroadcastsLeft = broadcastsPerItem
		}
		s.lastSurvival = begun
	}
	s.drop(func(k knownCrash) bool { return k.ended.Sub(s.lastSurvival) <= trustTime })
	return true
}

// countSequential returns the number of those crashes for which counts returns true and which happened one after
// the other: each request was sent after the exit counted before. Crashes at the same time may have another cause,
// such as an outage. A nil function stands for all.
func (s *suspect) countSequential(counts func(knownCrash) bool) int {
	n, last := 0, time.Time{}
	for _, k := range s.crashes {
		if k.sent.Before(last.Add(-timestampSlack)) || counts != nil && !counts(k) {
			continue
		}
		n, last = n+1, k.ended
	}
	return n
}

// hasOrganisations reports whether enough organisations sent the requests of the crashes to judge the part of the
// prompts of all.
func (s *suspect) hasOrganisations() bool {
	var found []uint32
	for _, k := range s.crashes {
		for _, organisation := range k.organisations {
			if !slices.Contains(found, organisation) {
				found = append(found, organisation)
			}
		}
	}
	return len(found) >= minOrganisations
}

// isJudged reports whether the part may be suspected and quarantined at all.
func (i *Isolator) isJudged(p Part, s *suspect) bool {
	return p.Organisation != 0 || s.hasOrganisations()
}
