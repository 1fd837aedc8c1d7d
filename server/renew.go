package server

import (
	"context"
	"fmt"
	"time"

	"github.com/dghubble/sling"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
)

const (
	// A hold is renewed when a lease divided by renewalsPerLease has passed since its last renewal. Each
	// lease divided by renewalChecksPerLease, all holds are checked for whether that time has passed. A hold
	// released before then is never renewed.
	renewalsPerLease      = 3
	renewalChecksPerLease = 9
)

// ownHold is a hold of this entry: engine memory reserved for an attempt or a shard, under a lease.
type ownHold struct {
	// lastRenewed is the time at which the hold was registered or its last renewal was started.
	lastRenewed time.Time
	// onLost is called, on the control goroutine, when the engine replies to two renewals that it does not
	// have the hold.
	onLost func(holdLostError)
}

// holdLostError reports that an engine no longer has a hold on memory that the attempt needs.
type holdLostError struct{ Engine string }

func (e holdLostError) Error() string {
	return fmt.Sprintf("engine %s no longer has the hold", e.Engine)
}

// registerHold starts the periodic renewal of a hold at an engine, until unregisterHold. OnLost is called if
// the engine reports that it does not have the hold (see reportLostHolds).
func (s *Server) registerHold(engine, id string, onLost func(holdLostError)) {
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

// dueHolds returns the IDs of the holds to renew now, by engine, and sets their lastRenewed to now. A renewal
// that fails is therefore repeated only when the next one is due.
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
	var missing api.EngineHoldRenewal
	base := sling.New().Client(s.engineClient).Base("http://" + u.Address.String())
	_, err := base.Post(api.PathHolds + "/renew").BodyJSON(api.EngineHoldRenewal{IDs: ids}).ReceiveSuccess(&missing)
	if err != nil {
		s.logs.keep.Warn("renew_failed", zap.String("engine", engine), zap.Int("holds", len(ids)), zap.Error(err))
		return
	}
	// A missing hold may not have been made yet, or may have been released meanwhile. It is lost only if it
	// is still registered and missing after engineCallTimeout.
	if len(missing.IDs) > 0 {
		time.AfterFunc(engineCallTimeout, func() { s.reportLostHolds(engine, u.Address.String(), missing.IDs) })
	}
}

// reportLostHolds asks the engine again to renew the holds that it did not have, and calls onLost for those
// that are still missing and registered.
func (s *Server) reportLostHolds(engine, address string, ids []string) {
	var missing api.EngineHoldRenewal
	base := sling.New().Client(s.engineClient).Base("http://" + address)
	_, err := base.Post(api.PathHolds + "/renew").BodyJSON(api.EngineHoldRenewal{IDs: ids}).ReceiveSuccess(&missing)
	if err != nil {
		return
	}
	s.onControl(func(c *control) {
		for _, id := range missing.IDs {
			if h, held := c.ownHolds[engine][id]; held {
				s.logs.keep.Warn("hold_lost", zap.String("engine", engine), zap.String("hold", id))
				h.onLost(holdLostError{Engine: engine})
			}
		}
	})
}
