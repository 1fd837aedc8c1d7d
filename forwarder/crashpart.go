package forwarder

import (
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/isolator"
)

// mayHaveCrashed reports whether a part of the prompt may have crashed the upstream, as the connection was lost
// before the response had gone on for isolator.SurvivalTime.
func (a *attempt) mayHaveCrashed() bool {
	return a.connectionLost && a.writingTime(time.Now()) < isolator.SurvivalTime
}

// maxSuspectWait is the time for which a request that an upstream has received before waits until it is known
// whether a suspected part of its prompt crashes upstreams.
const maxSuspectWait = 1500 * time.Millisecond

// admit returns a refusal if the request may not be sent to an upstream now because of parts of its prompt that may
// crash the upstream, and nil otherwise. It sets x.trial if the request is one that is tried.
func (f *Forwarder) admit(x *exchange) *dispatcher.Refusal {
	if x.trial != nil {
		return nil
	}
	now := time.Now()
	trial, refusal := f.isolator.Admit(now, x.parts, x.lostCount > 0)
	if refusal == nil {
		x.trial = trial
		if trial != nil {
			f.log.Warn("part_tried", zap.String("request", x.metadata.ID), zap.String("part", isolator.JoinParts(trial.Parts)))
		}
		return nil
	}
	if x.suspectedAt.IsZero() {
		x.suspectedAt = now
	}
	if !refusal.IsCertain && x.sentCount > 0 && now.Sub(x.suspectedAt) < maxSuspectWait {
		return &dispatcher.Refusal{Reason: reasonSuspected, RetryAfter: refusal.RetryAfter, Temporary: true, Deferrable: true}
	}
	if refusal.IsPrecaution {
		return nil // no upstream has crashed meanwhile, and the other request may be a long one
	}
	reason := reasonSuspected
	if refusal.IsCertain {
		reason = reasonQuarantined
	}
	f.log.Warn("part_refused", zap.String("request", x.metadata.ID), zap.String("part", isolator.JoinParts(refusal.Parts)), zap.Bool("certain", refusal.IsCertain),
		zap.Int("crashes", refusal.Crashes), zap.Duration("age_ms", now.Sub(refusal.FirstCrash)), zap.Duration("retry_after_ms", refusal.RetryAfter))
	return &dispatcher.Refusal{Reason: reason, RetryAfter: refusal.RetryAfter}
}

// endTrial ends the trial of a request, if there is one. IsBroken is true if the connection to the upstream was lost.
func (x *exchange) endTrial(isBroken bool) {
	if x.trial != nil {
		x.trial.End(time.Now(), isBroken)
		x.trial = nil
	}
}

// recordSurvival records that an upstream completed the response of an attempt. A response without a length or
// chunks counts only if the upstream turns out to run still, as the end of its connection may be that of the upstream.
func (f *Forwarder) recordSurvival(x *exchange, a *attempt) {
	begun := a.startedAt
	if x.isStream() {
		begun = a.firstEventAt
	}
	if begun.IsZero() || time.Since(begun) < isolator.MinAnswerTime {
		return
	}
	if !a.isDelimitedByClose() {
		f.isolator.RecordSurvival(time.Now(), x.parts, begun)
		return
	}
	first := a.placement.First
	if !f.isolator.HasCrashed(time.Now(), x.parts) {
		return
	}
	go func() {
		if !f.exitDetector.HasExited(first.Address.String(), f.healthPath(first.Service)) {
			f.isolator.RecordSurvival(time.Now(), x.parts, begun)
		}
	}()
}
