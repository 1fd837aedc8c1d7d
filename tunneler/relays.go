package tunneler

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/assigner"
)

const (
	// relaysPerDataCentre is the number of relays that an entry uses for the upstreams of a data centre. With
	// more, cut off entries of a large fleet would have connections to all others.
	relaysPerDataCentre = 4
	// relayChoices is the number of relays from which these are taken, so that some can be avoided.
	relayChoices = 3 * relaysPerDataCentre
	// avoidTime is the time for which a relay that was not able to serve is asked last.
	avoidTime = time.Second
)

// Relay is another entry through which upstreams may be reached.
type Relay struct {
	Name string
	// Address is where the entry accepts the calls of others.
	Address    netip.AddrPort
	DataCentre string
	// Region is the region of DataCentre; empty if unknown.
	Region string
}

// relayHealth holds the relays to avoid. It is safe for concurrent use.
type relayHealth struct {
	lock sync.Mutex
	// avoidUntil holds, by name, the time until which each relay is asked last.
	avoidUntil map[string]time.Time
}

// avoid makes a relay be asked last for avoidTime.
func (h *relayHealth) avoid(now time.Time, relay string) {
	h.lock.Lock()
	defer h.lock.Unlock()
	for name, until := range h.avoidUntil {
		if now.After(until) {
			delete(h.avoidUntil, name)
		}
	}
	h.avoidUntil[relay] = now.Add(avoidTime)
}

// isAvoided reports whether a relay is to be asked last.
func (h *relayHealth) isAvoided(now time.Time, relay string) bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	return now.Before(h.avoidUntil[relay])
}

// relaysFor returns up to maxRelaysPerDial relays for a connection to an upstream, in the order in which to ask
// them: at random from relaysPerDataCentre of those in the data centre of this entry or of the upstream, which
// rendezvous hashing draws for this entry. Through these, bytes cross no more data centres than directly.
// Relays of other data centres are used where these have too few. Those to avoid come last, and are replaced by
// others of relayChoices. Relays that the context forbids are not used (see WithRelayRegions).
func (t *Tunneler) relaysFor(ctx context.Context, now time.Time, upstream netip.AddrPort) []Relay {
	upstreamDataCentre, _ := t.dataCentreOf(upstream)
	type candidate struct {
		Relay
		isRemote, isAvoided bool
		weight              uint64
	}
	var candidates []candidate
	for _, relay := range t.config.Relays() {
		if !mayUse(ctx, relay) {
			continue
		}
		candidates = append(candidates, candidate{
			Relay: relay, isRemote: relay.DataCentre != t.config.DataCentre && relay.DataCentre != upstreamDataCentre,
			isAvoided: t.relayHealth.isAvoided(now, relay.Name), weight: assigner.Weight(relay.Name, t.config.Name),
		})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(compareBools(a.isRemote, b.isRemote), cmp.Compare(b.weight, a.weight))
	})
	candidates = candidates[:min(len(candidates), relayChoices)]
	slices.SortStableFunc(candidates, func(a, b candidate) int { return compareBools(a.isAvoided, b.isAvoided) })
	candidates = candidates[:min(len(candidates), relaysPerDataCentre)]
	rand.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(compareBools(a.isAvoided, b.isAvoided), compareBools(a.isRemote, b.isRemote))
	})
	var out []Relay
	for _, c := range candidates[:min(len(candidates), maxRelaysPerDial)] {
		out = append(out, c.Relay)
	}
	return out
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

type relayRegionsKey struct{}

// WithRelayRegions returns a context for Dial whose connection goes only through relays in regions for which allows
// returns true, as relays read the bytes that they forward. Without it, relays of all regions are used.
func WithRelayRegions(ctx context.Context, allows func(region string) bool) context.Context {
	return context.WithValue(ctx, relayRegionsKey{}, allows)
}

// mayUse reports whether the connection of a context may go through a relay.
func mayUse(ctx context.Context, relay Relay) bool {
	allows, ok := ctx.Value(relayRegionsKey{}).(func(string) bool)
	return !ok || allows(relay.Region)
}
