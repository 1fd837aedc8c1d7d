package server

import (
	"context"
	"time"

	"github.com/dghubble/sling"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
)

const (
	// renewalsPerLease is how often a hold is renewed within its lease, and
	// lookParts how often the holds are looked through for that. A hold that
	// lives shorter than a part of its lease is never renewed at all.
	renewalsPerLease      = 3
	renewalChecksPerLease = 9
)

// ownHold is one hold of this entry's on an engine.
type ownHold struct {
	// lastRenewed is when it was made or last renewed.
	lastRenewed time.Time
	// onLost is called when the engine turns out not to have it.
	onLost func()
}

// registerHold notes a hold that is to be renewed until releaseHold; lost is called when
// the engine turns out not to have it.
func (s *Server) registerHold(engine, id string, onLost func()) {
	s.onControl(func(c *control) {
		if c.ownHolds[engine] == nil {
			c.ownHolds[engine] = map[string]*ownHold{}
		}
		c.ownHolds[engine][id] = &ownHold{lastRenewed: time.Now(), onLost: onLost}
	})
}

func (s *Server) unregisterHold(engine, id string) {
	s.onControl(func(c *control) {
		delete(c.ownHolds[engine], id)
		if len(c.ownHolds[engine]) == 0 {
			delete(c.ownHolds, engine)
		}
	})
}

// runRenewals renews this entry's holds until the context ends.
func (s *Server) runRenewals(ctx context.Context) {
	tick := time.NewTicker(s.settings.Timing.Lease / renewalChecksPerLease)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		var due map[string][]string
		s.onControl(func(c *control) { due = c.dueHolds(time.Now()) })
		for engine, ids := range due {
			go s.renewHolds(engine, ids)
		}
	}
}

// dueHolds returns the holds to renew now, by engine, and counts them as
// renewed: one that can't be reached is tried again a part of a lease later.
func (c *control) dueHolds(now time.Time) map[string][]string {
	due := map[string][]string{}
	for engine, holds := range c.ownHolds {
		for id, h := range holds {
			if now.Sub(h.lastRenewed) < c.server.settings.Timing.Lease/renewalsPerLease {
				continue
			}
			h.lastRenewed = now
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
	var missing api.EngineRenewal
	base := sling.New().Client(s.engineClient).Base("http://" + u.Address.String())
	_, err := base.Post(api.PathHolds + "/renew").BodyJSON(api.EngineRenewal{IDs: ids}).ReceiveSuccess(&missing)
	if err != nil {
		s.logs.keep.Warn("renew_failed", zap.String("engine", engine), zap.Int("holds", len(ids)), zap.Error(err))
		return
	}
	// A hold that was asked for and is not made yet, or was given back
	// meanwhile, is not lost: only one still wanted some time later is.
	if len(missing.IDs) > 0 {
		time.AfterFunc(engineCallTimeout, func() { s.reportLostHolds(engine, u.Address.String(), missing.IDs) })
	}
}

// reportLostHolds looks again at holds that the engine did not know, and ends the
// attempts of those that are really gone.
func (s *Server) reportLostHolds(engine, address string, ids []string) {
	var missing api.EngineRenewal
	base := sling.New().Client(s.engineClient).Base("http://" + address)
	_, err := base.Post(api.PathHolds + "/renew").BodyJSON(api.EngineRenewal{IDs: ids}).ReceiveSuccess(&missing)
	if err != nil {
		return
	}
	s.onControl(func(c *control) {
		for _, id := range missing.IDs {
			if h, held := c.ownHolds[engine][id]; held {
				s.logs.keep.Warn("hold_lost", zap.String("engine", engine), zap.String("hold", id))
				h.onLost()
			}
		}
	})
}
