package server

import (
	"context"
	"time"

	"github.com/dghubble/sling"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
)

const (
	// renewParts is how often a hold is renewed within its lease, and
	// lookParts how often the holds are looked through for that. A hold that
	// lives shorter than a part of its lease is never renewed at all.
	renewParts = 3
	lookParts  = 9
)

// holding is one hold of this entry's on an engine.
type holding struct {
	// renewed is when it was made or last renewed.
	renewed time.Time
	// lost is called when the engine turns out not to have it.
	lost func()
}

// registerHold notes a hold that is to be renewed until releaseHold; lost is called when
// the engine turns out not to have it.
func (s *Server) registerHold(engine, id string, lost func()) {
	s.do(func(c *control) {
		if c.holds[engine] == nil {
			c.holds[engine] = map[string]*holding{}
		}
		c.holds[engine][id] = &holding{renewed: time.Now(), lost: lost}
	})
}

func (s *Server) releaseHold(engine, id string) {
	s.do(func(c *control) {
		delete(c.holds[engine], id)
		if len(c.holds[engine]) == 0 {
			delete(c.holds, engine)
		}
	})
}

// renew renews this entry's holds until the context ends.
func (s *Server) renew(ctx context.Context) {
	tick := time.NewTicker(s.settings.Timing.Lease / lookParts)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		var due map[string][]string
		s.do(func(c *control) { due = c.dueHolds(time.Now()) })
		for engine, ids := range due {
			go s.renewHolds(engine, ids)
		}
	}
}

// dueHolds returns the holds to renew now, by engine, and counts them as
// renewed: one that can't be reached is tried again a part of a lease later.
func (c *control) dueHolds(now time.Time) map[string][]string {
	due := map[string][]string{}
	for engine, holds := range c.holds {
		for id, h := range holds {
			if now.Sub(h.renewed) < c.server.settings.Timing.Lease/renewParts {
				continue
			}
			h.renewed = now
			due[engine] = append(due[engine], id)
		}
	}
	return due
}

func (s *Server) renewHolds(engine string, ids []string) {
	u, ok := s.current.Load().engines[engine]
	if !ok {
		return
	}
	var gone api.EngineRenewal
	base := sling.New().Client(s.engines).Base("http://" + u.Address.String())
	_, err := base.Post(api.PathHolds + "/renew").BodyJSON(api.EngineRenewal{IDs: ids}).ReceiveSuccess(&gone)
	if err != nil {
		s.logs.keep.Warn("renew_failed", zap.String("engine", engine), zap.Int("holds", len(ids)), zap.Error(err))
		return
	}
	// A hold that was asked for and is not made yet, or was given back
	// meanwhile, is not lost: only one still wanted some time later is.
	if len(gone.IDs) > 0 {
		time.AfterFunc(engineCallTimeout, func() { s.lost(engine, u.Address.String(), gone.IDs) })
	}
}

// lost looks again at holds that the engine did not know, and ends the
// attempts of those that are really gone.
func (s *Server) lost(engine, address string, ids []string) {
	var gone api.EngineRenewal
	base := sling.New().Client(s.engines).Base("http://" + address)
	_, err := base.Post(api.PathHolds + "/renew").BodyJSON(api.EngineRenewal{IDs: ids}).ReceiveSuccess(&gone)
	if err != nil {
		return
	}
	s.do(func(c *control) {
		for _, id := range gone.IDs {
			if h, held := c.holds[engine][id]; held {
				s.logs.keep.Warn("hold_lost", zap.String("engine", engine), zap.String("hold", id))
				h.lost()
			}
		}
	})
}
