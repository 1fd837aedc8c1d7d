package forwarder

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/isolator"
	"github.com/sapphireramp/sapphireramp/quarantiner"
	"github.com/sapphireramp/sapphireramp/tunneler"
)

// fingerprintOf returns the fingerprint of a request: a hash of its method, host, path and query, body
// and organisation. On public routes, which have no organisation, the API key takes its place.
func fingerprintOf(x *exchange) quarantiner.Fingerprint {
	owner := x.organisation
	if owner == "" {
		owner = x.metadata.APIKey
	}
	r := x.request
	return quarantiner.FingerprintOfChunked(x.body.chunks, []byte(r.Method), []byte(r.Host), []byte(r.URL.RequestURI()), []byte(owner))
}

// markBroken sets the verdict of an attempt to verdictBroken with the error err. It sets connectionLost
// unless ctx, the context of the attempt, was cancelled, a tunnel was lost, or the upstream sent an invalid response.
func (a *attempt) markBroken(ctx context.Context, err error) {
	a.verdict, a.err = verdictBroken, err
	var lost tunneler.TunnelLostError
	var invalid connector.InvalidResponseError
	a.isLinkAtFault = errors.As(err, &lost)
	a.connectionLost = context.Cause(ctx) == nil && !a.isLinkAtFault && !errors.As(err, &invalid)
}

// markEndedEarly sets the verdict of an attempt whose stream ended too early, without an error of the connection, to
// verdictBroken with the error err. If only the end of the connection marked the end of the stream, the upstream may
// have exited.
func (a *attempt) markEndedEarly(err error) {
	a.verdict, a.err = verdictBroken, err
	a.connectionLost = a.isDelimitedByClose()
}

// detectCrash checks in the background whether an attempt lost its connection because the first
// upstream exited, and if so logs the exit and reports it to the quarantiner as a crash. If another process
// listens at the address, the exit shows once the upstream is registered as another incarnation. Attempts that
// this entry cancelled are ignored: one cancelled because of an upstream's restart may have reached
// the new incarnation.
//
// A request whose response had been going on for isolator.SurvivalTime is no possible cause by a part of its prompt.
func (f *Forwarder) detectCrash(x *exchange, a *attempt) {
	if !a.connectionLost {
		return
	}
	if a.mayHaveCrashed() {
		x.lostCount++
	}
	first, brokeAt := a.placement.First, time.Now()
	writingTime := a.writingTime(brokeAt)
	partCrash := isolator.Crash{Parts: x.parts, Incarnation: quarantiner.IncarnationHash(first.IncarnationID()), Tried: x.trial != nil && x.trial.IsOfSuspects, Sent: a.startedAt, Ended: brokeAt}
	if !a.mayHaveCrashed() {
		partCrash.Parts = nil
	}
	if len(partCrash.Parts) > 0 {
		f.isolator.RecordInterruption(brokeAt, partCrash)
	}
	crash := quarantiner.Crash{Fingerprint: x.fingerprint, Incarnation: quarantiner.IncarnationHash(first.IncarnationID()), LastSent: a.startedAt, Ended: brokeAt}
	f.quarantine.RecordInterruption(brokeAt, crash)
	go func() {
		if !f.exitDetector.HasExited(first.Address.String(), f.healthPath(first.Service)) {
			return
		}
		f.log.Warn("upstream_ended", zap.String("request", x.metadata.ID), zap.Stringer("content", x.fingerprint), zap.String("upstream", first.ID),
			zap.Stringer("address", first.Address), zap.Duration("ran_ms", brokeAt.Sub(a.startedAt)),
			zap.String("parts", isolator.JoinParts(x.parts)), zap.Duration("writing_ms", writingTime))
		f.quarantine.RecordCrash(time.Now(), crash)
		if f.isolator.RecordCrash(time.Now(), partCrash) {
			f.onCrash()
		}
	}()
}

// healthPath returns the path of GET requests that running upstreams of a service answer; empty if there is none.
func (f *Forwarder) healthPath(service string) string {
	if table := f.view().Table; table != nil {
		if s, ok := table.Service(service); ok {
			return s.HealthPath
		}
	}
	return ""
}

// recordEvent records the arrival of an event of the response, and the survival of the parts of the prompt after
// isolator.SurvivalTime. It returns true for the first event after which hasRunLongEnough returns true.
func (f *Forwarder) recordEvent(x *exchange, a *attempt, now time.Time) bool {
	before, hadSurvived := a.hasRunLongEnough(), a.lastEventAt.Sub(a.firstEventAt) >= isolator.SurvivalTime
	if a.firstEventAt.IsZero() {
		a.firstEventAt, a.lastEventAt = now, now
	}
	a.longestGap.Store(max(a.longestGap.Load(), int64(now.Sub(a.lastEventAt))))
	a.lastEventAt = now
	a.eventCount.Add(1)
	if !hadSurvived && a.lastEventAt.Sub(a.firstEventAt) >= isolator.SurvivalTime {
		f.isolator.RecordSurvival(now, x.parts, a.firstEventAt)
	}
	return !before && a.hasRunLongEnough()
}

// writingTime returns the time for which the upstream had been sending events; 0 before the first one.
func (a *attempt) writingTime(now time.Time) time.Duration {
	if a.firstEventAt.IsZero() {
		return 0
	}
	return now.Sub(a.firstEventAt)
}

// hasRunLongEnough reports whether the upstream has run the request for long enough to show that the
// request does not crash it: its first and its latest event arrived at least as far apart as package
// quarantiner requires for a success.
func (a *attempt) hasRunLongEnough() bool {
	return a.lastEventAt.Sub(a.firstEventAt) >= quarantiner.MinSuccessRunTime
}

// checkQuarantine returns a refusal if the request is quarantined for crashing upstreams, nil
// otherwise.
func (f *Forwarder) checkQuarantine(x *exchange) *dispatcher.Refusal {
	now := time.Now()
	until, ok := f.quarantine.QuarantinedUntil(now, x.fingerprint)
	if !ok {
		return nil
	}
	return &dispatcher.Refusal{Reason: reasonQuarantined, RetryAfter: until.Sub(now)}
}

// isSuspect reports whether a request must not be sent to another upstream after the attempt a, as it may
// crash that upstream too: the connection was lost, and the quarantiner suspects the fingerprint
// because of earlier crashes. Whether parts of its prompt may crash the upstream, admit decides.
func (f *Forwarder) isSuspect(x *exchange, a *attempt) bool {
	return a.connectionLost && f.quarantine.IsSuspect(x.fingerprint)
}

// isDelimitedByClose reports whether only the end of the connection marks the end of the response.
func (a *attempt) isDelimitedByClose() bool {
	return a.response != nil && a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0
}
