package server

import (
	"crypto/sha256"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/isolator"
	"github.com/sapphireramp/sapphireramp/sleeper"
)

const (
	// maxSuspectWait is the time for which a prompt that an engine has received before waits until it is known
	// whether something that it shares with others crashes engines, suspectPollInterval the time between two checks.
	maxSuspectWait      = 1500 * time.Millisecond
	suspectPollInterval = 50 * time.Millisecond
)

// prefixLengths are the lengths in bytes of the beginnings of prompts that stand for parts of them.
var prefixLengths = []int{1 << 10, 4 << 10, 16 << 10, 64 << 10, 256 << 10}

// partsOf returns what stands for the parts of a prompt that others may share: its adapter, if it has one, and those
// beginnings with the length of one of prefixLengths that are shorter than the prompt. Calls have no parts, as what
// the arguments of calls of a service share is not known.
func partsOf(organisation string, r *api.CompletionRequest) []isolator.Part {
	var ids []string
	if r.Adapter != "" {
		ids = append(ids, "adapter "+r.Model+" "+r.Adapter)
	}
	h, hashed := sha256.New(), 0
	for _, length := range prefixLengths {
		if len(r.Prompt) <= length {
			break
		}
		_, _ = h.Write([]byte(r.Prompt[hashed:length])) // writing to a hash never fails
		hashed = length
		ids = append(ids, fmt.Sprintf("prefix %s %x", r.Model, h.Sum(nil)))
	}
	return isolator.PartsOf(organisation, ids)
}

// admitParts returns a failure if the prompt may not be sent to an engine because of what it shares with prompts that
// crashed engines, and nil otherwise. A prompt that was sent before waits until that is known, for maxSuspectWait at
// most. It sets x.trial if the prompt is one that is tried.
func (x *exchange) admitParts() *failure {
	for {
		now := time.Now()
		trial, refusal := x.server.isolator.Admit(now, x.parts, x.lostCount > 0)
		if refusal == nil {
			x.trial = trial
			if trial != nil {
				x.server.logs.route.Warn("part_tried", zap.String("request", x.id), zap.String("part", isolator.JoinParts(trial.Parts)))
			}
			return nil
		}
		if x.heldSince.IsZero() {
			x.heldSince = now
		}
		if !refusal.IsCertain && x.lostCount > 0 && now.Sub(x.heldSince) < maxSuspectWait && sleeper.Sleep(x.ctx, suspectPollInterval) {
			continue
		}
		if refusal.IsPrecaution && x.ctx.Err() == nil {
			return nil // no upstream has crashed meanwhile, and the other request may be a long one
		}
		x.server.logs.route.Warn("part_refused", zap.String("request", x.id), zap.String("part", isolator.JoinParts(refusal.Parts)), zap.Bool("certain", refusal.IsCertain),
			zap.Int("crashes", refusal.Crashes), zap.Duration("age_ms", now.Sub(refusal.FirstCrash)), zap.Duration("retry_after_ms", refusal.RetryAfter))
		f := newFailure(api.CodeQuarantined, "engines crashed one after the other under prompts that share their beginning or adapter with this one")
		f.retryAfter = refusal.RetryAfter
		return f
	}
}

// endTrial ends the trial of a prompt, if there is one.
func (x *exchange) endTrial() {
	if x.trial != nil {
		x.trial.End(time.Now(), x.interrupted)
		x.trial = nil
	}
}

// recordSurvival records that an engine has answered a prompt whose answer began at the given time, if it has gone on
// for long enough.
func (x *exchange) recordSurvival(begun time.Time, minTime time.Duration) bool {
	now := time.Now()
	if begun.IsZero() || now.Sub(begun) < minTime {
		return false
	}
	x.server.isolator.RecordSurvival(now, x.parts, begun)
	return true
}
