package forwarder

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/quarantiner"
)

// contentOf names what a request asks for: of one organisation, to one path, with one body.
func contentOf(x *exchange) quarantiner.Fingerprint {
	caller := x.organisation
	if caller == "" {
		caller = x.call.APIKey
	}
	r := x.request
	return quarantiner.FingerprintOf([]byte(r.Method), []byte(r.Host), []byte(r.URL.RequestURI()), []byte(caller), x.body)
}

// breakOff notes that the answer of an attempt broke off.
func (a *attempt) breakOff(ctx context.Context, err error) {
	a.verdict, a.err = verdictBroken, err
	a.cut = context.Cause(ctx) == nil
}

// noteEnd finds out whether an attempt broke off because its upstream has ended. The
// request does not wait for that. An attempt that this entry ended as it heard of a new run may have
// reached that run: it tells nothing.
func (f *Forwarder) noteEnd(x *exchange, a *attempt) {
	if !a.cut {
		return
	}
	first, broke := a.placement.First, time.Now()
	go func() {
		if !f.presence.Gone(first.Address.String()) {
			return
		}
		f.log.Warn("upstream_ended", zap.String("request", x.call.ID), zap.Stringer("content", x.content), zap.String("upstream", first.ID),
			zap.Stringer("address", first.Address), zap.Duration("ran_ms", broke.Sub(a.sentAt)))
		f.quarantine.RecordCrash(time.Now(), quarantiner.Crash{Fingerprint: x.content, Incarnation: quarantiner.Incarnation(first.IncarnationID()), LastSent: a.sentAt, Ended: broke})
	}()
}

// event notes an event of the answer, and reports whether by it the request is proven to be one that
// its upstream can run.
func (a *attempt) event(now time.Time) bool {
	before := a.proven()
	if a.firstEvent.IsZero() {
		a.firstEvent, a.lastEvent = now, now
	}
	a.longestPause.Store(max(a.longestPause.Load(), int64(now.Sub(a.lastEvent))))
	a.lastEvent = now
	a.events.Add(1)
	return !before && a.proven()
}

func (a *attempt) proven() bool { return a.lastEvent.Sub(a.firstEvent) >= quarantiner.ProvenAfter }

// quarantined refuses requests that crash what runs them.
func (f *Forwarder) quarantined(x *exchange) *dispatcher.Refusal {
	now := time.Now()
	until, ok := f.quarantine.QuarantinedUntil(now, x.content)
	if !ok {
		return nil
	}
	return &dispatcher.Refusal{Reason: reasonQuarantined, RetryAfter: until.Sub(now)}
}

// isSuspect reports whether an attempt broke off that is not to be made again elsewhere, since
// upstreams have ended under the request before.
func (f *Forwarder) isSuspect(x *exchange, a *attempt) bool {
	return a.cut && f.quarantine.IsSuspect(x.content)
}
