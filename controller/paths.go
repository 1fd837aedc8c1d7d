package controller

import "net/netip"

// relayFrom is the number of entries of another data centre from which on one that
// listens, drawn for each message, passes it on to the rest. With fewer a message
// saved is not worth the one lost with a relay that has just died.
const relayFrom = 4

// sharePaths says whom this entry sends a message of load, and how.
type sharePaths struct {
	// near are told directly: listeners of the own data centre, and those of data
	// centres with few entries. own are those of the own data centre.
	near, own []netip.AddrPort
	// far has the live listeners of each other data centre that has many entries, without those
	// that are stopping: any of them passes messages on to the others, which it knows best.
	far [][]netip.AddrPort
}

// pathsOf finds the paths from a data centre to those peers that listen.
func pathsOf(dataCentre string, peers []peer, listens func(peer) bool) sharePaths {
	var paths sharePaths
	live := map[string]int{}
	listeners, direct := map[string][]netip.AddrPort{}, map[string][]netip.AddrPort{}
	for _, p := range peers {
		far := p.dataCentre != dataCentre
		if far && p.relays() {
			live[p.dataCentre]++
		}
		switch {
		case !listens(p):
		case !far:
			paths.own = append(paths.own, p.shares)
		case !p.relays():
			direct[p.dataCentre] = append(direct[p.dataCentre], p.shares)
		default:
			listeners[p.dataCentre] = append(listeners[p.dataCentre], p.shares)
		}
	}
	paths.near = append(paths.near, paths.own...)
	for name, group := range listeners {
		if len(group) == 1 || live[name] < relayFrom {
			paths.near = append(paths.near, group...)
			continue
		}
		paths.far = append(paths.far, group)
		delete(direct, name) // the relay tells them too
	}
	for _, group := range direct {
		paths.near = append(paths.near, group...)
	}
	return paths
}

// count is how many entries are told, those by relays too.
func (p sharePaths) count() int {
	n := len(p.near)
	for _, group := range p.far {
		n += len(group)
	}
	return n
}

// relays reports whether a peer passes messages on. One that is stopping ends without a word.
func (p peer) relays() bool { return !p.dead && !p.stopping }

func everyone(peer) bool { return true }

func places(p peer) bool { return p.places }
