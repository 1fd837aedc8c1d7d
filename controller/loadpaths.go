package controller

import "net/netip"

// minRelayEntries is the minimum number of entries, neither dead nor stopping, of another data
// centre at which load updates are relayed there: each is sent to a random one of them, which sends
// it to the others. With fewer entries the messages saved do not outweigh those lost with a relay
// that has just died.
const minRelayEntries = 4

// loadPaths holds the peers that a load update is to reach: those to send it to directly, and
// those that receive it through a relay in their data centre.
type loadPaths struct {
	// direct holds the addresses of the peers to send to directly: those in local, those in
	// data centres without relays, and the dead and stopping ones there. local holds the
	// addresses of the peers in this entry's data centre.
	direct, local []netip.AddrPort
	// relayed has an element for each other data centre with relays: the addresses of the
	// peers there that are neither dead nor stopping. Each of these can relay a message to the
	// other peers of its data centre, including dead and stopping ones, because its view of
	// its own data centre is the most recent.
	relayed [][]netip.AddrPort
}

// buildLoadPaths returns the paths of load updates from an entry in a data centre to the peers for
// which accepts returns true. It uses relays in another data centre if that has at least
// minRelayEntries possible relays, of which accepts returns true for at least two.
func buildLoadPaths(dataCentre string, peers []peer, accepts func(peer) bool) loadPaths {
	var paths loadPaths
	relayCounts := map[string]int{}
	relayCandidates, nonRelays := map[string][]netip.AddrPort{}, map[string][]netip.AddrPort{}
	for _, p := range peers {
		remote := p.dataCentre != dataCentre
		if remote && p.canRelay() {
			relayCounts[p.dataCentre]++
		}
		switch {
		case !accepts(p):
		case !remote:
			paths.local = append(paths.local, p.loadAddress)
		case !p.canRelay():
			nonRelays[p.dataCentre] = append(nonRelays[p.dataCentre], p.loadAddress)
		default:
			relayCandidates[p.dataCentre] = append(relayCandidates[p.dataCentre], p.loadAddress)
		}
	}
	paths.direct = append(paths.direct, paths.local...)
	for name, group := range relayCandidates {
		if len(group) == 1 || relayCounts[name] < minRelayEntries {
			paths.direct = append(paths.direct, group...)
			continue
		}
		paths.relayed = append(paths.relayed, group)
		delete(nonRelays, name) // the relay sends to them too
	}
	for _, group := range nonRelays {
		paths.direct = append(paths.direct, group...)
	}
	return paths
}

// count returns the number of peers in direct and relayed. It omits the dead and stopping peers
// of data centres with relays.
func (p loadPaths) count() int {
	n := len(p.direct)
	for _, group := range p.relayed {
		n += len(group)
	}
	return n
}

// canRelay reports whether a peer may relay load updates: it is neither dead nor stopping. A
// stopping peer may exit at any moment, and updates on their way to it would be lost.
func (p peer) canRelay() bool { return !p.dead && !p.stopping }

// anyPeer returns true. As a filter for buildLoadPaths, it accepts every peer.
func anyPeer(peer) bool { return true }

// isPlacing returns p.placing, as a filter for buildLoadPaths.
func isPlacing(p peer) bool { return p.placing }
