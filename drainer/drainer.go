// Package drainer tracks which upstreams are leaving. A notice from any one source is enough to stop
// sending work to an upstream, and stays valid until a new incarnation of the upstream appears: an
// outdated instance list that still shows the old incarnation as live does not make it usable again.
package drainer

import "github.com/sapphireramp/sapphireramp/api"

// Source is the origin of a notice that an upstream is leaving.
type Source string

// Sources of leaving notices.
const (
	// FromList means that the instance list shows the upstream as leaving, or no longer contains
	// it.
	FromList Source = "list"
	// FromUpstream means that the upstream itself reported that it is leaving.
	FromUpstream Source = "upstream"
	// FromPeer means that another entry reported that the upstream is leaving.
	FromPeer Source = "peer"
)

// upstream is the state kept of one upstream.
type upstream struct {
	// incarnation is the latest known incarnation, 0 if none is known; it never decreases.
	incarnation uint64
	// leavingIncarnation is the latest incarnation known to be leaving, valid if leaving is true.
	leavingIncarnation uint64
	// leaving is true once any incarnation was reported to be leaving; it is never reset.
	leaving bool
	// listLeaving is true if the latest instance list shows the upstream as leaving or does not
	// contain it.
	listLeaving bool
	// listed is true once any instance list has contained the upstream; it is never reset.
	listed bool
}

// Drainer tracks which upstreams are leaving. It is not safe for concurrent use.
type Drainer struct {
	upstreams map[string]*upstream
}

// New returns a Drainer without upstreams.
func New() *Drainer {
	return &Drainer{upstreams: map[string]*upstream{}}
}

// ensureUpstream returns the state of an upstream, and adds it if it is new.
func (d *Drainer) ensureUpstream(name string) *upstream {
	u, ok := d.upstreams[name]
	if !ok {
		u = &upstream{}
		d.upstreams[name] = u
	}
	return u
}

// UpdateList replaces the instance list. Upstreams that are not live in the new list count as leaving,
// also those that only an earlier list contained. Instances of the kind api.KindEntry are ignored.
// UpdateList returns the names of the upstreams that the new list makes unusable.
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

// markLeaving records that an incarnation and all earlier ones are leaving.
func (u *upstream) markLeaving(incarnation uint64) {
	u.leaving = true
	u.leavingIncarnation = max(u.leavingIncarnation, incarnation)
}

// MarkLeaving records that an incarnation of an upstream is leaving. It returns false if that was
// known before.
func (d *Drainer) MarkLeaving(name string, incarnation uint64) bool {
	u := d.ensureUpstream(name)
	u.incarnation = max(u.incarnation, incarnation)
	if u.leaving && incarnation <= u.leavingIncarnation {
		return false
	}
	u.markLeaving(incarnation)
	return true
}

// ObserveIncarnation records an incarnation that the upstream itself reported. An incarnation later
// than the one known to be leaving makes the upstream usable again, unless the latest list shows the
// upstream as leaving.
func (d *Drainer) ObserveIncarnation(name string, incarnation uint64) {
	u := d.ensureUpstream(name)
	u.incarnation = max(u.incarnation, incarnation)
}

// IsUsable reports whether new work may be sent to an upstream: the latest list shows it as live,
// and its latest incarnation is not leaving.
func (d *Drainer) IsUsable(name string) bool {
	u, ok := d.upstreams[name]
	if !ok || !u.listed || u.listLeaving {
		return false
	}
	return !u.leaving || u.incarnation > u.leavingIncarnation
}

// WasListed reports whether any instance list so far has contained the upstream.
func (d *Drainer) WasListed(name string) bool {
	u, ok := d.upstreams[name]
	return ok && u.listed
}

// LatestIncarnation returns the latest known incarnation of an upstream, 0 if none is known.
func (d *Drainer) LatestIncarnation(name string) uint64 {
	u, ok := d.upstreams[name]
	if !ok {
		return 0
	}
	return u.incarnation
}
