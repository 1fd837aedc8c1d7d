package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/keeper"
	"github.com/sapphireramp/sapphireramp/placer"
	"github.com/sapphireramp/sapphireramp/relayer"
	"github.com/sapphireramp/sapphireramp/router"
	"github.com/sapphireramp/sapphireramp/sleeper"
)

const (
	// maxAttempts bounds the engines that one request is sent to.
	maxAttempts = 4
	// maxAsked is how many keepers are asked in one round of placement.
	maxAsked = 3
	// groupPatience is the part of a request's remaining time that it may
	// wait for a group of engines, and groupPause the least pause between
	// tries. Past it the request is given up and refused at once.
	groupPatience = 4
	groupPause    = 80 * time.Millisecond
)

// completion is the work on one prompt.
type completion struct {
	x        *exchange
	relayer  *relayer.Relayer
	random   *rand.Rand
	text     strings.Builder
	usage    *api.CompletionUsage
	tried    []string
	version  string
	attempts int
	// began is when the last attempt's answer did; zero before.
	began time.Time
}

// complete places a prompt and relays its answer, resuming it elsewhere where
// an engine fails.
func (s *Server) complete(x *exchange) *failure {
	x.body = nil // the decoded prompt is enough from here on
	x.content = contentOf(x)
	c := &completion{x: x, relayer: relayer.New(x.id), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	if x.completion.Seed == 0 {
		x.completion.Seed = c.random.Uint64()>>1 | 1
	}
	defer func() { s.metrics.dropped.Inc(int64(c.dropped())) }()
	for {
		if f := x.quarantined(); f != nil {
			return f
		}
		f := c.attempt()
		if f == nil {
			s.quarantine.RecordSuccess(time.Now(), x.content)
			return c.finish()
		}
		if !c.mayRetry(f) {
			return c.giveUp(f)
		}
		s.metrics.resumed.Inc(1)
		s.logs.route.Info("retry", zap.String("request", x.id), zap.Int("attempt", c.attempts),
			zap.Int("delivered", c.relayer.Delivered()), zap.String("reason", f.Error()))
	}
}

func (c *completion) dropped() int {
	n := c.relayer.Counts()
	return n.Foreign + n.Stale + n.Repeated
}

// mayRetry reports whether another attempt is allowed and of use.
func (c *completion) mayRetry(f *failure) bool {
	x := c.x
	if f.code != api.CodeUpstreamFailed || c.attempts >= maxAttempts || x.ctx.Err() != nil {
		return false
	}
	if x.isSuspect() {
		return false
	}
	// What may have run is not run again, unless the request is repeatable.
	return x.repeatable || x.pending == 0
}

// giveUp makes the last failure the answer, at once.
func (c *completion) giveUp(f *failure) *failure {
	x := c.x
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) || x.left() <= 0 {
		return &failure{code: api.CodeDeadline, message: "the time limit has passed", retryAfter: x.server.retryAfter(), err: f.err}
	}
	if f.retryAfter == 0 && f.code == api.CodeUpstreamFailed {
		f.retryAfter = x.server.retryAfter()
	}
	return f
}

// attempt places the prompt once and relays what comes. It returns nil when
// the answer is whole.
func (c *completion) attempt() *failure {
	w := c.requirements()
	if c.needsGroup(w) {
		return c.attemptGroup(w)
	}
	engine, attemptID, f := c.place(w)
	if f != nil {
		return f
	}
	return c.run(c.x.ctx, run{engine: engine, attemptID: attemptID})
}

func (c *completion) requirements() router.Requirements {
	r := c.x.completion
	prompt := api.PromptTokens(len(r.Prompt))
	return router.Requirements{
		Model: r.Model, Adapter: r.Adapter, Version: c.version, Class: c.class(),
		PrefillTokens: prompt + c.relayer.Delivered(), MemoryTokens: prompt + r.MaxTokens, AnswerTokens: r.MaxTokens, Avoid: c.tried,
	}
}

// class is what the engines schedule the prompt by.
func (c *completion) class() router.Class {
	policy := c.x.view.accepted.Document.Policy
	if policy.ShortWeight == 0 {
		return router.Longest
	}
	return router.ClassOf(api.PromptTokens(len(c.x.completion.Prompt)), policy.ShortTokens)
}

// needsGroup reports whether no single engine of the model holds the prompt.
func (c *completion) needsGroup(w router.Requirements) bool {
	for _, e := range c.x.view.accepted.Document.Engines {
		if e.Model == w.Model && e.MemoryTokens >= w.MemoryTokens {
			return false
		}
	}
	return true
}

// place finds an engine whose keeper grants the attempt.
func (c *completion) place(w router.Requirements) (*router.Engine, string, *failure) {
	x := c.x
	p := placer.New(time.Now(), x.left(), c.random)
	attemptID := newID()
	for {
		step := p.Next(time.Now())
		switch step.Kind {
		case placer.Choose:
			p.Round(c.choose(&w))
		case placer.Ask:
			p.Answered(c.ask(step.Choice, w, attemptID))
		case placer.Pause:
			if !sleeper.Sleep(x.ctx, step.Pause) {
				return nil, "", fail(api.CodeOverloaded, "no engine was free in time")
			}
		case placer.Placed:
			return step.Choice.Engine, attemptID, nil
		default:
			return nil, "", c.notPlaced(step.Kind, w)
		}
	}
}

// choose orders the engines to ask. When every engine failed the request
// once, all are tried again, as one may be back.
func (c *completion) choose(w *router.Requirements) []router.Choice {
	board := c.x.server.current.Load().board
	choices := board.Choose(time.Now(), router.Predicted, *w, maxAsked, c.random)
	if len(choices) == 0 && len(c.tried) > 0 {
		w.Avoid, c.tried = nil, nil
		choices = board.Choose(time.Now(), router.Predicted, *w, maxAsked, c.random)
	}
	return choices
}

func (c *completion) ask(choice router.Choice, w router.Requirements, attemptID string) keeper.Answer {
	x := c.x
	answer := x.server.ask(x.ctx, choice.Engine, api.AskArgs{
		Engine: choice.Engine.Name, Model: w.Model, AttemptID: attemptID, Class: int(w.Class),
		PrefillTokens: w.PrefillTokens, MemoryTokens: w.MemoryTokens, Remaining: x.left(),
	})
	x.logRoute(choice, answer, w)
	return answer
}

// notPlaced is the refusal of a prompt that was given up.
func (c *completion) notPlaced(kind placer.Kind, w router.Requirements) *failure {
	f := fail(api.CodeNoUpstream, "no engine serves model %s now", w.Model)
	switch kind {
	case placer.NoRoom:
		f = fail(api.CodeOverloaded, "no engine of model %s can take the prompt now", w.Model)
	case placer.TooLate:
		f = fail(api.CodeNoUpstream, "no engine of model %s can answer within the time limit now", w.Model)
	}
	f.retryAfter = c.x.server.retryAfter()
	return f
}

func (x *exchange) logRoute(choice router.Choice, answer keeper.Answer, w router.Requirements) {
	x.server.logs.route.Info("route", zap.String("request", x.id), zap.String("organisation", x.organisation.Name),
		zap.String("model", w.Model), zap.Int("tokens", w.PrefillTokens), zap.String("engine", choice.Engine.Name),
		zap.String("keeper", choice.Engine.Keeper), zap.Bool("granted", answer.Granted), zap.String("reason", string(answer.Reason)),
		zap.Duration("predicted_ms", choice.Predicted), zap.Duration("wait_ms", answer.Wait))
}

// finish ends a whole answer.
func (c *completion) finish() *failure {
	x := c.x
	if x.completion.Stream {
		x.sendDone()
		return nil
	}
	h := x.writer.Header()
	h.Set(api.HeaderOutcome, string(api.Answered))
	h.Set(api.HeaderRequestID, x.id)
	writeJSON(x.writer, api.CompletionChunk{
		ID: x.id, Usage: c.usage,
		Choices: []api.CompletionChoice{{Text: c.text.String(), Tokens: c.relayer.Delivered(), FinishReason: "stop"}},
	})
	return nil
}

// pass gives text of the answer to the caller.
func (c *completion) pass(offset int, text string, usage *api.CompletionUsage) {
	x := c.x
	c.usage = usage
	if !x.begun {
		x.server.metrics.firstToken.RecordDuration(time.Since(x.arrived))
	}
	if !x.completion.Stream {
		c.text.WriteString(text)
		return
	}
	choice := api.CompletionChoice{Text: text, Tokens: c.relayer.Delivered() - offset}
	if usage != nil {
		choice.FinishReason = "stop"
	}
	x.sendEvent(api.CompletionChunk{ID: x.id, Offset: offset, Choices: []api.CompletionChoice{choice}, Usage: usage})
}
