package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/sleeper"
)

const (
	// orderTimeout bounds an order to an engine: many times what an answer
	// takes, and short beside the targets of prompts that need reservations.
	orderTimeout = 300 * time.Millisecond
	// renewals is how often memory is renewed in the time of its lease, so
	// that one lost order does not end it.
	renewals = 3
	// idlePart is the part of the time for which memory may be unused after which an
	// engine is asked whether a request uses it. What is left is one more renewal.
	idlePart = 0.75
)

// group is the memory reserved at several engines for one attempt. All methods
// may be called on nil, which holds none.
type group struct {
	request string
	shares  []share
	// stop ends the renewals, which have ended when renewed is done.
	stop    context.CancelFunc
	renewed sync.WaitGroup
	// since is when the memory was set aside, begun true once the answer's first
	// event was seen: all of it is used then.
	since time.Time
	begun atomic.Bool
	// giveUp ends the attempt with a cause.
	giveUp context.CancelCauseFunc
}

// errIdle ends an attempt whose memory no request uses.
var errIdle = errors.New("the engine does not begin, and memory set aside for it may not stay unused")

// begin notes that the first event of the answer was seen.
func (g *group) begin() {
	if g != nil {
		g.begun.Store(true)
	}
}

// ReserveError is an engine that set no memory aside.
type ReserveError struct {
	Engine netip.AddrPort
	Tokens int
	Cause  error
}

func (e ReserveError) Error() string {
	return fmt.Sprintf("reserve %d tokens at %s: %v", e.Tokens, e.Engine, e.Cause)
}

func (e ReserveError) Unwrap() error { return e.Cause }

type share struct {
	engine netip.AddrPort
	ticket string
	tokens int
}

// reserve sets aside the memory that an attempt needs at its helpers: all of
// it or none.
func (f *Forwarder) reserve(ctx context.Context, x *exchange, p *dispatcher.Placement, giveUp context.CancelCauseFunc) (*group, error) {
	if len(p.HelperMemoryTokens) == 0 {
		return nil, nil
	}
	g := &group{request: x.call.ID, since: time.Now(), giveUp: giveUp}
	for _, h := range p.Helpers {
		if tokens := p.HelperMemoryTokens[h.ID]; tokens > 0 {
			g.shares = append(g.shares, share{engine: h.Address, ticket: uuid.NewString(), tokens: tokens})
		}
	}
	failures := make(chan error, len(g.shares))
	for _, s := range g.shares {
		go func() { failures <- f.reserveShare(ctx, s) }()
	}
	var failed error
	for range g.shares {
		failed = errors.Join(failed, <-failures)
	}
	if failed != nil {
		f.release(g)
		return nil, failed
	}
	f.metrics.reservations.Inc(1)
	f.log.Info("reserved", zap.String("request", x.call.ID), zap.Int("engines", len(g.shares)), zap.Duration("lease_ms", f.holdTime))
	renewing, stop := context.WithCancel(context.WithoutCancel(ctx))
	g.stop = stop
	g.renewed.Add(1)
	go func() {
		defer g.renewed.Done()
		f.renew(renewing, g)
	}()
	return g, nil
}

// failedShares are the engines that set no memory aside, of an error of reserve.
func failedShares(err error) []ReserveError {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return nil
	}
	var out []ReserveError
	for _, one := range joined.Unwrap() {
		var failed ReserveError
		if errors.As(one, &failed) {
			out = append(out, failed)
		}
	}
	return out
}

func (f *Forwarder) reserveShare(ctx context.Context, s share) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := f.orders.Reserve(ctx, s.engine, s.ticket, s.tokens, f.holdTime); err != nil {
		return ReserveError{Engine: s.engine, Tokens: s.tokens, Cause: err}
	}
	return nil
}

// renew keeps the leases alive until the group is released.
func (f *Forwarder) renew(ctx context.Context, g *group) {
	for sleeper.Sleep(ctx, f.holdTime/renewals) {
		for _, s := range g.shares {
			if err := f.reserveShare(ctx, s); err != nil && ctx.Err() == nil {
				f.log.Warn("renewal_failed", zap.String("request", g.request), zap.Error(err))
			}
		}
		if f.idle(ctx, g) && ctx.Err() == nil {
			f.log.Warn("memory_unused", zap.String("request", g.request), zap.Int("engines", len(g.shares)), zap.Duration("age_ms", time.Since(g.since)))
			g.giveUp(errIdle)
			return
		}
	}
}

// idle reports whether the memory of a group has been set aside for long and no request
// uses it, as where the engine that is to answer hangs.
func (f *Forwarder) idle(ctx context.Context, g *group) bool {
	if g.begun.Load() || time.Since(g.since) < time.Duration(idlePart*float64(f.maxIdle)) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	used, err := f.orders.InUse(ctx, g.shares[0].engine, g.shares[0].ticket)
	if err != nil && ctx.Err() == nil {
		f.log.Warn("report_failed", zap.String("request", g.request), zap.Stringer("engine", g.shares[0].engine), zap.Error(err))
	}
	return !used && !g.begun.Load()
}

// release gives the memory of a group back, without making the request wait.
// What can't be released ends with its lease.
func (f *Forwarder) release(g *group) {
	if g == nil {
		return
	}
	if g.stop != nil {
		g.stop()
	}
	go func() {
		g.renewed.Wait()
		for _, s := range g.shares {
			ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
			err := f.orders.Release(ctx, s.engine, s.ticket)
			cancel()
			if err != nil {
				f.log.Warn("release_failed", zap.String("request", g.request), zap.Stringer("engine", s.engine),
					zap.Duration("lease_ms", f.holdTime), zap.Error(err))
			}
		}
	}()
}

// helpers lists the engines that help, with the memory that each holds.
// Tickets are filled in the order of the list.
func (g *group) helpers(instances []dispatcher.Instance) []Helper {
	var out []Helper
	for _, i := range instances {
		h := Helper{Address: i.Address}
		if g != nil {
			for _, s := range g.shares {
				if s.engine == i.Address {
					h.ReservationID = s.ticket
				}
			}
		}
		out = append(out, h)
	}
	return out
}
