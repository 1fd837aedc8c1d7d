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

// kept is an engine that this entry keeps, as the polling loop needs it.
type kept struct {
	name    string
	address string
}

// keep polls the engines that this entry keeps until the context ends.
func (s *Server) keep(ctx context.Context) {
	tick := time.NewTicker(s.settings.Timing.Poll)
	defer tick.Stop()
	busy := map[string]bool{}
	listed := map[string]time.Time{}
	done := make(chan string)
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-done:
			delete(busy, name)
		case now := <-tick.C:
			for _, k := range s.keptEngines() {
				if busy[k.name] {
					continue
				}
				busy[k.name] = true
				list := now.Sub(listed[k.name]) >= s.settings.Timing.List
				if list {
					listed[k.name] = now
				}
				go func() {
					s.poll(ctx, k, list)
					select {
					case done <- k.name:
					case <-ctx.Done():
					}
				}()
			}
		}
	}
}

func (s *Server) keptEngines() []kept {
	var out []kept
	for name, u := range s.current.Load().engines {
		if u.Keeper == s.settings.Name {
			out = append(out, kept{name: name, address: u.Address.String()})
		}
	}
	return out
}

// poll asks a kept engine for its load and, where list is true, its holds.
func (s *Server) poll(ctx context.Context, k kept, list bool) {
	load, err := s.engineLoad(ctx, k.address)
	if err != nil {
		s.logs.keep.Debug("poll_failed", zap.String("engine", k.name), zap.Error(err))
		return
	}
	var holds *api.EngineHolds
	if list {
		holds = &api.EngineHolds{}
		if err := s.engineGet(ctx, k.address, api.PathHolds, holds); err != nil {
			s.logs.keep.Debug("poll_failed", zap.String("engine", k.name), zap.Error(err))
			return
		}
	}
	load.Name = k.name
	var orphans []keeper.Orphan
	var order *api.EngineOrder
	s.do(func(c *control) { orphans, order = c.report(time.Now(), k.name, load, holds) })
	for _, o := range orphans {
		s.freeOrphan(k, o)
	}
	if order != nil {
		s.sendOrder(ctx, k, *order)
	}
}

// report takes in what a kept engine said, and returns what is to be done.
func (c *control) report(now time.Time, name string, load api.EngineLoad, holds *api.EngineHolds) ([]keeper.Orphan, *api.EngineOrder) {
	k, ok := c.keepers[name]
	if !ok {
		return nil, nil
	}
	c.incarnation(name, load.Incarnation)
	if load.Leaving && c.drainer.MarkLeaving(name, load.Incarnation) {
		c.leaving(name, drainer.FromUpstream)
	}
	var orphans []keeper.Orphan
	if holds == nil {
		k.ReportLoad(now, load)
	} else {
		orphans = k.Report(now, load, holds.Holds)
	}
	digest := k.Digest(now)
	c.load(name).Heard(now, digest.Queued, digest.FreeTokens)
	return orphans, c.plan(now, name, k, load)
}

// plan decides whether a kept engine is due an order.
func (c *control) plan(now time.Time, name string, k *keeper.Keeper, load api.EngineLoad) *api.EngineOrder {
	accepted := c.adopter.Current()
	if accepted == nil || load.Leaving {
		return nil
	}
	e, ok := accepted.Engine(name)
	if !ok {
		return nil
	}
	entries := 1 + len(c.prober.Members())
	decision := c.planner.Plan(now, planner.Wanted(*e), load, k.Holds()+k.Grants(), entries)
	k.Changing(decision.Step != planner.Nothing)
	if decision.Step != c.steps[name] {
		c.steps[name] = decision.Step
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

func (s *Server) freeOrphan(k kept, o keeper.Orphan) {
	err := s.freeHold(k.address, o.Hold.ID, o.OlderThan)
	s.logs.keep.Info("orphan", zap.String("engine", k.name), zap.String("hold", o.Hold.ID), zap.String("owner", o.Hold.Owner),
		zap.Uint64("incarnation", o.Hold.Incarnation), zap.String("kind", o.Hold.Kind), zap.Int("tokens", o.Hold.Tokens),
		zap.Float64("age_s", o.Hold.AgeSeconds), zap.Error(err))
	if err == nil {
		s.metrics.orphans.Inc(1)
	}
}

func (s *Server) sendOrder(ctx context.Context, k kept, order api.EngineOrder) {
	s.metrics.orders.Inc(1)
	request, err := sling.New().Client(s.engines).Base("http://" + k.address).Post(api.PathOrders).BodyJSON(order).Request()
	if err != nil {
		return
	}
	response, err := s.engines.Do(request.WithContext(ctx))
	if err != nil {
		s.logs.keep.Warn("order_failed", zap.String("engine", k.name), zap.Error(err))
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusAccepted {
		s.logs.keep.Warn("order_refused", zap.String("engine", k.name), zap.Int("status", response.StatusCode))
	}
}

func (s *Server) engineLoad(ctx context.Context, address string) (api.EngineLoad, error) {
	var load api.EngineLoad
	err := s.engineGet(ctx, address, api.PathLoad, &load)
	return load, err
}

func (s *Server) engineGet(ctx context.Context, address, path string, target any) error {
	request, err := sling.New().Base("http://" + address).Get(path).Request()
	if err != nil {
		return fmt.Errorf("make read: %w", err)
	}
	response, err := sling.New().Client(s.engines).Do(request.WithContext(ctx), target, nil)
	if err != nil {
		return fmt.Errorf("read engine: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("read engine: status %d", response.StatusCode)
	}
	return nil
}
