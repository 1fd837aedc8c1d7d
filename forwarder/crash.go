package forwarder

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/quarantiner"
)

// fingerprintOf names what a request asks for: of one organisation, to one path, with one body.
func fingerprintOf(x *exchange) quarantiner.Fingerprint {
	owner := x.organisation
	if owner == "" {
		owner = x.metadata.APIKey
	}
	r := x.request
	return quarantiner.FingerprintOf([]byte(r.Method), []byte(r.Host), []byte(r.URL.RequestURI()), []byte(owner), x.body)
}

// markBroken notes that the answer of an attempt broke off.
func (a *attempt) markBroken(ctx context.Context, err error) {
	a.verdict, a.err = verdictBroken, err
	a.connectionLost = context.Cause(ctx) == nil
}

// detectCrash finds out whether an attempt broke off because its upstream has ended. The
// request does not wait for that. An attempt that this entry ended as it heard of a new run may have
// reached that run: it tells nothing.
func (f *Forwarder) detectCrash(x *exchange, a *attempt) {
	if !a.connectionLost {
		return
	}
	first, brokeAt := a.placement.First, time.Now()
	go func() {
		if !f.presence.Gone(first.Address.String()) {
			return
		}
		f.log.Warn("upstream_ended", zap.String("request", x.metadata.ID), zap.Stringer("content", x.fingerprint), zap.String("upstream", first.ID),
			zap.Stringer("address", first.Address), zap.Duration("ran_ms", brokeAt.Sub(a.startedAt)))
		f.quarantine.RecordCrash(time.Now(), quarantiner.Crash{Fingerprint: x.fingerprint, Incarnation: quarantiner.Incarnation(first.IncarnationID()), LastSent: a.startedAt, Ended: brokeAt})
	}()
}

// recordEvent notes an event of the answer, and reports whether by it the request is proven to be one that
// its upstream can run.
func (a *attempt) recordEvent(now time.Time) bool {
	before := a.isProven()
	if a.firstEventAt.IsZero() {
		a.firstEventAt, a.lastEventAt = now, now
	}
	a.longestGap.Store(max(a.longestGap.Load(), int64(now.Sub(a.lastEventAt))))
	a.lastEventAt = now
	a.eventCount.Add(1)
	return !before && a.isProven()
}

func (a *attempt) isProven() bool {
	return a.lastEventAt.Sub(a.firstEventAt) >= quarantiner.ProvenAfter
}

// checkQuarantine refuses requests that crash what runs them.
func (f *Forwarder) checkQuarantine(x *exchange) *dispatcher.Refusal {
	now := time.Now()
	until, ok := f.quarantine.QuarantinedUntil(now, x.fingerprint)
	if !ok {
		return nil
	}
	return &dispatcher.Refusal{Reason: reasonQuarantined, RetryAfter: until.Sub(now)}
}

// isSuspect reports whether an attempt broke off that is not to be made again elsewhere, since
// upstreams have ended under the request before.
func (f *Forwarder) isSuspect(x *exchange, a *attempt) bool {
	return a.connectionLost && f.quarantine.IsSuspect(x.fingerprint)
}
