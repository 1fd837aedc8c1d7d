package tunneler

import (
	"context"
	"net/netip"
	"time"
)

// ConfirmReach reports whether an upstream was connected to within maxAge, directly or through a relay. If none
// was, it begins to connect to one other than silent, so that a later call can report the result. A caller asks
// before it gives up an attempt at a silent upstream: where links are down, the upstream only seems to be silent,
// and no other can be sent the request.
func (t *Tunneler) ConfirmReach(silent netip.AddrPort, maxAge time.Duration) bool {
	if time.Since(t.monitor.lastReachedAt()) <= maxAge {
		return true
	}
	if t.isConfirming.CompareAndSwap(false, true) {
		go t.confirmReach(silent)
	}
	return false
}

// confirmReach connects to a likely upstream other than silent, and closes the connection.
func (t *Tunneler) confirmReach(silent netip.AddrPort) {
	defer t.isConfirming.Store(false)
	ctx, cancel := context.WithTimeout(t.closed, dialTimeout)
	defer cancel()
	for _, upstream := range t.likelyUpstreams(1, silent) {
		// Dial records what it reaches; a failure shows in the next call of ConfirmReach.
		if connection, err := t.Dial(ctx, "tcp", upstream.String()); err == nil {
			_ = connection.Close()
		}
	}
}
