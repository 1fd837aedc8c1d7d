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
	// reservationTimeout bounds an order to an engine: many times what an answer
	// takes, and short beside the targets of prompts that need reservations.
	reservationTimeout = 300 * time.Millisecond
	// renewalsPerTTL is how often memory is renewed in the time of its lease, so
	// that one lost order does not end it.
	renewalsPerTTL = 3
	// idleFraction is the part of the time for which memory may be unused after which an
	// engine is asked whether a request uses it. What is left is one more renewal.
	idleFraction = 0.75
)

// reservationGroup is the memory reserved at several engines for one attempt. All methods
// may be called on nil, which holds none.
type reservationGroup struct {
	requestID    string
	reservations []reservation
	// stopRenewal ends the renewals, which have ended when renewed is done.
	stopRenewal context.CancelFunc
	renewal     sync.WaitGroup
	// reservedAt is when the memory was set aside, begun true once the answer's first
	// event was seen: all of it is used then.
	reservedAt    time.Time
	responseBegun atomic.Bool
	// cancelAttempt ends the attempt with a cause.
	cancelAttempt context.CancelCauseFunc
}

// errMemoryUnused ends an attempt whose memory no request uses.
var errMemoryUnused = errors.New("the engine does not begin, and memory set aside for it may not stay unused")

// markBegun notes that the first event of the answer was seen.
func (g *reservationGroup) markBegun() {
	if g != nil {
		g.responseBegun.Store(true)
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

type reservation struct {
	engine netip.AddrPort
	id     string
	tokens int
}

// reserve sets aside the memory that an attempt needs at its helpers: all of
// it or none.
func (f *Forwarder) reserve(ctx context.Context, x *exchange, p *dispatcher.Placement, cancelAttempt context.CancelCauseFunc) (*reservationGroup, error) {
	if len(p.HelperMemoryTokens) == 0 {
		return nil, nil
	}
	g := &reservationGroup{requestID: x.metadata.ID, reservedAt: time.Now(), cancelAttempt: cancelAttempt}
	for _, h := range p.Helpers {
		if tokens := p.HelperMemoryTokens[h.ID]; tokens > 0 {
			g.reservations = append(g.reservations, reservation{engine: h.Address, id: uuid.NewString(), tokens: tokens})
		}
	}
	failures := make(chan error, len(g.reservations))
	for _, s := range g.reservations {
		go func() { failures <- f.reserveOne(ctx, s) }()
	}
	var failed error
	for range g.reservations {
		failed = errors.Join(failed, <-failures)
	}
	if failed != nil {
		f.releaseReservations(g)
		return nil, failed
	}
	f.metrics.reservations.Inc(1)
	f.log.Info("reserved", zap.String("request", x.metadata.ID), zap.Int("engines", len(g.reservations)), zap.Duration("lease_ms", f.reservationTTL))
	renewing, stop := context.WithCancel(context.WithoutCancel(ctx))
	g.stopRenewal = stop
	g.renewal.Add(1)
	go func() {
		defer g.renewal.Done()
		f.renewReservations(renewing, g)
	}()
	return g, nil
}

// reserveErrors are the engines that set no memory aside, of an error of reserve.
func reserveErrors(err error) []ReserveError {
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

func (f *Forwarder) reserveOne(ctx context.Context, s reservation) error {
	ctx, cancel := context.WithTimeout(ctx, reservationTimeout)
	defer cancel()
	if err := f.reservationClient.Reserve(ctx, s.engine, s.id, s.tokens, f.reservationTTL); err != nil {
		return ReserveError{Engine: s.engine, Tokens: s.tokens, Cause: err}
	}
	return nil
}

// renewReservations keeps the leases alive until the group is released.
func (f *Forwarder) renewReservations(ctx context.Context, g *reservationGroup) {
	for sleeper.Sleep(ctx, f.reservationTTL/renewalsPerTTL) {
		for _, s := range g.reservations {
			if err := f.reserveOne(ctx, s); err != nil && ctx.Err() == nil {
				f.log.Warn("renewal_failed", zap.String("request", g.requestID), zap.Error(err))
			}
		}
		if f.isMemoryUnused(ctx, g) && ctx.Err() == nil {
			f.log.Warn("memory_unused", zap.String("request", g.requestID), zap.Int("engines", len(g.reservations)), zap.Duration("age_ms", time.Since(g.reservedAt)))
			g.cancelAttempt(errMemoryUnused)
			return
		}
	}
}

// isMemoryUnused reports whether the memory of a group has been set aside for long and no request
// uses it, as where the engine that is to answer hangs.
func (f *Forwarder) isMemoryUnused(ctx context.Context, g *reservationGroup) bool {
	if g.responseBegun.Load() || time.Since(g.reservedAt) < time.Duration(idleFraction*float64(f.maxIdle)) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reservationTimeout)
	defer cancel()
	used, err := f.reservationClient.InUse(ctx, g.reservations[0].engine, g.reservations[0].id)
	if err != nil && ctx.Err() == nil {
		f.log.Warn("report_failed", zap.String("request", g.requestID), zap.Stringer("engine", g.reservations[0].engine), zap.Error(err))
	}
	return !used && !g.responseBegun.Load()
}

// releaseReservations gives the memory of a group back, without making the request wait.
// What can't be released ends with its lease.
func (f *Forwarder) releaseReservations(g *reservationGroup) {
	if g == nil {
		return
	}
	if g.stopRenewal != nil {
		g.stopRenewal()
	}
	go func() {
		g.renewal.Wait()
		for _, s := range g.reservations {
			ctx, cancel := context.WithTimeout(context.Background(), reservationTimeout)
			err := f.reservationClient.Release(ctx, s.engine, s.id)
			cancel()
			if err != nil {
				f.log.Warn("release_failed", zap.String("request", g.requestID), zap.Stringer("engine", s.engine),
					zap.Duration("lease_ms", f.reservationTTL), zap.Error(err))
			}
		}
	}()
}

// withReservations lists the engines that help, with the memory that each holds.
// Tickets are filled in the order of the list.
func (g *reservationGroup) withReservations(instances []dispatcher.Instance) []Helper {
	var out []Helper
	for _, i := range instances {
		h := Helper{Address: i.Address}
		if g != nil {
			for _, s := range g.reservations {
				if s.engine == i.Address {
					h.ReservationID = s.id
				}
			}
		}
		out = append(out, h)
	}
	return out
}
