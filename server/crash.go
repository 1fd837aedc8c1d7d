package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/isolator"
	"github.com/sapphireramp/sapphireramp/quarantiner"
)

// fingerprintOf returns the hash that identifies requests of equal content: same organisation, target and
// prompt or body, whatever the request ID.
func fingerprintOf(x *exchange) quarantiner.Fingerprint {
	organisation := []byte(x.organisation.Name)
	if r := x.completion; r != nil {
		return quarantiner.FingerprintOf(organisation, []byte(r.Model), []byte(r.Adapter), []byte(r.Prompt))
	}
	return quarantiner.FingerprintOf(organisation, []byte(x.service.Name), []byte(x.callName), x.body)
}

// checkQuarantine returns a failure if the request's fingerprint is quarantined, because upstreams crashed
// while they ran requests with it, and nil otherwise.
func (x *exchange) checkQuarantine() *failure {
	now := time.Now()
	until, ok := x.server.quarantine.QuarantinedUntil(now, x.fingerprint)
	if !ok {
		return nil
	}
	f := newFailure(api.CodeQuarantined, "the request is quarantined: upstreams that ran it crashed one after the other")
	f.retryAfter = until.Sub(now)
	return f
}

// isCrashSuspect reports whether the last attempt was interrupted and several crashes of upstreams that ran
// requests with the same fingerprint are recorded (see quarantiner.Quarantiner.IsSuspect). Such a request is
// not retried, so that it can't crash another upstream.
func (x *exchange) isCrashSuspect() bool {
	return x.interrupted && x.server.quarantine.IsSuspect(x.fingerprint)
}

// attemptInfo describes an attempt for crash detection.
type attemptInfo struct {
	// upstream is the name of the upstream, address its IP:port.
	upstream string
	address  string
	// healthPath is the path of GET requests that the upstream answers while it runs; empty if there is none.
	healthPath string
	// sentAt is the time at which the attempt was sent, answerStartedAt the time of an engine's first token
	// or of a service's response header; zero if neither arrived.
	sentAt, answerStartedAt time.Time
}

// detectCrash sets x.interrupted and checks in the background whether an interrupted attempt ended because
// its upstream's process exited, which also shows once another incarnation reports. If so, it records a crash
// for the quarantine; but if the answer had lasted
// for quarantiner.MinSuccessRunTime, it records a success, as the upstream evidently could run the request. If
// ctx, the attempt's context, has ended, as on a timeout or if the caller disconnects, or a link may be at fault,
// the interruption shows nothing about the upstream and detectCrash does nothing.
func (x *exchange) detectCrash(ctx context.Context, attempt attemptInfo) {
	if context.Cause(ctx) != nil || x.isLinkAtFault() {
		return
	}
	x.interrupted = true
	s, id, fingerprint, interruptedAt := x.server, x.id, x.fingerprint, time.Now()
	partCrash := isolator.Crash{Parts: x.parts, Incarnation: upstreamHash(attempt.upstream), Tried: x.trial != nil && x.trial.IsOfSuspects, Sent: attempt.sentAt, Ended: interruptedAt}
	if !attempt.answerStartedAt.IsZero() && interruptedAt.Sub(attempt.answerStartedAt) >= isolator.SurvivalTime {
		partCrash.Parts = nil
	}
	if len(partCrash.Parts) > 0 {
		x.lostCount++
		s.isolator.RecordInterruption(interruptedAt, partCrash)
	}
	hasRun := !attempt.answerStartedAt.IsZero() && interruptedAt.Sub(attempt.answerStartedAt) >= quarantiner.MinSuccessRunTime
	crash := quarantiner.Crash{Fingerprint: fingerprint, Incarnation: upstreamHash(attempt.upstream), LastSent: attempt.sentAt, Ended: interruptedAt}
	if !hasRun {
		s.quarantine.RecordInterruption(interruptedAt, crash)
	}
	go func() {
		if !s.exitDetector.HasExited(attempt.address, attempt.healthPath) {
			return
		}
		s.logs.route.Warn("upstream_ended", zap.String("request", id), zap.Stringer("content", fingerprint), zap.String("upstream", attempt.upstream),
			zap.Duration("ran_ms", interruptedAt.Sub(attempt.sentAt)), zap.String("parts", isolator.JoinParts(partCrash.Parts)))
		s.isolator.RecordCrash(time.Now(), partCrash)
		if hasRun {
			s.quarantine.RecordSuccess(interruptedAt, fingerprint)
			return
		}
		s.quarantine.RecordCrash(time.Now(), crash)
	}()
}

// upstreamHash identifies an upstream for the quarantine. It does not depend on the incarnation, which attempts
// do not know.
func upstreamHash(name string) quarantiner.IncarnationHash {
	return quarantiner.IncarnationHash(quarantiner.FingerprintOf([]byte(name)))
}

// logQuarantineDecisions logs the given decisions to quarantine a fingerprint. Source is the name of the
// entry that made them, "own" for this entry.
func (s *Server) logQuarantineDecisions(now time.Time, decisions []quarantiner.Decision, source string) {
	for _, d := range decisions {
		s.logs.route.Warn("quarantined", d.LogFields(now, source)...)
	}
}
