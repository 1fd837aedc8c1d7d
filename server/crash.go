package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/quarantiner"
)

// contentOf names what a completion asks for, whatever id it has.
func contentOf(x *exchange) quarantiner.Content {
	r := x.completion
	return quarantiner.ContentOf([]byte(x.organisation.Name), []byte(r.Model), []byte(r.Adapter), []byte(r.Prompt))
}

// quarantined refuses a prompt that crashes the engines that run it.
func (c *completion) quarantined() *failure {
	now := time.Now()
	until, ok := c.x.server.quarantine.Until(now, c.content)
	if !ok {
		return nil
	}
	f := fail(api.CodeQuarantined, "engines ended one after the other that ran this prompt")
	f.retryAfter = until.Sub(now)
	return f
}

// noteEnd finds out whether an attempt that broke off did so because its engine has ended. The
// request does not wait for that. Ctx is the attempt's: one that this entry ended tells nothing.
func (c *completion) noteEnd(ctx context.Context, r run, sent time.Time) {
	if context.Cause(ctx) != nil {
		return
	}
	c.cut = true
	s, content, broke, began := c.x.server, c.content, time.Now(), c.began
	go func() {
		if !s.presence.Gone(r.engine.Address) {
			return
		}
		s.logs.route.Warn("engine_ended", zap.String("request", c.x.id), zap.Stringer("content", content), zap.String("engine", r.engine.Name),
			zap.Duration("ran_ms", broke.Sub(sent)))
		if !began.IsZero() && broke.Sub(began) >= quarantiner.ProvenTime {
			s.quarantine.Answered(broke, content)
			return
		}
		run := quarantiner.Run(quarantiner.ContentOf([]byte(r.engine.Name)))
		s.quarantine.Struck(time.Now(), quarantiner.Strike{Content: content, Run: run, Sent: sent, Ended: broke})
	}()
}

// logQuarantined logs prompts that are refused from now on.
func (s *Server) logQuarantined(now time.Time, verdicts []quarantiner.Verdict, source string) {
	for _, v := range verdicts {
		s.logs.route.Warn("quarantined", v.Fields(now, source)...)
	}
}
