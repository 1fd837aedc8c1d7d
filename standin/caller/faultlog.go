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
	// timeoutSlack is the tolerance for timeouts: a request that ended less than this
	// before its time limit is regarded as timed out.
	timeoutSlack = 50 * time.Millisecond
	// sameEndSlack is the maximum time between two events that are regarded as
	// simultaneous, such as the end of an execution and the end of its request at the
	// caller.
	sameEndSlack = 200 * time.Millisecond
	// unreadCloseTime is the time after sending a request within which its connection ends
	// if the entry closed it without reading the request.
	unreadCloseTime = 200 * time.Millisecond
	// forcedExitSlack is the tolerance for forced exits: a process that exits less than
	// this before SIGKILL may have had unfinished requests.
	forcedExitSlack = time.Second
	// strayExecutionTime is the time within which an execution ends if its connection had
	// been closed before it began.
	strayExecutionTime = 20 * time.Millisecond
)

// FaultLog records the faults that a test injected into entries and upstreams, with
// their times. It decides whether a request failed because its entry shut down or for
// another reason. It is safe for concurrent use.
type FaultLog struct {
	lock      sync.Mutex
	shutdowns []*Shutdown
	kills     []kill
	// cuts are the outages of connections to upstreams.
	cuts []*outage
	// storeOutages are the times in which entries could not read the store, in the order
	// of their beginnings.
	storeOutages []*outage
	// entryCuts are the times in which entries could not reach any upstream directly.
	entryCuts []*entryCut
	// partitions are the times in which some entries could not reach others or were
	// suspended.
	partitions []*outage
}

// Shutdown records one SIGTERM to an entry and the exit of its process.
type Shutdown struct {
	faults *FaultLog
	entry  netip.Addr
	// signalledAt is the time of SIGTERM and killAt the time at which SIGKILL would follow.
	// exitedAt is the time of the exit; zero before it.
	signalledAt, killAt, exitedAt time.Time
}

// kill records that an entry was killed without SIGTERM.
type kill struct {
	entry netip.Addr
	at    time.Time
}

// outage is an interval in which connections broke or carried no data.
type outage struct {
	// upstream is the id of the affected upstream; empty if the outage is not one of an
	// upstream.
	upstream string
	// to is zero until the outage ends.
	from, to time.Time
	// fromRestart is true if the outage is the interval in which entries may detect that
	// the upstream restarted. Such an outage explains why an entry ended a request, but not
	// why a request ended with the exit of its entry.
	fromRestart bool
}

// RecordShutdown records that an entry is about to get SIGTERM, and SIGKILL after the
// grace period.
func (x *FaultLog) RecordShutdown(entry netip.Addr, grace time.Duration) *Shutdown {
	x.lock.Lock()
	defer x.lock.Unlock()
	s := &Shutdown{faults: x, entry: entry, signalledAt: time.Now(), killAt: time.Now().Add(grace)}
	x.shutdowns = append(x.shutdowns, s)
	return s
}

// RecordExit records that the process of the entry has exited.
func (s *Shutdown) RecordExit() {
	s.faults.lock.Lock()
	defer s.faults.lock.Unlock()
	s.exitedAt = time.Now()
}

// RecordKill records that an entry is about to be killed without SIGTERM.
func (x *FaultLog) RecordKill(entry netip.Addr) {
	x.lock.Lock()
	defer x.lock.Unlock()
	x.kills = append(x.kills, kill{entry: entry, at: time.Now()})
}

// RecordCut records that connections to an upstream are about to break or stall. The
// returned function records the end.
func (x *FaultLog) RecordCut(upstream string) (end func()) {
	return x.record(&x.cuts, &outage{upstream: upstream, from: time.Now()})
}

// RecordStoreOutage records that entries are about to lose access to the store. The
// returned function records that they have it again.
func (x *FaultLog) RecordStoreOutage() (end func()) {
	return x.record(&x.storeOutages, &outage{from: time.Now()})
}

// record appends an outage to a list. The returned function records its end.
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

// restartDetectionTime is the maximum time until all entries detect a new incarnation of
// an upstream, counted from its start or from the return of the store.
const restartDetectionTime = 2 * time.Second

// RecordRestart records that an upstream restarts under the same id. The requests that
// the old incarnation was running are never answered. An entry that detects the new
// incarnation ends every request that it sent to this id before, including those that
// reached the new incarnation, as it can't distinguish them from the others.
func (x *FaultLog) RecordRestart(upstream string) {
	x.RecordCut(upstream)()
	x.lock.Lock()
	defer x.lock.Unlock()
	x.cuts = append(x.cuts, &outage{upstream: upstream, from: time.Now(), to: time.Now().Add(restartDetectionTime), fromRestart: true})
}

// lossesByShutdown returns a text for each shutdown of an entry by which a request was
// lost. There must be none: a request that an entry accepts gets a complete answer, or a
// refusal with status 503 and a Retry-After header, even if the entry shuts down.
//
// A request without either is excused only in these cases, whether SIGTERM came before
// the request or after it:
//   - The request was not sent because no connection was accepted: callers try another
//     entry.
//   - The request reached its time limit, which also happens without a shutdown.
//   - The request was sent before SIGTERM, and its time limit is later than SIGKILL.
//   - The entry was killed while the request was in progress.
//   - The connection ended at once, and the request ran at no upstream: the entry closed a
//     connection between two requests, which HTTP/1.1 can't announce.
//   - The last attempt could not complete, see [FaultLog.couldNotComplete].
//   - The connection of the last attempt broke with the links of an entry, see [FaultLog.lostLink].
//   - The last attempt was refused by an upstream without capacity, see
//     [endedAtFullUpstream].
func (x *FaultLog) lossesByShutdown(r Result, executions, refusals []worker.Execution) []string {
	x.lock.Lock()
	defer x.lock.Unlock()
	var out []string
	for _, s := range x.shutdowns {
		if r.Entry.Addr() != s.entry || !r.HeaderSent || r.EndedAt().Before(s.signalledAt) || !s.exitedAt.IsZero() && r.StartedAt.After(s.exitedAt) {
			continue
		}
		if r.IsServed() || isCleanRefusal(r, executions) || x.isExcused(r, executions, refusals, s) {
			continue
		}
		out = append(out, fmt.Sprintf("%s %s: sent %s after SIGTERM to entry %s with a time limit of %s, ended %s after SIGTERM with status %d, %d bytes, error %v; the process exited %s after SIGTERM; executions, times after SIGTERM: %s",
			r.Path, r.ID, sinceShutdown(s, r.StartedAt), s.entry, r.TimeLimit, sinceShutdown(s, r.EndedAt()), r.Status, len(r.Body), r.Err, sinceShutdown(s, s.exitedAt), x.describeExecutions(s, executions)))
	}
	return out
}

// isCleanRefusal reports whether a request was refused with status 503 and a
// Retry-After header, and ran at no upstream.
func isCleanRefusal(r Result, executions []worker.Execution) bool {
	return r.Err == nil && r.Status == http.StatusServiceUnavailable && r.RetryAfter != "" && len(executions) == 0
}

// isExcused reports whether a request that was sent has one of the excuses listed at
// lossesByShutdown.
func (x *FaultLog) isExcused(r Result, executions, refusals []worker.Execution, s *Shutdown) bool {
	switch {
	case r.Duration >= r.TimeLimit-timeoutSlack:
		return true
	case r.StartedAt.Before(s.signalledAt) && r.StartedAt.Add(r.TimeLimit).After(s.killAt):
		return true
	case r.Err != nil && len(executions) == 0 && r.Duration < unreadCloseTime:
		return true
	}
	for _, k := range x.kills {
		if k.entry == s.entry && !k.at.Before(r.StartedAt) && !k.at.After(r.EndedAt()) {
			return true
		}
	}
	return x.couldNotComplete(r, executions, s) || endedAtFullUpstream(r, executions, refusals)
}

// endedAtFullUpstream reports whether the last attempt of a request was refused by an
// upstream without capacity after an earlier attempt ran. The entry can't forward this
// refusal, as it would state to the caller that the request did not run.
func endedAtFullUpstream(r Result, executions, refusals []worker.Execution) bool {
	if r.Err != nil || len(refusals) == 0 || len(executions) == 0 {
		return false
	}
	at := refusals[len(refusals)-1].Began
	return at.After(r.EndedAt().Add(-sameEndSlack)) && !at.Before(executions[len(executions)-1].Began)
}

// couldNotComplete reports whether the last attempt of a request could not end with a
// complete answer, whatever its entry did: the upstream had an injected fault, or its
// connection was cut. A slow upstream is no excuse for a request that the exit of its
// entry cut off, but before that the entry may abandon an attempt whose upstream is
// silent. Faults in earlier attempts are no excuse, as the last attempt replaced them. If
// no execution was in progress at the end, the last attempt may have been waiting for an
// upstream of the service whose connections were cut.
func (x *FaultLog) couldNotComplete(r Result, executions []worker.Execution, s *Shutdown) bool {
	from := r.StartedAt
	if last, ok := lastAttemptExecution(executions); ok {
		from = attemptStart(last, r)
	}
	if x.lostLink(r.Entry.Addr(), from, r.EndedAt()) {
		return true
	}
	from = r.StartedAt
	if last, ok := lastAttemptExecution(executions); ok {
		// A process that exits long before SIGKILL has no unfinished requests.
		wasKilled := s.exitedAt.IsZero() || s.exitedAt.After(s.killAt.Add(-forcedExitSlack))
		endedWithEntry := wasKilled && (s.exitedAt.IsZero() || r.EndedAt().After(s.exitedAt.Add(-sameEndSlack)))
		if preventsCompleteAnswer(last.Fault, isPlainCall(r.Path)) || last.Fault == worker.FaultSlow && !endedWithEntry || x.hasCut(attemptStart(last, r), r.EndedAt(), last.WorkerID, !endedWithEntry) {
			return true
		}
		if last.Ended.IsZero() || last.Ended.After(r.EndedAt().Add(-sameEndSlack)) {
			return mayBeAbandoned(r, last) && x.hasCut(last.Began, r.EndedAt(), upstreamIDPart(r.Path), false)
		}
		from = last.Ended
	}
	return x.hasCut(from, r.EndedAt(), upstreamIDPart(r.Path), false)
}

// mayBeAbandoned reports whether the entry may have abandoned the last execution because
// the upstream was silent. The entry then retries at another upstream, which may be down,
// as the entry only detects that by trying.
func mayBeAbandoned(r Result, last worker.Execution) bool {
	return isPlainCall(r.Path) && isRepeatable(r.Path) && last.Ended.Sub(last.Began) >= plainCallSilence
}

// plainCallSilence is the silence after which entries abandon an attempt at a repeatable
// plain call: twice the latency target of its route, less the tolerance
// strayExecutionTime.
const plainCallSilence = 600*time.Millisecond - strayExecutionTime

// upstreamIDPart returns a substring that the ids of all upstreams that serve a path have
// in common, and no others.
func upstreamIDPart(path string) string {
	if isPlainCall(path) {
		return "-app-"
	}
	return "-lm-"
}

// lastAttemptExecution returns the execution of the last attempt: the latest one that is
// not stray. It returns false if there is none. A stray execution began after its entry
// had abandoned the attempt and retried at another upstream; it ends at once while the
// execution before it goes on.
func lastAttemptExecution(executions []worker.Execution) (worker.Execution, bool) {
	for i := len(executions) - 1; i >= 0; i-- {
		r := executions[i]
		stray := i > 0 && !r.Ended.IsZero() && r.Ended.Sub(r.Began) < strayExecutionTime && (executions[i-1].Ended.IsZero() || executions[i-1].Ended.After(r.Ended))
		if !stray {
			return r, true
		}
	}
	return worker.Execution{}, false
}

// attemptStart returns a time at which the attempt of an execution was in progress: the
// start of the execution or, if a slow connection delivered the attempt after the end of
// the request or of the connection, the start of the request.
func attemptStart(execution worker.Execution, r Result) time.Time {
	endedAtOnce := !execution.Ended.IsZero() && execution.Ended.Sub(execution.Began) < strayExecutionTime
	if endedAtOnce || execution.Began.After(r.EndedAt()) {
		return r.StartedAt
	}
	return execution.Began
}

// preventsCompleteAnswer reports whether an upstream with a fault can't give a complete
// answer: to a plain call if plainCall is true, otherwise to a prompt.
func preventsCompleteAnswer(f worker.Fault, plainCall bool) bool {
	switch f {
	case worker.FaultServerError, worker.FaultConnectionLost, worker.FaultNoAnswer, worker.FaultBrokenOff, worker.FaultForeignID, worker.FaultUnstamped:
		return true
	case worker.FaultEndsEarly:
		return !plainCall
	case worker.FaultUnframed: // on some networks not distinguishable from a lost connection
		return plainCall
	}
	return false
}

// hasCut reports whether, at any moment between from and to, connections were cut to an
// upstream whose id contains idPart. If withRestarts is true, the time in which entries
// may detect a restart of such an upstream is treated as a cut. The lock must be held.
func (x *FaultLog) hasCut(from, to time.Time, idPart string, withRestarts bool) bool {
	for _, c := range x.cuts {
		if c.fromRestart && !withRestarts {
			continue
		}
		end := c.to
		if c.fromRestart {
			end = x.detectedBy(c.to)
		}
		if strings.Contains(c.upstream, idPart) && !c.from.After(to) && (end.IsZero() || !end.Before(from)) {
			return true
		}
	}
	return false
}

// detectedBy returns the time by which all entries have detected a restart, where deadline
// is the time by which they would have done so if the store had had no outage. It returns
// the zero time if an outage that delays the detection has not ended.
func (x *FaultLog) detectedBy(deadline time.Time) time.Time {
	for _, a := range x.storeOutages { // in the order of their beginnings
		switch {
		case a.from.After(deadline):
		case a.to.IsZero():
			return time.Time{}
		case a.to.Add(restartDetectionTime).After(deadline):
			deadline = a.to.Add(restartDetectionTime)
		}
	}
	return deadline
}

// describeExecutions returns the executions as text, with times relative to SIGTERM.
func (x *FaultLog) describeExecutions(s *Shutdown, executions []worker.Execution) string {
	text := ""
	for _, r := range executions {
		text += fmt.Sprintf("[%s fault %d, %s to %s]", r.WorkerID, r.Fault, sinceShutdown(s, r.Began), sinceShutdown(s, r.Ended))
	}
	return text
}

// sinceShutdown returns the time from SIGTERM to t, rounded to milliseconds; 0 if t is
// zero.
func sinceShutdown(s *Shutdown, t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return t.Sub(s.signalledAt).Round(time.Millisecond)
}
