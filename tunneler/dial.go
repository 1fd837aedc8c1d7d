package tunneler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"
)

const (
	// dialTimeout bounds the time for connecting to an upstream. It allows many round trips within a
	// region, and is short enough for an attempt at another upstream within the shortest latency targets.
	dialTimeout = 250 * time.Millisecond
	// maxDialLateness is the time by which a failed dial may exceed dialTimeout while this process runs as
	// usual. After a longer one this process was suspended, so that the failure says nothing.
	maxDialLateness = 100 * time.Millisecond
	// maxRelaysPerDial is the maximum number of relays that are asked for one connection.
	maxRelaysPerDial = 3
	// maxControls is the maximum number of other upstreams that are tried one after the other to find out
	// whether this entry's own links work. It is only reached where connections are refused, as where many
	// upstreams are down: each that hangs takes a good part of dialTimeout.
	maxControls = 16
)

// Dial opens a connection to an upstream, directly or through a relay. Its arguments and results are those of
// net.Dialer.DialContext. While the entry is not cut off, it connects directly at first, and asks a relay if that
// fails or takes longer than usual; the first connection to be opened is returned. The error is a CutOffError,
// unless the upstream is at fault or the context ends.
func (t *Tunneler) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	upstream, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("address of upstream: %w", err)
	}
	if t.IsUnavailable() {
		return nil, CutOffError{Upstream: upstream, Cause: errNoRelay}
	}
	r := &race{Tunneler: t, upstream: upstream, isDirect: !t.IsCutOff(), mayUseRelays: true}
	return r.run(ctx)
}

// dialAsRelay opens a direct connection to an upstream for another entry. Its error is a CutOffError unless the
// upstream is at fault.
func (t *Tunneler) dialAsRelay(ctx context.Context, upstream netip.AddrPort) (net.Conn, error) {
	r := &race{Tunneler: t, upstream: upstream, isDirect: true}
	return r.run(ctx)
}

// race opens one connection to an upstream in several ways, each begun when the one before has failed or is
// late. Ways that are still under way at its end go on until they have a result, which then only shows who is at
// fault.
type race struct {
	*Tunneler
	upstream netip.AddrPort
	// isDirect is true if the first way is a direct connection, mayUseRelays if others go through relays.
	isDirect, mayUseRelays bool
	began                  time.Time
	// otherWays are the ways not begun yet, after the direct one; nil until they are listed.
	otherWays []func() raceResult
	areListed bool
	// results receives one element for each way begun; pending is the number of those not received yet.
	results chan raceResult
	pending int
	// directErr is the error of the direct connection, after directTook; nil while it has none. relayErr is
	// the last error of a relay.
	directErr, relayErr error
	directTook          time.Duration
	// failedControls holds the other upstreams that could not be reached directly either.
	failedControls []netip.AddrPort
	// isReached is true once a relay has connected to the upstream, isAtFault once one has found that it
	// can't and that it reaches others.
	isReached, isAtFault bool
}

// raceResult is the result of one way to connect.
type raceResult struct {
	connection net.Conn
	err        error
	// isDirect is true for a direct connection, which took the given time.
	isDirect bool
	took     time.Duration
	// failedControl is the other upstream that was tried and not reached; zero otherwise.
	failedControl netip.AddrPort
}

// run returns the first connection that is opened.
func (r *race) run(ctx context.Context) (net.Conn, error) {
	r.began, r.results = time.Now(), make(chan raceResult, 1+maxRelaysPerDial+maxControls)
	if r.isDirect {
		// Not ended with the race, so that its result is known.
		detached := context.WithoutCancel(ctx)
		r.begin(func() raceResult {
			connection, err := r.dialDirect(detached, r.upstream)
			return raceResult{connection: connection, err: err, isDirect: true, took: time.Since(r.began)}
		})
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	patience := r.connectTimes.patience()
	late := time.NewTimer(patience)
	defer late.Stop()
	if !r.isDirect {
		r.beginNext(ctx)
	}
	for r.pending > 0 && !r.isAtFault && ctx.Err() == nil {
		select {
		case result := <-r.results:
			if r.accept(result) {
				r.leave()
				return result.connection, nil
			}
			if !r.isAtFault {
				r.beginNext(ctx)
			}
		case <-late.C:
			r.beginNext(ctx)
		case <-ctx.Done():
		}
		late.Reset(patience)
	}
	err := r.failure(ctx)
	r.leave()
	return nil, err
}

// begin begins one way to connect.
func (r *race) begin(connect func() raceResult) {
	r.pending++
	go func() { r.results <- connect() }()
}

// beginNext begins the next of the other ways to connect, if any is left.
func (r *race) beginNext(ctx context.Context) {
	if !r.areListed {
		r.otherWays, r.areListed = r.listOtherWays(ctx), true
	}
	if len(r.otherWays) > 0 {
		r.begin(r.otherWays[0])
		r.otherWays = r.otherWays[1:]
	}
}

// errNoRelay is the error of a connection for which no relay could be asked.
var errNoRelay = errors.New("no other entry reaches upstreams")

// listOtherWays returns the ways to connect after a direct one: through relays and, if these know no better,
// connections to other upstreams, which are not returned but show whether this entry's own links work.
func (r *race) listOtherWays(ctx context.Context) []func() raceResult {
	var ways []func() raceResult
	if r.mayUseRelays {
		ways = r.relayWays(ctx)
	}
	if !r.isDirect {
		return ways
	}
	for _, other := range r.likelyUpstreams(maxControls, r.upstream) {
		ways = append(ways, func() raceResult {
			if !r.hasContact() && r.probeOne(other) != nil {
				return raceResult{err: errNoRelay, failedControl: other}
			}
			return raceResult{err: errNoRelay}
		})
	}
	return ways
}

// relayWays returns the ways to connect through relays.
func (r *race) relayWays(ctx context.Context) []func() raceResult {
	var ways []func() raceResult
	for _, relay := range r.relaysFor(ctx, r.began, r.upstream) {
		ways = append(ways, func() raceResult {
			connection, err := r.openTunnel(ctx, relay, r.upstream)
			if err != nil {
				return raceResult{err: err}
			}
			return raceResult{connection: connection}
		})
	}
	return ways
}

// accept records a result, and reports whether it is a connection.
func (r *race) accept(result raceResult) bool {
	r.pending--
	switch {
	case result.err == nil && result.isDirect:
		r.connectTimes.add(result.took)
		r.recordContact(r.upstream)
	case result.err == nil:
		r.isReached = true
	case result.isDirect:
		r.directErr, r.directTook = result.err, result.took
		r.metrics.failed.Inc(1)
	case errors.Is(result.err, errNoRelay):
		if result.failedControl.IsValid() {
			r.failedControls = append(r.failedControls, result.failedControl)
		}
	default:
		r.relayErr = result.err
		var refused RelayError
		r.isAtFault = r.isAtFault || errors.As(result.err, &refused) && refused.Outcome.showsFault()
	}
	return result.err == nil
}

// hasContact reports whether this entry has reached any upstream since the race began.
func (r *race) hasContact() bool { return !r.monitor.lastContactAt().Before(r.began) }

// failure returns the error of a race without a connection.
func (r *race) failure(ctx context.Context) error {
	err := context.Cause(ctx)
	switch {
	case err == nil && r.directErr == nil && r.relayErr == nil:
		err = errNoRelay
	case r.isAtFault:
		return r.relayErr
	case r.directErr != nil:
		err = r.directErr
	case r.relayErr != nil:
		err = r.relayErr
	}
	if r.hasContact() || errors.Is(ctx.Err(), context.Canceled) {
		return err
	}
	return CutOffError{Upstream: r.upstream, Cause: err}
}

// leave ends the race. The direct connection is judged once all ways have a result.
func (r *race) leave() {
	if r.pending == 0 {
		r.judge()
		return
	}
	go func() {
		for r.pending > 0 {
			if result := <-r.results; r.accept(result) {
				_ = result.connection.Close()
			}
		}
		r.judge()
	}()
}

// judge records a failed direct connection, and those to other upstreams, as failures of this entry's links,
// unless the upstream is at fault or the entry was suspended meanwhile.
func (r *race) judge() {
	wasSuspended := r.directTook > dialTimeout+maxDialLateness
	if r.directErr == nil || wasSuspended || r.isAtFault || r.closed.Err() != nil {
		return
	}
	if !r.isReached && r.hasContact() {
		return
	}
	r.recordFailure(r.upstream, r.directErr)
	for _, other := range r.failedControls {
		r.recordFailure(other, r.directErr)
	}
}
