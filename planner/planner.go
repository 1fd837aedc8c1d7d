// Package planner decides which order, if any, an engine is due. What an
// engine should serve is a pure function of the document, so two keepers that
// believe the same order the same; the fencing number is the engine's last
// seen one raised, so an engine that checks it refuses a late order.
package planner

import (
	"fmt"
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/assigner"
	"github.com/sapphireramp/sapphireramp/validator"
)

// keeperBits is how many low bits of a fencing number name the keeper, so
// that two keepers never use one number for different orders.
const keeperBits = 16

// NextFence is the fencing number of the next order by a keeper to an engine
// that last saw the number seen.
func NextFence(lastSeen uint64, keeper string) uint64 {
	next := lastSeen>>keeperBits + 1
	id := assigner.Weight("fence", keeper) & (1<<keeperBits - 1)
	return next<<keeperBits | id
}

// WantedOrder is what an engine should serve, as the document says.
func WantedOrder(e validator.Engine) api.EngineOrder {
	return api.EngineOrder{Model: e.Model, Version: e.Version, Adapters: e.Adapters, Role: e.Role}
}

// Step is what is to be done about an engine.
type Step int

// The steps.
const (
	// Nothing: the engine serves what it should.
	Nothing Step = iota
	// Drain: give no grants and wait for the engine's streams to end.
	Drain
	// Send: send the order.
	Send
	// Await: an order was sent; wait for the engine to report it.
	Await
	// Pace: wait, as the weight store's budget is spent.
	Pace
)

var stepNames = [...]string{"Nothing", "Drain", "Send", "Await", "Pace"}

func (s Step) String() string { return stepNames[s] }

// Decision about one engine.
type Decision struct {
	Step   Step
	Order  api.EngineOrder
	Reason string
}

// Config of a planner.
type Config struct {
	// Keeper is the name of the entry that orders.
	Keeper string
	// SettleTime is how long what is wanted must stay the same before an order,
	// and at least a keeper's lease, so that an earlier keeper has stopped.
	SettleTime time.Duration
	// RetryInterval is how long an order is awaited before it is sent again.
	RetryInterval time.Duration
	// WeightLoadInterval is the least time between loads from the weight store by
	// the whole fleet; each entry takes its part of it.
	WeightLoadInterval time.Duration
}

type engineState struct {
	wanted api.EngineOrder
	// wantedSince is when wanted last changed, or this entry became keeper.
	wantedSince time.Time
	// sentAt is when the last order was sent; zero when none is awaited.
	sentAt time.Time
}

// Planner holds the orders of the engines one entry keeps. It is not safe for
// concurrent use.
type Planner struct {
	config  Config
	engines map[string]*engineState
	// lastWeightLoad is when this entry last had an engine load weights.
	lastWeightLoad time.Time
}

// New returns a planner that has ordered nothing.
func New(config Config) *Planner {
	return &Planner{config: config, engines: map[string]*engineState{}}
}

// Forget drops an engine that this entry no longer keeps, and with it any
// order that was awaited.
func (p *Planner) Forget(name string) { delete(p.engines, name) }

// Plan decides what is due for an engine whose report is load. Streams is how
// many streams and holds it has; entries is how many entries share the weight
// store's budget.
func (p *Planner) Plan(now time.Time, wanted api.EngineOrder, load api.EngineLoad, holds, entries int) Decision {
	e, ok := p.engines[load.Name]
	if !ok || !sameTarget(e.wanted, wanted) {
		e = &engineState{wanted: wanted, wantedSince: now}
		p.engines[load.Name] = e
	}
	if matchesOrder(load, wanted) {
		e.sentAt = time.Time{}
		return Decision{Step: Nothing}
	}
	if !e.sentAt.IsZero() && now.Sub(e.sentAt) < p.config.RetryInterval {
		return Decision{Step: Await, Reason: "ordered"}
	}
	if now.Sub(e.wantedSince) < p.config.SettleTime {
		return Decision{Step: Drain, Reason: "settling"}
	}
	if holds > 0 {
		return Decision{Step: Drain, Reason: fmt.Sprintf("%d holds", holds)}
	}
	loadsWeights := load.Model != wanted.Model || load.Version != wanted.Version || !sameSet(load.Adapters, wanted.Adapters)
	loadInterval := p.config.WeightLoadInterval * time.Duration(max(1, entries))
	if loadsWeights && !p.lastWeightLoad.IsZero() && now.Sub(p.lastWeightLoad) < loadInterval {
		return Decision{Step: Pace, Reason: "weight store"}
	}
	if loadsWeights {
		p.lastWeightLoad = now
	}
	e.sentAt = now
	order := wanted
	order.Fence = NextFence(load.Fence, p.config.Keeper)
	order.Issuer = p.config.Keeper
	return Decision{Step: Send, Order: order, Reason: "differs"}
}

func sameTarget(a, b api.EngineOrder) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role && sameSet(a.Adapters, b.Adapters)
}

func matchesOrder(load api.EngineLoad, wanted api.EngineOrder) bool {
	reported := api.EngineOrder{Model: load.Model, Version: load.Version, Role: load.Role, Adapters: load.Adapters}
	return sameTarget(reported, wanted)
}

func sameSet(a, b []string) bool {
	x, y := slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b))
	return slices.Equal(x, y)
}
