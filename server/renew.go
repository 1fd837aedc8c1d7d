package server

import (
	"context"
	"fmt"
	"net/http"
	"slices"
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
	// confirmedAt is the time at which the hold was registered or the last renewal was started that the
	// engine confirmed. hasFailed is true if a renewal has failed since.
	confirmedAt time.Time
	hasFailed   bool
	// isShard is true for the hold of a shard, of which only renewals show that the engine has it. An engine
	// that streams an attempt ends the stream when it loses the hold.
	isShard bool
	// onLost is called, on the control goroutine, when the engine replies to two renewals that it does not
	// have the hold, and for a shard when its lease has passed since confirmedAt and a renewal failed.
	onLost func(holdLostError)
	// organisation and rank are those of the request that the hold is for. keeper names the engine's keeper that was
	// told of them, empty if none was.
	organisation string
	rank         int
	keeper       string
	// isLost is true once onLost was called.
	isLost bool
}

// holdLostError reports that an engine no longer has a hold on memory that the attempt needs.
type holdLostError struct {
	Engine string
	// Unconfirmed is the time since the engine last confirmed a hold whose lease has expired; 0 if the engine
	// replied that it does not have the hold.
	Unconfirmed time.Duration
}

func (e holdLostError) Error() string {
	if e.Unconfirmed > 0 {
		return fmt.Sprintf("engine %s no longer has the hold: its lease expired, last confirmed %s ago", e.Engine, e.Unconfirmed.Round(time.Millisecond))
	}
	return fmt.Sprintf("engine %s no longer has the hold", e.Engine)
}

// registerHold starts the periodic renewal of a hold at an engine, until unregisterHold. The caller sets
// isShard, onLost, organisation, rank and keeper.
func (s *Server) registerHold(engine, id string, hold ownHold) {
	hold.lastRenewed = time.Now()
	hold.confirmedAt = hold.lastRenewed
	s.onControl(func(c *control) {
		if c.ownHolds[engine] == nil {
			c.ownHolds[engine] = map[string]*ownHold{}
		}
		c.ownHolds[engine][id] = &hold
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
		s.onControl(func(c *control) {
			now := time.Now()
			c.loseExpiredShards(now)
			due = c.dueHolds(now)
		})
		for engine, ids := range due {
			go s.renewHolds(engine, ids)
		}
		s.describeHolds()
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

// loseExpiredShards reports the shards as lost that their engine has not confirmed for a lease: its keeper may have
// freed them, or the engine may have ended. If this entry was suspended, they are renewed first.
func (c *control) loseExpiredShards(now time.Time) {
	for engine, holds := range c.ownHolds {
		for id, h := range holds {
			if age := now.Sub(h.confirmedAt); h.isShard && h.hasFailed && age >= c.server.settings.Timing.Lease {
				c.loseHold(id, h, holdLostError{Engine: engine, Unconfirmed: age})
			}
		}
	}
}

// loseHold calls onLost of a hold, unless it was called before.
func (c *control) loseHold(id string, h *ownHold, lost holdLostError) {
	if h.isLost {
		return
	}
	h.isLost = true
	c.server.logs.keep.Warn("hold_lost", zap.String("engine", lost.Engine), zap.String("hold", id), zap.Duration("unconfirmed_ms", lost.Unconfirmed))
	h.onLost(lost)
}

// recordConfirmed records that an engine confirmed the holds that are not missing, in reply to a renewal that
// was started at the given time.
func (c *control) recordConfirmed(engine string, ids, missing []string, startedAt time.Time) {
	for _, id := range ids {
		if h, ok := c.ownHolds[engine][id]; ok && !slices.Contains(missing, id) && startedAt.After(h.confirmedAt) {
			h.confirmedAt, h.hasFailed = startedAt, false
		}
	}
}

// recordFailedRenewal records that a renewal failed. It ignores one that failed because this process was suspended.
func (c *control) recordFailedRenewal(now time.Time, engine string, ids []string) {
	if c.hasJustResumed(now) {
		return
	}
	for _, id := range ids {
		if h, ok := c.ownHolds[engine][id]; ok {
			h.hasFailed = true
		}
	}
}

// renewHolds renews holds at an engine and records the result. An engine that is no longer listed is not asked.
func (s *Server) renewHolds(engine string, ids []string) {
	u, ok := s.current.Load().engines[engine]
	if !ok {
		s.onControl(func(c *control) { c.recordFailedRenewal(time.Now(), engine, ids) })
		return
	}
	startedAt := time.Now()
	missing, err := s.requestRenewal(engine, u.Address.String(), ids)
	if err != nil {
		s.onControl(func(c *control) { c.recordFailedRenewal(time.Now(), engine, ids) })
		return
	}
	s.onControl(func(c *control) { c.recordConfirmed(engine, ids, missing, startedAt) })
	// A missing hold may not have been made yet, or may have been released meanwhile. It is lost only if it
	// is still registered and missing after engineCallTimeout.
	if len(missing) > 0 {
		time.AfterFunc(engineCallTimeout, func() { s.reportLostHolds(engine, u.Address.String(), missing) })
	}
}

// requestRenewal asks an engine to renew holds, and returns those that it does not have. It logs an error.
func (s *Server) requestRenewal(engine, address string, ids []string) (missing []string, err error) {
	var reply api.EngineHoldRenewal
	base := sling.New().Client(s.engineClient).Base("http://" + address)
	response, err := base.Post(api.PathHolds + "/renew").BodyJSON(api.EngineHoldRenewal{IDs: ids}).ReceiveSuccess(&reply)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	if err != nil {
		s.logs.keep.Warn("renew_failed", zap.String("engine", engine), zap.Int("holds", len(ids)), zap.Error(err))
		return nil, fmt.Errorf("renew holds: %w", err)
	}
	return reply.IDs, nil
}

// reportLostHolds asks the engine again to renew the holds that it did not have, and calls onLost for those
// that are still missing and registered.
func (s *Server) reportLostHolds(engine, address string, ids []string) {
	missing, err := s.requestRenewal(engine, address, ids)
	if err != nil {
		return // logged; the next renewal finds out
	}
	s.onControl(func(c *control) {
		for _, id := range missing {
			if h, held := c.ownHolds[engine][id]; held {
				c.loseHold(id, h, holdLostError{Engine: engine})
			}
		}
	})
}
