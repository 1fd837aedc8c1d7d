// Package planner decides whether an entry must send an order to an engine, to change the model,
// version, adapters or role that the engine serves. What an engine should serve depends on the
// configuration document alone, so two entries that both act as its keeper send equal orders. Each
// order has a fencing number greater than the last that the engine has seen, so an engine that
// checks fencing numbers refuses a late order.
package planner

import (
	"fmt"
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/assigner"
	"github.com/sapphireramp/sapphireramp/validator"
)

// keeperBits is the number of low bits of a fencing number that identify the keeper, so that two
// keepers do not use one number for different orders.
const keeperBits = 16

// NextFencingNumber returns the fencing number for a keeper's next order to an engine that has seen no
// fencing number greater than lastSeen.
func NextFencingNumber(lastSeen uint64, keeper string) uint64 {
	next := lastSeen>>keeperBits + 1
	id := assigner.Weight("fence", keeper) & (1<<keeperBits - 1)
	return next<<keeperBits | id
}

// WantedOrder returns the order that describes what an engine should serve, without fence and
// issuer.
func WantedOrder(e validator.Engine) api.EngineOrder {
	return api.EngineOrder{Model: e.Model, Version: e.Version, Adapters: e.Adapters, Role: e.Role}
}

// Step is what a keeper must do next so that an engine serves what it should.
type Step int

// The steps of a Decision.
const (
	// Nothing means that the engine serves what it should.
	Nothing Step = iota
	// Drain means that the engine must get no grants, until the wanted order has settled and the
	// engine has no holds.
	Drain
	// Send means that the order must be sent.
	Send
	// Await means that the order was sent, but the engine has not reported the change yet.
	Await
	// Pace means that the order must wait, because too little time has passed since this entry
	// last ordered an engine to load from the weight store.
	Pace
)

var stepNames = [...]string{"Nothing", "Drain", "Send", "Await", "Pace"}

func (s Step) String() string { return stepNames[s] }

// Decision is the next step for an engine.
type Decision struct {
	Step Step
	// Order is the order to send. It is set only if Step is Send.
	Order api.EngineOrder
	// Reason says why the step was chosen, for the log.
	Reason string
}

// Config is the configuration of a Planner.
type Config struct {
	// Keeper is the name of the entry that sends the orders.
	Keeper string
	// SettleTime is how long the wanted order must stay the same before it is sent. It must be at
	// least a keeper's lease, so that a previous keeper of the engine has stopped.
	SettleTime time.Duration
	// RetryInterval is the time after which an order that the engine has not followed is sent
	// again.
	RetryInterval time.Duration
	// WeightLoadInterval is the minimum time between two loads from the weight store, over all
	// entries. Each entry waits for this time multiplied by the number of entries.
	WeightLoadInterval time.Duration
}

// engineState is the state of the orders to one engine.
type engineState struct {
	// wanted is the order that describes what the engine should serve.
	wanted api.EngineOrder
	// wantedSince is the time at which wanted last changed or this entry became the engine's
	// keeper.
	wantedSince time.Time
	// sentAt is the time at which the last order was sent, zero if none is awaited.
	sentAt time.Time
}

// Planner tracks the orders to the engines that one entry is the keeper of. It is not safe for
// concurrent use.
type Planner struct {
	config Config
	// engines are the states of the orders, by engine name.
	engines map[string]*engineState
	// lastWeightLoad is the time of the last order that made an engine load weights.
	lastWeightLoad time.Time
}

// New returns a planner that has sent no order.
func New(config Config) *Planner {
	return &Planner{config: config, engines: map[string]*engineState{}}
}

// Forget removes the state of an engine that this entry is no longer the keeper of. An order that
// was awaited is awaited no more.
func (p *Planner) Forget(name string) { delete(p.engines, name) }

// Plan decides the next step for an engine, given the order that it should follow and its last load
// report. Holds is the number of the engine's holds and grants; entries is the number of entries
// that share the weight store.
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
	order.Fence = NextFencingNumber(load.Fence, p.config.Keeper)
	order.Issuer = p.config.Keeper
	return Decision{Step: Send, Order: order, Reason: "differs"}
}

// sameTarget reports whether two orders ask for the same model, version, role and adapters.
func sameTarget(a, b api.EngineOrder) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role && sameSet(a.Adapters, b.Adapters)
}

// matchesOrder reports whether an engine, by its load report, serves what an order asks for.
func matchesOrder(load api.EngineLoad, wanted api.EngineOrder) bool {
	reported := api.EngineOrder{Model: load.Model, Version: load.Version, Role: load.Role, Adapters: load.Adapters}
	return sameTarget(reported, wanted)
}

// sameSet reports whether two slices have the same elements, in any order.
func sameSet(a, b []string) bool {
	x, y := slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b))
	return slices.Equal(x, y)
}
