package caller

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/worker"
)

const (
	// timeoutSlack is how long before its time limit a request counts as ended by it.
	timeoutSlack = 50 * time.Millisecond
	// sameEndSlack is how far apart two ends of one cause are seen at most.
	sameEndSlack = 200 * time.Millisecond
	// unreadCloseTime is how soon after its sending a connection ends that was closed
	// before its request was read.
	unreadCloseTime = 200 * time.Millisecond
	// forcedExitSlack is how long before its end by force a process ends that has still something to do.
	forcedExitSlack = time.Second
	// strayRunTime is how soon a run ends whose connection was closed before it began.
	strayRunTime = 20 * time.Millisecond
)

// FaultLog are what a test did to entries and upstreams, by time. It is what
// decides whether the end of a request is a stopping entry's fault.
type FaultLog struct {
	lock      sync.Mutex
	shutdowns []*Shutdown
	kills     []kill
	cuts      []*outage
	// storeOutages are the times when entries could not read the store.
	storeOutages []*outage
	// partitions are the times when some entries could not reach others.
	partitions []*outage
}

// Shutdown is one SIGTERM of an entry.
type Shutdown struct {
	faults *FaultLog
	entry  netip.Addr
	// signalledAt is when SIGTERM was sent, force when SIGKILL would follow, ended when the
	// process had ended; zero before.
	signalledAt, killAt, exitedAt time.Time
}

type kill struct {
	entry netip.Addr
	at    time.Time
}

// outage is a time during which connections to an upstream broke or said nothing.
type outage struct {
	upstream string
	from, to time.Time
	// fromRestart is set where entries only hear of a cut that is over: they end requests
	// for it, but not by their own end.
	fromRestart bool
}

// RecordShutdown notes that an entry is about to get SIGTERM.
func (x *FaultLog) RecordShutdown(entry netip.Addr, grace time.Duration) *Shutdown {
	x.lock.Lock()
	defer x.lock.Unlock()
	s := &Shutdown{faults: x, entry: entry, signalledAt: time.Now(), killAt: time.Now().Add(grace)}
	x.shutdowns = append(x.shutdowns, s)
	return s
}

// RecordExit notes that the process has ended.
func (s *Shutdown) RecordExit() {
	s.faults.lock.Lock()
	defer s.faults.lock.Unlock()
	s.exitedAt = time.Now()
}

// RecordKill notes that an entry is killed.
func (x *FaultLog) RecordKill(entry netip.Addr) {
	x.lock.Lock()
	defer x.lock.Unlock()
	x.kills = append(x.kills, kill{entry: entry, at: time.Now()})
}

// RecordCut notes that connections to an upstream are about to break or be held up;
// what it returns notes that they are not any more.
func (x *FaultLog) RecordCut(upstream string) (end func()) {
	return x.record(&x.cuts, &outage{upstream: upstream, from: time.Now()})
}

// RecordStoreOutage notes that entries are about to lose the store, and what it returns that
// they have it again.
func (x *FaultLog) RecordStoreOutage() (end func()) {
	return x.record(&x.storeOutages, &outage{from: time.Now()})
}

func (x *FaultLog) record(list *[]*outage, c *outage) (end func()) {
	x.lock.Lock()
	defer x.lock.Unlock()
	*list = append(*list, c)
	return func() {
		x.lock.Lock()
		defer x.lock.Unlock()
		c.to = time.Now()
	}
}

// restartNoticeTime is how long after its start, or after the store is back, entries may hear
// of an upstream's new run.
const restartNoticeTime = 2 * time.Second

// RecordRestart notes that an upstream starts anew under its id. What it worked on is never
// answered. Entries that hear of the new run end all that they sent to its id before,
// also what reached the new run already: they can't tell it from the other.
func (x *FaultLog) RecordRestart(upstream string) {
	x.RecordCut(upstream)()
	x.lock.Lock()
	defer x.lock.Unlock()
	x.cuts = append(x.cuts, &outage{upstream: upstream, from: time.Now(), to: time.Now().Add(restartNoticeTime), fromRestart: true})
}

// lossesByShutdown says where a request was lost to the stop of its entry, which is never to
// happen: what a stopping entry begins gets its whole answer or an honest refusal.
//
// Excused is only what follows, whether SIGTERM came before the request or after:
//   - It was not sent, as nobody accepted a connection: callers ask elsewhere.
//   - Its caller's time limit was reached: no entry answers in time then.
//   - It was sent before SIGTERM, and its time limit lies beyond the end by force.
//   - The entry was killed meanwhile.
//   - Its connection ended at once, and it ran nowhere: it met the closing of a
//     connection between two requests, which HTTP/1.1 has no word for.
//   - Its last run could not end whole, see doomed.
//   - Its last attempt met an upstream that was too full, see turnedAway.
func (x *FaultLog) lossesByShutdown(r Result, runs, refusals []worker.Run) []string {
	x.lock.Lock()
	defer x.lock.Unlock()
	var out []string
	for _, s := range x.shutdowns {
		if r.Entry.Addr() != s.entry || !r.HeaderSent || r.EndedAt().Before(s.signalledAt) || !s.exitedAt.IsZero() && r.StartedAt.After(s.exitedAt) {
			continue
		}
		if r.IsServed() || isCleanRefusal(r, runs) || x.isExcused(r, runs, refusals, s) {
			continue
		}
		out = append(out, fmt.Sprintf("%s %s: sent %s after SIGTERM of %s with a limit of %s, ended %s after SIGTERM with status %d, %d bytes, %v; the process ended after %s; runs: %s",
			r.Path, r.ID, sinceShutdown(s, r.StartedAt), s.entry, r.TimeLimit, sinceShutdown(s, r.EndedAt()), r.Status, len(r.Body), r.Err, sinceShutdown(s, s.exitedAt), x.describeRuns(s, runs)))
	}
	return out
}

// isCleanRefusal reports whether a request was refused honestly: not run, and with a
// time to come back.
func isCleanRefusal(r Result, runs []worker.Run) bool {
	return r.Err == nil && r.Status == http.StatusServiceUnavailable && r.RetryAfter != "" && len(runs) == 0
}

func (x *FaultLog) isExcused(r Result, runs, refusals []worker.Run, s *Shutdown) bool {
	switch {
	case r.Duration >= r.TimeLimit-timeoutSlack:
		return true
	case r.StartedAt.Before(s.signalledAt) && r.StartedAt.Add(r.TimeLimit).After(s.killAt):
		return true
	case r.Err != nil && len(runs) == 0 && r.Duration < unreadCloseTime:
		return true
	}
	for _, k := range x.kills {
		if k.entry == s.entry && !k.at.Before(r.StartedAt) && !k.at.After(r.EndedAt()) {
			return true
		}
	}
	return x.couldNotComplete(r, runs, s) || endedAtFullUpstream(r, runs, refusals)
}

// endedAtFullUpstream reports whether the last attempt at a request met an upstream that was too
// full. Where an earlier one may have run, that is no refusal that a caller could be told.
func endedAtFullUpstream(r Result, runs, refusals []worker.Run) bool {
	if r.Err != nil || len(refusals) == 0 || len(runs) == 0 {
		return false
	}
	at := refusals[len(refusals)-1].Began
	return at.After(r.EndedAt().Add(-sameEndSlack)) && !at.Before(runs[len(runs)-1].Began)
}

// couldNotComplete reports whether the last attempt at a request could not end with a whole
// answer, whatever its entry did: the upstream failed it in a way of its own, or
// its connection was cut. An upstream that is merely slow dooms nothing that the
// end of the entry cuts, but an entry may give it up before, for its silence.
// Attempts before the last don't count, as the last may have mended them. Where
// no run was going on at the end, the last attempt hung before an upstream that
// was cut, if there was one.
func (x *FaultLog) couldNotComplete(r Result, runs []worker.Run, s *Shutdown) bool {
	from := r.StartedAt
	if last, ok := lastAttemptRun(runs); ok {
		// A process that ends long before it would be ended by force has nothing left to do.
		wasKilled := s.exitedAt.IsZero() || s.exitedAt.After(s.killAt.Add(-forcedExitSlack))
		endedWithEntry := wasKilled && (s.exitedAt.IsZero() || r.EndedAt().After(s.exitedAt.Add(-sameEndSlack)))
		if preventsCompleteAnswer(last.Fault, isPlainCall(r.Path)) || last.Fault == worker.Slow && !endedWithEntry || x.hasCut(attemptStart(last, r), r.EndedAt(), last.Upstream, !endedWithEntry) {
			return true
		}
		if last.Ended.IsZero() || last.Ended.After(r.EndedAt().Add(-sameEndSlack)) {
			return mayBeGivenUp(r, last) && x.hasCut(last.Began, r.EndedAt(), upstreamIDPart(r.Path), false)
		}
		from = last.Ended
	}
	return x.hasCut(from, r.EndedAt(), upstreamIDPart(r.Path), false)
}

// mayBeGivenUp reports whether the entry may have given the last run up for its silence: it then
// sends the request elsewhere, and does not know of upstreams that are down before it tries.
func mayBeGivenUp(r Result, last worker.Run) bool {
	return isPlainCall(r.Path) && isRepeatable(r.Path) && last.Ended.Sub(last.Began) >= plainCallSilence
}

// plainCallSilence is the silence for which entries give a plain call up that may be repeated:
// twice the target of its route.
const plainCallSilence = 600*time.Millisecond - strayRunTime

// upstreamIDPart is a part of the ids of the upstreams that serve a path.
func upstreamIDPart(path string) string {
	if isPlainCall(path) {
		return "-app-"
	}
	return "-lm-"
}

// lastAttemptRun is the run of the last attempt: the latest, but for one that arrived when its
// entry had given it up already and sent the request elsewhere.
func lastAttemptRun(runs []worker.Run) (worker.Run, bool) {
	for i := len(runs) - 1; i >= 0; i-- {
		r := runs[i]
		stray := i > 0 && !r.Ended.IsZero() && r.Ended.Sub(r.Began) < strayRunTime && (runs[i-1].Ended.IsZero() || runs[i-1].Ended.After(r.Ended))
		if !stray {
			return r, true
		}
	}
	return worker.Run{}, false
}

// attemptStart is when the attempt began that a run is of: a late cable may bring it to
// its upstream when the request has ended.
func attemptStart(run worker.Run, r Result) time.Time {
	if run.Began.After(r.EndedAt()) {
		return r.StartedAt
	}
	return run.Began
}

// preventsCompleteAnswer reports whether a fault keeps a run from a whole answer.
func preventsCompleteAnswer(f worker.Fault, plainCall bool) bool {
	switch f {
	case worker.Failing, worker.Lost, worker.Mute, worker.Torn, worker.Foreign, worker.Unsigned:
		return true
	case worker.Short:
		return !plainCall
	case worker.Unframed: // which not every network lets one tell from a cut
		return plainCall
	}
	return false
}

// hasCut reports whether an upstream whose id contains a text was cut at any
// moment between two; with heard also where entries may hear of that late.
func (x *FaultLog) hasCut(from, to time.Time, idPart string, withRestarts bool) bool {
	for _, c := range x.cuts {
		if c.fromRestart && !withRestarts {
			continue
		}
		end := c.to
		if c.fromRestart {
			end = x.noticedBy(c.to)
		}
		if strings.Contains(c.upstream, idPart) && !c.from.After(to) && (end.IsZero() || !end.Before(from)) {
			return true
		}
	}
	return false
}

// noticedBy is when all have heard what they would have heard by a time but for the
// troubles of the store; zero for never.
func (x *FaultLog) noticedBy(deadline time.Time) time.Time {
	for _, a := range x.storeOutages { // by their beginnings
		switch {
		case a.from.After(deadline):
		case a.to.IsZero():
			return time.Time{}
		case a.to.Add(restartNoticeTime).After(deadline):
			deadline = a.to.Add(restartNoticeTime)
		}
	}
	return deadline
}

func (x *FaultLog) describeRuns(s *Shutdown, runs []worker.Run) string {
	text := ""
	for _, r := range runs {
		text += fmt.Sprintf("[%s fault %d, %s to %s]", r.Upstream, r.Fault, sinceShutdown(s, r.Began), sinceShutdown(s, r.Ended))
	}
	return text
}

// sinceShutdown is how long after SIGTERM something was; zero where it is unknown.
func sinceShutdown(s *Shutdown, t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return t.Sub(s.signalledAt).Round(time.Millisecond)
}
