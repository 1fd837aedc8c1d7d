// Package planner decides whether an entry must send an order to an engine, to change the model,
// version, adapters or role that the engine serves. What an engine should serve depends on the
// configuration document alone, so two entries that both act as its keeper ask for the same. Each
// order has a fencing number greater than the last that the engine has reported, so an engine that
// checks fencing numbers refuses an order that arrives after a newer one.
package planner

import (
	"fmt"
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/assigner"
	"github.com/sapphireramp/sapphireramp/validator"
)

// keeperBits is the number of low bits of a fencing number that hold a hash of the keeper's name, so
// that two keepers are unlikely to use one number for different orders.
const keeperBits = 16

// NextFencingNumber returns the fencing number for a keeper's next order to an engine. It is greater
// than lastSeen, the greatest number that the engine has reported.
func NextFencingNumber(lastSeen uint64, keeper string) uint64 {
	next := lastSeen>>keeperBits + 1
	id := assigner.Weight("fence", keeper) & (1<<keeperBits - 1)
	return next<<keeperBits | id
}

// WantedOrder returns an order for what the configuration document states that an engine should
// serve. Its Fence and Issuer are not set.
func WantedOrder(e validator.Engine) api.EngineOrder {
	return api.EngineOrder{Model: e.Model, Version: e.Version, Adapters: e.Adapters, Role: e.Role}
}

// Step is what a keeper must do next so that an engine serves what it should.
type Step int

// The steps of a Decision.
const (
	// Nothing means that the engine serves what the wanted order asks for.
	Nothing Step = iota
	// Drain means that no memory of the engine must be granted, until the wanted order has been the
	// same for Config.SettleTime and the engine has neither holds nor grants.
	Drain
	// Send means that Decision.Order must be sent to the engine.
	Send
	// Await means that the order was sent less than Config.RetryInterval ago and that the engine has
	// not reported the change yet.
	Await
	// Pace means that the order must wait, because too little time has passed since this entry
	// last ordered an engine to load from the weight store.
	Pace
)

var stepNames = [...]string{"Nothing", "Drain", "Send", "Await", "Pace"}

func (s Step) String() string { return stepNames[s] }

// Decision is what a keeper must do next for an engine, and why.
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
	// SettleTime is the time for which the wanted order must stay the same, and this entry be the
	// engine's keeper, before the order is sent. It must be at least the lease of keeper.Config, so
	// that a previous keeper has stopped giving grants.
	SettleTime time.Duration
	// RetryInterval is the time after which an order is sent again if the engine has not reported that
	// it serves what the order asks for.
	RetryInterval time.Duration
	// WeightLoadInterval is the minimum mean time between two orders, over all entries, that make an
	// engine load weights from the weight store. Each entry lets this time multiplied by the number of
	// entries pass between its own such orders.
	WeightLoadInterval time.Duration
}

// engineState is what the planner records of one engine and of the orders to it.
type engineState struct {
	// wanted is the order that describes what the engine should serve.
	wanted api.EngineOrder
	// wantedSince is the time at which wanted last changed or this entry became the engine's
	// keeper.
	wantedSince time.Time
	// sentAt is the time at which the wanted order was last sent, zero if it was not sent or the
	// engine serves what it asks for.
	sentAt time.Time
}

// Planner tracks the orders to the engines that one entry is the keeper of. It is not safe for
// concurrent use.
type Planner struct {
	config Config
	// engines holds the state of each engine, by name.
	engines map[string]*engineState
	// lastWeightLoad is the time of this entry's last order that made an engine load weights, zero
	// before the first.
	lastWeightLoad time.Time
}

// New returns a planner that has sent no order.
func New(config Config) *Planner {
	return &Planner{config: config, engines: map[string]*engineState{}}
}

// Forget removes the state of an engine that this entry is no longer the keeper of. If the entry
// becomes its keeper again, Config.SettleTime starts anew and no earlier order is awaited.
func (p *Planner) Forget(name string) { delete(p.engines, name) }

// Plan decides the next step for an engine, given the order for what it should serve and its last load
// report. Holds is the number of the engine's holds and grants; entries is the number of entries
// that share the weight store. If the step is Send, Plan records that the order was sent at the time
// now.
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

// sameTarget reports whether two orders ask for the same model, version, role and set of adapters.
func sameTarget(a, b api.EngineOrder) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role && sameSet(a.Adapters, b.Adapters)
}

// matchesOrder reports whether the engine of a load report serves what an order asks for.
func matchesOrder(load api.EngineLoad, wanted api.EngineOrder) bool {
	reported := api.EngineOrder{Model: load.Model, Version: load.Version, Role: load.Role, Adapters: load.Adapters}
	return sameTarget(reported, wanted)
}

// sameSet reports whether two slices have the same elements, in any order.
func sameSet(a, b []string) bool {
	x, y := slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b))
	return slices.Equal(x, y)
}
