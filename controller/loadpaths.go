package controller

import "net/netip"

// minRelayEntries is the number of live entries that another data centre must have for load
// updates to be relayed there: each goes to one entry, chosen at random, which sends it on to the
// others. With fewer entries the messages saved do not outweigh those lost with a relay that has
// just died.
const minRelayEntries = 4

// loadPaths holds the destinations of a load update and how each is reached.
type loadPaths struct {
	// direct are the addresses of the peers to send to directly: those in the own data
	// centre and in data centres with few entries. local are those in the own data centre.
	direct, local []netip.AddrPort
	// relayed has an element for each other data centre with many entries: the peers there
	// that are neither dead nor stopping. Any of them can relay a message to the rest of
	// its data centre, whose entries it knows best.
	relayed [][]netip.AddrPort
}

// buildLoadPaths returns the paths from a data centre to the peers for which accepts is true.
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

// count returns the number of destinations, including those behind relays.
func (p loadPaths) count() int {
	n := len(p.direct)
	for _, group := range p.relayed {
		n += len(group)
	}
	return n
}

// canRelay reports whether a peer may relay messages. A stopping peer may exit at any time
// unannounced, so that messages to relay would be lost.
func (p peer) canRelay() bool { return !p.dead && !p.stopping }

// anyPeer selects every peer.
func anyPeer(peer) bool { return true }

// isPlacing selects the peers that place requests.
func isPlacing(p peer) bool { return p.placing }
