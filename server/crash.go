package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/quarantiner"
)

// fingerprintOf names what a prompt or a call asks for, whatever id it has.
func fingerprintOf(x *exchange) quarantiner.Fingerprint {
	organisation := []byte(x.organisation.Name)
	if r := x.completion; r != nil {
		return quarantiner.FingerprintOf(organisation, []byte(r.Model), []byte(r.Adapter), []byte(r.Prompt))
	}
	return quarantiner.FingerprintOf(organisation, []byte(x.service.Name), []byte(x.callName), x.body)
}

// checkQuarantine refuses a request that crashes the upstreams that run it.
func (x *exchange) checkQuarantine() *failure {
	now := time.Now()
	until, ok := x.server.quarantine.QuarantinedUntil(now, x.fingerprint)
	if !ok {
		return nil
	}
	f := newFailure(api.CodeQuarantined, "upstreams ended one after the other that ran this request")
	f.retryAfter = until.Sub(now)
	return f
}

// isCrashSuspect reports whether an attempt broke off that is not to be made again elsewhere, since
// upstreams have ended under the request before.
func (x *exchange) isCrashSuspect() bool {
	return x.interrupted && x.server.quarantine.IsSuspect(x.fingerprint)
}

// attemptInfo is an attempt as a proof of whether its upstream can run the request.
type attemptInfo struct {
	upstream string
	address  string
	// sentAt is when the attempt was sent, began when its answer did; zero where it did not.
	sentAt, answerStartedAt time.Time
}

// detectCrash finds out whether an attempt that broke off did so because its upstream has ended. The
// request does not wait for that. Ctx is the attempt's: one that this entry ended tells nothing.
func (x *exchange) detectCrash(ctx context.Context, attempt attemptInfo) {
	if context.Cause(ctx) != nil {
		return
	}
	x.interrupted = true
	s, id, fingerprint, interruptedAt := x.server, x.id, x.fingerprint, time.Now()
	go func() {
		if !s.presence.HasExited(attempt.address) {
			return
		}
		s.logs.route.Warn("upstream_ended", zap.String("request", id), zap.Stringer("content", fingerprint), zap.String("upstream", attempt.upstream),
			zap.Duration("ran_ms", interruptedAt.Sub(attempt.sentAt)))
		if !attempt.answerStartedAt.IsZero() && interruptedAt.Sub(attempt.answerStartedAt) >= quarantiner.ProvenAfter {
			s.quarantine.RecordSuccess(interruptedAt, fingerprint)
			return
		}
		incarnation := quarantiner.Incarnation(quarantiner.FingerprintOf([]byte(attempt.upstream)))
		s.quarantine.RecordCrash(time.Now(), quarantiner.Crash{Fingerprint: fingerprint, Incarnation: incarnation, LastSent: attempt.sentAt, Ended: interruptedAt})
	}()
}

// logQuarantineDecisions logs requests that are refused from now on.
func (s *Server) logQuarantineDecisions(now time.Time, decisions []quarantiner.Decision, source string) {
	for _, d := range decisions {
		s.logs.route.Warn("quarantined", d.LogFields(now, source)...)
	}
}
