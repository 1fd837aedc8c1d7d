package server

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/drainer"
	"github.com/sapphireramp/sapphireramp/keeper"
	"github.com/sapphireramp/sapphireramp/planner"
)

// keptEngine is the name and address of an engine that this entry is the keeper of.
type keptEngine struct {
	name    string
	address string
}

// pollKeptEngines polls the engines that this entry is the keeper of, every Timing.Poll, until the context
// ends. An engine whose last poll is still in progress is passed over. At most once per Timing.List, the poll
// of an engine lists its holds too.
func (s *Server) pollKeptEngines(ctx context.Context) {
	tick := time.NewTicker(s.settings.Timing.Poll)
	defer tick.Stop()
	polling := map[string]bool{}
	lastListed := map[string]time.Time{}
	done := make(chan string)
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-done:
			delete(polling, name)
		case now := <-tick.C:
			for _, k := range s.keptEngines() {
				if polling[k.name] {
					continue
				}
				polling[k.name] = true
				list := now.Sub(lastListed[k.name]) >= s.settings.Timing.List
				if list {
					lastListed[k.name] = now
				}
				go func() {
					s.pollEngine(ctx, k, list)
					select {
					case done <- k.name:
					case <-ctx.Done():
					}
				}()
			}
		}
	}
}

func (s *Server) keptEngines() []keptEngine {
	var out []keptEngine
	for name, u := range s.current.Load().engines {
		if u.Keeper == s.settings.Name {
			out = append(out, keptEngine{name: name, address: u.Address.String()})
		}
	}
	return out
}

// pollEngine reads the load and, if listHolds is true, the holds of an engine that this entry is the keeper
// of. It then frees orphaned holds and sends the engine an order if one is due. A failed read is logged and
// ends the poll.
func (s *Server) pollEngine(ctx context.Context, engine keptEngine, listHolds bool) {
	load, err := s.fetchEngineLoad(ctx, engine.address)
	if err != nil {
		s.logs.keep.Debug("poll_failed", zap.String("engine", engine.name), zap.Error(err))
		return
	}
	var holds *api.EngineHolds
	if listHolds {
		holds = &api.EngineHolds{}
		if err := s.getFromEngine(ctx, engine.address, api.PathHolds, holds); err != nil {
			s.logs.keep.Debug("poll_failed", zap.String("engine", engine.name), zap.Error(err))
			return
		}
	}
	load.Name = engine.name
	var orphans []keeper.OrphanedHold
	var order *api.EngineOrder
	s.onControl(func(c *control) { orphans, order = c.recordEngineReport(time.Now(), engine.name, load, holds) })
	for _, o := range orphans {
		s.freeOrphan(engine, o)
	}
	if order != nil {
		s.sendOrder(ctx, engine, *order)
	}
}

// recordEngineReport updates the keeper of an engine from the engine's load and the listing of its holds, nil
// if they were not listed. It returns the orphaned holds to free and the order to send, nil if there is none.
// It does nothing if this entry is not the engine's keeper any more.
func (c *control) recordEngineReport(now time.Time, name string, load api.EngineLoad, holds *api.EngineHolds) ([]keeper.OrphanedHold, *api.EngineOrder) {
	k, ok := c.keepers[name]
	if !ok {
		return nil, nil
	}
	c.recordIncarnation(name, load.Incarnation)
	if load.Leaving && c.drainer.MarkLeaving(name, load.Incarnation) {
		c.announceLeaving(name, drainer.FromUpstream)
	}
	var orphans []keeper.OrphanedHold
	if holds == nil {
		k.RecordLoad(now, load)
	} else {
		orphans = k.RecordLoadAndHolds(now, load, holds.Holds)
	}
	estimate := k.EstimateLoad(now)
	c.loadOf(name).RecordReport(now, estimate.QueuedTokens, estimate.FreeTokens)
	return orphans, c.planOrder(now, name, k, load)
}

// planOrder returns the order to send to an engine now, to change its model, version, adapters or role to
// what the configuration document states, or nil if none is due. Until the engine reports the change, its
// keeper gives no grants.
func (c *control) planOrder(now time.Time, name string, k *keeper.Keeper, load api.EngineLoad) *api.EngineOrder {
	accepted := c.adopter.Current()
	if accepted == nil || load.Leaving {
		return nil
	}
	e, ok := accepted.Engine(name)
	if !ok {
		return nil
	}
	entries := 1 + len(c.prober.Members())
	decision := c.planner.Plan(now, planner.WantedOrder(*e), load, k.HoldCount()+k.GrantCount(), entries)
	k.SetOrderPending(decision.Step != planner.Nothing)
	if decision.Step != c.lastSteps[name] {
		c.lastSteps[name] = decision.Step
		c.server.logs.keep.Info("placement", zap.String("engine", name), zap.String("step", decision.Step.String()), zap.String("reason", decision.Reason))
	}
	if decision.Step != planner.Send {
		return nil
	}
	c.server.logs.keep.Info("order", zap.String("engine", name), zap.Uint64("fence", decision.Order.Fence),
		zap.String("model", decision.Order.Model), zap.String("version", decision.Order.Version),
		zap.String("role", decision.Order.Role), zap.String("reason", decision.Reason))
	return &decision.Order
}

func (s *Server) freeOrphan(engine keptEngine, orphan keeper.OrphanedHold) {
	err := s.freeHold(engine.address, orphan.Hold.ID, orphan.MinAge)
	s.logs.keep.Info("orphan", zap.String("engine", engine.name), zap.String("hold", orphan.Hold.ID), zap.String("owner", orphan.Hold.Owner),
		zap.Uint64("incarnation", orphan.Hold.Incarnation), zap.String("kind", orphan.Hold.Kind), zap.Int("tokens", orphan.Hold.Tokens),
		zap.Float64("age_s", orphan.Hold.AgeSeconds), zap.Error(err))
	if err == nil {
		s.metrics.freedOrphans.Inc(1)
	}
}

func (s *Server) sendOrder(ctx context.Context, engine keptEngine, order api.EngineOrder) {
	s.metrics.sentOrders.Inc(1)
	request, err := sling.New().Client(s.engineClient).Base("http://" + engine.address).Post(api.PathOrders).BodyJSON(order).Request()
	if err != nil {
		return
	}
	response, err := s.engineClient.Do(request.WithContext(ctx))
	if err != nil {
		s.logs.keep.Warn("order_failed", zap.String("engine", engine.name), zap.Error(err))
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusAccepted {
		s.logs.keep.Warn("order_refused", zap.String("engine", engine.name), zap.Int("status", response.StatusCode))
	}
}

func (s *Server) fetchEngineLoad(ctx context.Context, address string) (api.EngineLoad, error) {
	var load api.EngineLoad
	err := s.getFromEngine(ctx, address, api.PathLoad, &load)
	return load, err
}

func (s *Server) getFromEngine(ctx context.Context, address, path string, target any) error {
	request, err := sling.New().Base("http://" + address).Get(path).Request()
	if err != nil {
		return fmt.Errorf("build read request: %w", err)
	}
	response, err := sling.New().Client(s.engineClient).Do(request.WithContext(ctx), target, nil)
	if err != nil {
		return fmt.Errorf("read engine: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("read engine: status %d", response.StatusCode)
	}
	return nil
}
