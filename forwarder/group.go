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
	// reservationTimeout is the timeout of a call to an engine that makes, renews, releases or checks a
	// reservation. It is many times the usual response time of such a call, and short compared with
	// the latency targets of prompts that need reservations.
	reservationTimeout = 300 * time.Millisecond
	// renewalsPerTTL is the number of renewals of a reservation in the time of one lease. With three, a
	// reservation outlasts a failed renewal.
	renewalsPerTTL = 3
	// idleFraction is the fraction of Config.MaxIdle for which memory has been reserved when the entry
	// begins to ask an engine whether a request uses the memory. It asks after each renewal, and the
	// rest of MaxIdle leaves time for one more renewal.
	idleFraction = 0.75
)

// reservationGroup is the memory reserved at helpers for one attempt. Its methods accept a nil
// receiver, which stands for an attempt without reservations.
type reservationGroup struct {
	// requestID is the ID of the request, for the log.
	requestID    string
	reservations []reservation
	// stopRenewal cancels the context of the goroutine that renews the reservations; renewal.Wait returns
	// when the goroutine has ended. stopRenewal is nil until all memory is reserved.
	stopRenewal context.CancelFunc
	renewal     sync.WaitGroup
	// reservedAt is when the entry began to reserve the memory.
	reservedAt time.Time
	// responseBegun is true once the first event of the response has arrived. The request uses all
	// reserved memory from then on.
	responseBegun atomic.Bool
	// cancelAttempt cancels the context of the attempt with a cause.
	cancelAttempt context.CancelCauseFunc
}

// errMemoryUnused is the cause with which an attempt is cancelled if isMemoryUnused returns true for
// its reservations.
var errMemoryUnused = errors.New("the engine has not begun the request, and reserved memory may not stay unused any longer")

// markBegun records that the first event of the response has arrived, so that the memory is no longer
// checked for use.
func (g *reservationGroup) markBegun() {
	if g != nil {
		g.responseBegun.Store(true)
	}
}

// ReserveError is returned if an engine did not make or renew a reservation, or did not respond in
// time.
type ReserveError struct {
	// Engine is the address of the engine, Tokens the requested memory in tokens.
	Engine netip.AddrPort
	Tokens int
	// Cause is the error of the call to the engine.
	Cause error
}

func (e ReserveError) Error() string {
	return fmt.Sprintf("reserve %d tokens at %s: %v", e.Tokens, e.Engine, e.Cause)
}

func (e ReserveError) Unwrap() error { return e.Cause }

// reservation is memory reserved at one engine.
type reservation struct {
	// engine is the address of the engine.
	engine netip.AddrPort
	// id is a random UUID that identifies the reservation at the engine.
	id string
	// tokens is the size of the reserved memory in tokens.
	tokens int
}

// reserve reserves the memory that an attempt needs at its helpers, and renews the reservations until
// releaseReservations is called. It returns a nil group if no memory is needed. If a helper does not
// reserve its memory, the memory at the others is released, and the error joins a ReserveError for
// each helper that failed.
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
	results := make(chan error, len(g.reservations))
	for _, s := range g.reservations {
		go func() { results <- f.reserveOne(ctx, s) }()
	}
	var failed error
	for range g.reservations {
		failed = errors.Join(failed, <-results)
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

// reserveErrors returns the ReserveErrors, one per engine, that err joins; none for an err that reserve
// did not return.
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

// reserveOne makes or renews one reservation. Its error is a ReserveError.
func (f *Forwarder) reserveOne(ctx context.Context, s reservation) error {
	ctx, cancel := context.WithTimeout(ctx, reservationTimeout)
	defer cancel()
	if err := f.reservationClient.Reserve(ctx, s.engine, s.id, s.tokens, f.reservationTTL); err != nil {
		return ReserveError{Engine: s.engine, Tokens: s.tokens, Cause: err}
	}
	return nil
}

// renewReservations renews the reservations of a group renewalsPerTTL times per lease until ctx is
// cancelled. It cancels the attempt and returns if isMemoryUnused returns true.
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

// isMemoryUnused reports whether no request uses the memory of a group although it was reserved at
// least idleFraction of Config.MaxIdle ago, as happens if the engine that is to answer hangs. It asks
// only the engine of the first reservation, and returns true if that engine does not respond. It
// returns false once the first event of the response has arrived.
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

// releaseReservations stops renewing the reservations of a group and releases them in the background.
// A reservation that can't be released ends when its lease expires. A nil group is ignored.
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

// withReservations returns the instances as helpers, in the same order. Each helper gets the ID of the
// reservation that the group has at it, if any.
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
