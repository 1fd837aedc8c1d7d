// Package drainer remembers which upstreams are leaving. Word from any one
// source is enough, and it holds until the upstream returns as a new
// incarnation: a lagging list that still shows an upstream as live does not
// bring it back.
package drainer

import "github.com/sapphireramp/sapphireramp/api"

// Source of the notice that an upstream is leaving.
type Source string

// The sources.
const (
	FromList     Source = "list"
	FromUpstream Source = "upstream"
	FromPeer     Source = "peer"
)

type upstream struct {
	// incarnation is the greatest heard of; it never goes back.
	incarnation uint64
	// leavingIncarnation is the greatest incarnation known to be leaving.
	leavingIncarnation uint64
	leaving            bool
	// listLeaving is what the newest list said.
	listLeaving bool
	listed      bool
}

// Drainer holds the belief about upstreams. It is not safe for concurrent use.
type Drainer struct {
	upstreams map[string]*upstream
}

// New returns a drainer that knows of no upstream.
func New() *Drainer {
	return &Drainer{upstreams: map[string]*upstream{}}
}

func (d *Drainer) ensureUpstream(name string) *upstream {
	u, ok := d.upstreams[name]
	if !ok {
		u = &upstream{}
		d.upstreams[name] = u
	}
	return u
}

// UpdateList takes over the upstreams of an instance list. An upstream that was
// listed and is no longer counts as leaving. It returns the names that began
// to leave.
func (d *Drainer) UpdateList(instances []api.Instance) []string {
	states := make(map[string]string, len(instances))
	for _, i := range instances {
		if i.Kind == api.KindEntry {
			continue
		}
		states[i.Name] = i.State
		d.ensureUpstream(i.Name).listed = true
	}
	var startedLeaving []string
	for name, u := range d.upstreams {
		if !u.listed {
			continue
		}
		wasLeaving := !d.IsUsable(name)
		u.listLeaving = states[name] != api.InstanceLive
		if u.listLeaving {
			u.markLeaving(u.incarnation)
		}
		if u.listLeaving && !wasLeaving {
			startedLeaving = append(startedLeaving, name)
		}
	}
	return startedLeaving
}

func (u *upstream) markLeaving(incarnation uint64) {
	u.leaving = true
	u.leavingIncarnation = max(u.leavingIncarnation, incarnation)
}

// MarkLeaving takes in word that an incarnation of an upstream is leaving, and
// reports whether that was news.
func (d *Drainer) MarkLeaving(name string, incarnation uint64) bool {
	u := d.ensureUpstream(name)
	u.incarnation = max(u.incarnation, incarnation)
	if u.leaving && incarnation <= u.leavingIncarnation {
		return false
	}
	u.markLeaving(incarnation)
	return true
}

// ObserveIncarnation takes in the incarnation that an upstream itself reported.
func (d *Drainer) ObserveIncarnation(name string, incarnation uint64) {
	u := d.ensureUpstream(name)
	u.incarnation = max(u.incarnation, incarnation)
}

// IsUsable reports whether new work may be sent to the upstream. An upstream
// never listed is not usable.
func (d *Drainer) IsUsable(name string) bool {
	u, ok := d.upstreams[name]
	if !ok || !u.listed || u.listLeaving {
		return false
	}
	return !u.leaving || u.incarnation > u.leavingIncarnation
}

// WasListed reports whether any list ever named the upstream.
func (d *Drainer) WasListed(name string) bool {
	u, ok := d.upstreams[name]
	return ok && u.listed
}

// LatestIncarnation is the greatest incarnation heard of, 0 when none.
func (d *Drainer) LatestIncarnation(name string) uint64 {
	u, ok := d.upstreams[name]
	if !ok {
		return 0
	}
	return u.incarnation
}
