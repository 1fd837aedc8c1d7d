package server

import (
	"context"
	"time"

	"github.com/dghubble/sling"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
)

// renewParts is how often a hold is renewed within its lease.
const renewParts = 3

// holdOn notes a hold that is to be renewed until letGo; lost is called when
// the engine turns out not to have it.
func (s *Server) holdOn(engine, id string, lost func()) {
	s.do(func(c *control) {
		if c.holds[engine] == nil {
			c.holds[engine] = map[string]func(){}
		}
		c.holds[engine][id] = lost
	})
}

func (s *Server) letGo(engine, id string) {
	s.do(func(c *control) {
		delete(c.holds[engine], id)
		if len(c.holds[engine]) == 0 {
			delete(c.holds, engine)
		}
	})
}

// renew renews this entry's holds until the context ends.
func (s *Server) renew(ctx context.Context) {
	tick := time.NewTicker(s.settings.Timing.Lease / renewParts)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		held := map[string][]string{}
		s.do(func(c *control) {
			for engine, ids := range c.holds {
				for id := range ids {
					held[engine] = append(held[engine], id)
				}
			}
		})
		for engine, ids := range held {
			go s.renewHolds(engine, ids)
		}
	}
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
			if lost, held := c.holds[engine][id]; held {
				s.logs.keep.Warn("hold_lost", zap.String("engine", engine), zap.String("hold", id))
				lost()
			}
		}
	})
}
