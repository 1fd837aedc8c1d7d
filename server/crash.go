package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/quarantiner"
)

// contentOf names what a prompt or a call asks for, whatever id it has.
func contentOf(x *exchange) quarantiner.Fingerprint {
	organisation := []byte(x.organisation.Name)
	if r := x.completion; r != nil {
		return quarantiner.FingerprintOf(organisation, []byte(r.Model), []byte(r.Adapter), []byte(r.Prompt))
	}
	return quarantiner.FingerprintOf(organisation, []byte(x.service.Name), []byte(x.call), x.body)
}

// quarantined refuses a request that crashes the upstreams that run it.
func (x *exchange) quarantined() *failure {
	now := time.Now()
	until, ok := x.server.quarantine.QuarantinedUntil(now, x.content)
	if !ok {
		return nil
	}
	f := fail(api.CodeQuarantined, "upstreams ended one after the other that ran this request")
	f.retryAfter = until.Sub(now)
	return f
}

// isSuspect reports whether an attempt broke off that is not to be made again elsewhere, since
// upstreams have ended under the request before.
func (x *exchange) isSuspect() bool { return x.cut && x.server.quarantine.IsSuspect(x.content) }

// trial is an attempt as a proof of whether its upstream can run the request.
type trial struct {
	upstream string
	address  string
	// sent is when the attempt was sent, began when its answer did; zero where it did not.
	sent, began time.Time
}

// noteEnd finds out whether an attempt that broke off did so because its upstream has ended. The
// request does not wait for that. Ctx is the attempt's: one that this entry ended tells nothing.
func (x *exchange) noteEnd(ctx context.Context, t trial) {
	if context.Cause(ctx) != nil {
		return
	}
	x.cut = true
	s, id, content, broke := x.server, x.id, x.content, time.Now()
	go func() {
		if !s.presence.HasExited(t.address) {
			return
		}
		s.logs.route.Warn("upstream_ended", zap.String("request", id), zap.Stringer("content", content), zap.String("upstream", t.upstream),
			zap.Duration("ran_ms", broke.Sub(t.sent)))
		if !t.began.IsZero() && broke.Sub(t.began) >= quarantiner.ProvenAfter {
			s.quarantine.RecordSuccess(broke, content)
			return
		}
		run := quarantiner.Incarnation(quarantiner.FingerprintOf([]byte(t.upstream)))
		s.quarantine.RecordCrash(time.Now(), quarantiner.Crash{Fingerprint: content, Incarnation: run, LastSent: t.sent, Ended: broke})
	}()
}

// logQuarantined logs requests that are refused from now on.
func (s *Server) logQuarantined(now time.Time, verdicts []quarantiner.Decision, source string) {
	for _, v := range verdicts {
		s.logs.route.Warn("quarantined", v.LogFields(now, source)...)
	}
}
