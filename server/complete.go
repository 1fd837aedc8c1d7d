package server

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/isolator"
	"github.com/sapphireramp/sapphireramp/keeper"
	"github.com/sapphireramp/sapphireramp/placer"
	"github.com/sapphireramp/sapphireramp/relayer"
	"github.com/sapphireramp/sapphireramp/router"
	"github.com/sapphireramp/sapphireramp/sleeper"
)

const (
	// maxAttempts is the maximum number of attempts per request, whichever upstreams they are sent to. For a
	// prompt, it is that of attempts in a row that bring the answer no further.
	maxAttempts = 4
	// maxKeepersAsked is the maximum number of engines whose keepers are asked for memory before the prompt
	// pauses and new engines are chosen.
	maxKeepersAsked = 3
	// A prompt that needs a group of engines is refused if none could be reserved within the prompt's
	// remaining time divided by groupWaitDivisor, or by its deadline if its answer has begun. Between two
	// tries to reserve a group, it waits for a random time of one to two minGroupRetryInterval.
	groupWaitDivisor      = 4
	minGroupRetryInterval = 80 * time.Millisecond
)

// completion holds the state of one prompt across its attempts.
type completion struct {
	x *exchange
	// relayer drops repeated chunks and those of other requests, and counts the delivered tokens.
	relayer *relayer.Relayer
	random  *rand.Rand
	// text collects the answer of a prompt that is not streamed.
	text strings.Builder
	// usage is the token count that the engine sent with the last chunk; nil before it.
	usage *api.CompletionUsage
	// triedEngines names the engines that attempts were sent to. They are not chosen again until every
	// engine that serves the prompt has been tried.
	triedEngines []string
	// version is the model version that generated the answer so far, which later attempts must use too;
	// empty before the first chunk.
	version string
	// attempts is the number of attempts made, fruitlessAttempts that of the last ones in a row that brought
	// the answer no further.
	attempts, fruitlessAttempts int
	// overShare is true if the last keeper that was asked refused because the organisation is over its share.
	overShare bool
	// grantedBy names the keeper that last answered; empty if the last one that was asked did not.
	grantedBy string
	// answerStartedAt is the time of the last attempt's first accepted chunk, zero before it. After an
	// attempt without any, it is the time at which the attempt ended.
	answerStartedAt time.Time
}

// complete places a prompt on an engine and relays the answer. If the engine fails, it resumes the answer on
// another engine, as long as canRetry permits. The failure is nil once the whole answer has been written.
func (s *Server) complete(x *exchange) *failure {
	x.body = nil // only the decoded prompt is needed from here on
	x.fingerprint, x.parts = fingerprintOf(x), partsOf(x.organisation.Name, x.completion)
	s.isolator.RecordRequest(x.parts)
	c := &completion{x: x, relayer: relayer.New(x.id), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	if x.completion.Seed == 0 {
		x.completion.Seed = c.random.Uint64()>>1 | 1
	}
	defer func() { s.metrics.droppedChunks.Inc(int64(c.droppedChunks())) }()
	for {
		if f := cmp.Or(x.checkQuarantine(), x.checkUnavailable()); f != nil {
			return f
		}
		if f := x.admitParts(); f != nil {
			return f
		}
		delivered := c.relayer.DeliveredTokens()
		f := c.attempt()
		x.endTrial()
		if c.relayer.DeliveredTokens() > delivered {
			c.fruitlessAttempts = 0
		}
		if f == nil {
			s.quarantine.RecordSuccess(time.Now(), x.fingerprint)
			x.recordSurvival(c.answerStartedAt, isolator.MinAnswerTime)
			return c.finishAnswer()
		}
		if !c.canRetry(f) {
			return c.finalFailure(f)
		}
		s.metrics.resumedAttempts.Inc(1)
		s.logs.route.Info("retry", zap.String("request", x.id), zap.Int("attempt", c.attempts),
			zap.Int("delivered", c.relayer.DeliveredTokens()), zap.String("reason", f.Error()))
	}
}

func (c *completion) droppedChunks() int {
	n := c.relayer.Undelivered()
	return n.Foreign + n.Stale + n.Repeated
}

// canRetry reports whether a prompt whose last attempt ended with f may be sent again: an upstream failed,
// the request's context has not ended, fewer than maxAttempts attempts in a row were fruitless, the prompt is not
// suspected of crashing engines, and it is repeatable or no attempt of it can have started.
func (c *completion) canRetry(f *failure) bool {
	x := c.x
	if f.code != api.CodeUpstreamFailed || c.fruitlessAttempts >= maxAttempts || x.ctx.Err() != nil {
		return false
	}
	if x.isCrashSuspect() {
		return false
	}
	// A request that may run at most once is not sent again after an attempt that may have started.
	return x.repeatable || x.unresolvedAttempts == 0
}

// finalFailure returns the failure to send to the caller, given that of the last attempt. Its code is
// api.CodeDeadlineExceeded if the deadline has passed; otherwise it is f, with a Retry-After if an upstream
// failed.
func (c *completion) finalFailure(f *failure) *failure {
	x := c.x
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) || x.remaining() <= 0 {
		return &failure{code: api.CodeDeadlineExceeded, message: "the time limit has passed", retryAfter: x.server.retryAfter(), err: f.err}
	}
	if f.retryAfter == 0 && f.code == api.CodeUpstreamFailed {
		f.retryAfter = x.server.retryAfter()
	}
	return f
}

// attempt places the prompt on one engine, or on a group if no single engine can hold it, and relays the
// answer. It returns nil once the answer is complete.
func (c *completion) attempt() *failure {
	needs := c.requirements()
	if c.needsGroup(needs) {
		return c.attemptGroup(needs)
	}
	engine, attemptID, f := c.placePrompt(needs)
	if f != nil {
		return f
	}
	return c.runAttempt(c.x.ctx, engineAttempt{engine: engine, attemptID: attemptID, keeper: c.grantedBy})
}

// hasBegun reports whether the answer has begun. Its caller can't do better elsewhere then: the answer would begin
// anew. So it is given up only if no engine can end it in time, or if nothing brings it further.
func (c *completion) hasBegun() bool { return c.relayer.DeliveredTokens() > 0 }

func (c *completion) requirements() router.Requirements {
	r := c.x.completion
	prompt := api.EstimatePromptTokens(len(r.Prompt))
	return router.Requirements{
		Model: r.Model, Adapter: r.Adapter, Version: c.version, Class: c.class(),
		PrefillTokens: prompt + c.relayer.DeliveredTokens(), MemoryTokens: prompt + r.MaxTokens, MaxAnswerTokens: r.MaxTokens, Exclude: c.triedEngines,
	}
}

// class returns the length class of the prompt, from which its priority at engines follows. If ShortWeight in
// the document's policy is 0, prompts have no priorities, and the class is router.Longest for all.
func (c *completion) class() router.LengthClass {
	policy := c.x.view.accepted.Document.Policy
	if policy.ShortWeight == 0 {
		return router.Longest
	}
	return router.LengthClassOf(api.EstimatePromptTokens(len(c.x.completion.Prompt)), policy.ShortTokens)
}

// needsGroup reports whether every engine that the document lists for the model has too little memory, even
// when empty, for the prompt and its longest answer.
func (c *completion) needsGroup(needs router.Requirements) bool {
	for _, e := range c.x.view.accepted.Document.Engines {
		if e.Model == needs.Model && e.MemoryTokens >= needs.MemoryTokens {
			return false
		}
	}
	return true
}

// placePrompt asks the keepers of candidate engines in turn until one grants memory for an attempt, and
// returns that engine and the new attempt's ID. It returns a failure if there is no engine, if all would
// prefill too late, or if none had free memory in time.
func (c *completion) placePrompt(needs router.Requirements) (*router.Engine, string, *failure) {
	x := c.x
	p := placer.New(time.Now(), x.remaining(), c.random)
	if c.hasBegun() {
		p.WaitUntil(x.deadline)
	}
	attemptID := newID()
	for {
		step := p.Next(time.Now())
		switch step.Kind {
		case placer.Choose:
			p.SetCandidates(c.chooseEngines(&needs))
		case placer.Ask:
			p.RecordReply(c.askKeeper(step.Candidate, needs, attemptID))
		case placer.Pause:
			if !sleeper.Sleep(x.ctx, step.Pause) {
				return nil, "", newFailure(api.CodeOverloaded, "no engine was free in time")
			}
		case placer.Placed:
			return step.Candidate.Engine, attemptID, nil
		default:
			return nil, "", c.placementFailure(step.Kind, needs)
		}
	}
}

// chooseEngines returns the engines whose keepers to ask, best first. If every engine has been tried, it
// clears triedEngines and needs.Exclude and chooses from all, as a failed engine may have recovered.
func (c *completion) chooseEngines(needs *router.Requirements) []router.Candidate {
	index := c.x.server.current.Load().engineIndex
	candidates := index.Choose(time.Now(), router.Predicted, *needs, maxKeepersAsked, c.random)
	if len(candidates) == 0 && len(c.triedEngines) > 0 {
		needs.Exclude, c.triedEngines = nil, nil
		candidates = index.Choose(time.Now(), router.Predicted, *needs, maxKeepersAsked, c.random)
	}
	return candidates
}

func (c *completion) askKeeper(candidate router.Candidate, needs router.Requirements, attemptID string) keeper.GrantReply {
	x := c.x
	answer, byKeeper := x.server.askKeeper(x.ctx, candidate.Engine, api.AskArgs{
		Engine: candidate.Engine.Name, Model: needs.Model, AttemptID: attemptID, Class: int(needs.Class),
		PrefillTokens: needs.PrefillTokens, MemoryTokens: needs.MemoryTokens, Remaining: x.remaining(),
		Organisation: x.organisation.Name, Rank: x.organisation.Rank, SentBefore: x.unresolvedAttempts > 0 || c.hasBegun(),
	})
	c.grantedBy = ""
	if byKeeper {
		c.grantedBy = candidate.Engine.Keeper
	}
	c.overShare = answer.Reason == keeper.OverShare
	x.logRoute(candidate, answer, needs)
	return answer
}

// placementFailure returns the failure for a prompt for which no engine could be found.
func (c *completion) placementFailure(kind placer.StepKind, needs router.Requirements) *failure {
	f := newFailure(api.CodeNoUpstream, "no engine serves model %s now", needs.Model)
	switch kind {
	case placer.NoRoom:
		if c.overShare {
			f = newFailure(api.CodeOverloaded, "engines of model %s are short of room, which is left to other organisations now", needs.Model)
			break
		}
		f = newFailure(api.CodeOverloaded, "no engine of model %s can accept the prompt now", needs.Model)
	case placer.TooLate:
		f = newFailure(api.CodeNoUpstream, "no engine of model %s can answer within the time limit now", needs.Model)
	}
	f.retryAfter = c.x.server.retryAfter()
	return f
}

func (x *exchange) logRoute(candidate router.Candidate, answer keeper.GrantReply, needs router.Requirements) {
	x.server.logs.route.Info("route", zap.String("request", x.id), zap.String("organisation", x.organisation.Name),
		zap.String("model", needs.Model), zap.Int("tokens", needs.PrefillTokens), zap.String("engine", candidate.Engine.Name),
		zap.String("keeper", candidate.Engine.Keeper), zap.Bool("granted", answer.Granted), zap.String("reason", string(answer.Reason)),
		zap.Duration("predicted_ms", candidate.PredictedTime), zap.Duration("wait_ms", answer.QueueWait))
}

// finishAnswer ends the response to the caller once the whole answer has been received from the engine: it
// writes the end marker of a stream, or else the collected answer as one JSON object. It always returns nil.
func (c *completion) finishAnswer() *failure {
	x := c.x
	if x.completion.Stream {
		x.writeDone()
		return nil
	}
	h := x.writer.Header()
	h.Set(api.HeaderOutcome, string(api.OutcomeAnswered))
	h.Set(api.HeaderRequestID, x.id)
	writeJSON(x.writer, api.CompletionChunk{
		ID: x.id, Usage: c.usage,
		Choices: []api.CompletionChoice{{Text: c.text.String(), Tokens: c.relayer.DeliveredTokens(), FinishReason: "stop"}},
	})
	return nil
}

// deliver writes the text of a chunk to the caller as an event, or appends it to c.text if the caller did
// not ask for a stream. Offset is the number of answer tokens before the chunk. Usage is the engine's token
// count, nil unless the chunk is the last.
func (c *completion) deliver(offset int, text string, usage *api.CompletionUsage) {
	x := c.x
	c.usage = usage
	if !x.answerBegun {
		x.server.metrics.firstToken.RecordDuration(time.Since(x.arrived))
	}
	if !x.completion.Stream {
		c.text.WriteString(text)
		return
	}
	choice := api.CompletionChoice{Text: text, Tokens: c.relayer.DeliveredTokens() - offset}
	if usage != nil {
		choice.FinishReason = "stop"
	}
	x.writeEvent(api.CompletionChunk{ID: x.id, Offset: offset, Choices: []api.CompletionChoice{choice}, Usage: usage})
}
