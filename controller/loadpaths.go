package controller

import "net/netip"

// minRelayEntries is the number of live entries of another data centre from which on a load
// update goes to one of them, chosen at random per message, that relays it to the others. With
// fewer entries the messages saved do not outweigh those lost with a relay that has just died.
const minRelayEntries = 4

// loadPaths holds the destinations of a load update and how each is reached.
type loadPaths struct {
	// direct are the peers to send to directly: those in the own data centre, and those
	// in data centres with few entries. local are those in the own data centre.
	direct, local []netip.AddrPort
	// relayed has an element for each other data centre with many entries: its peers that
	// are live and not stopping. Any of them relays a message to the others of its data
	// centre, about which it is informed best.
	relayed [][]netip.AddrPort
}

// buildLoadPaths returns the paths from a data centre to those peers that accepts selects.
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
