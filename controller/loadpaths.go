package controller

import "net/netip"

// minRelayEntries is the number of entries of another data centre from which on one that
// listens, drawn for each message, passes it on to the rest. With fewer a message
// saved is not worth the one lost with a relay that has just died.
const minRelayEntries = 4

// loadPaths says whom this entry sends a message of load, and how.
type loadPaths struct {
	// direct are told directly: listeners of the own data centre, and those of data
	// centres with few entries. own are those of the own data centre.
	direct, local []netip.AddrPort
	// relayed has the live listeners of each other data centre that has many entries, without those
	// that are stopping: any of them passes messages on to the others, which it knows best.
	relayed [][]netip.AddrPort
}

// buildLoadPaths finds the paths from a data centre to those peers that listen.
func buildLoadPaths(dataCentre string, peers []peer, accepts func(peer) bool) loadPaths {
	var paths loadPaths
	relays := map[string]int{}
	listeners, nonRelays := map[string][]netip.AddrPort{}, map[string][]netip.AddrPort{}
	for _, p := range peers {
		remote := p.dataCentre != dataCentre
		if remote && p.canRelay() {
			relays[p.dataCentre]++
		}
		switch {
		case !accepts(p):
		case !remote:
			paths.local = append(paths.local, p.loadAddress)
		case !p.canRelay():
			nonRelays[p.dataCentre] = append(nonRelays[p.dataCentre], p.loadAddress)
		default:
			listeners[p.dataCentre] = append(listeners[p.dataCentre], p.loadAddress)
		}
	}
	paths.direct = append(paths.direct, paths.local...)
	for name, group := range listeners {
		if len(group) == 1 || relays[name] < minRelayEntries {
			paths.direct = append(paths.direct, group...)
			continue
		}
		paths.relayed = append(paths.relayed, group)
		delete(nonRelays, name) // the relay tells them too
	}
	for _, group := range nonRelays {
		paths.direct = append(paths.direct, group...)
	}
	return paths
}

// count is how many entries are told, those by relays too.
func (p loadPaths) count() int {
	n := len(p.direct)
	for _, group := range p.relayed {
		n += len(group)
	}
	return n
}

// canRelay reports whether a peer passes messages on. One that is stopping ends without a word.
func (p peer) canRelay() bool { return !p.dead && !p.stopping }

func anyPeer(peer) bool { return true }

func isPlacing(p peer) bool { return p.placing }
