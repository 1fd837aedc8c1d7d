// Package drainer tracks which upstreams are leaving, that is, will exit and must get no new requests. One
// notice from any source is enough. It stays valid until a later incarnation of the upstream reports
// itself: an outdated instance list that still shows the old incarnation as live does not make the
// upstream usable again.
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
	// incarnation is the highest incarnation of the upstream that was reported so far, 0 if none was; it
	// never decreases.
	incarnation uint64
	// leavingIncarnation is the highest incarnation that was reported to be leaving; all lower ones are
	// leaving too. It is valid if leaving is true.
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

// ensureUpstream returns the state of the upstream with a name, and adds an empty state if there is none.
func (d *Drainer) ensureUpstream(name string) *upstream {
	u, ok := d.upstreams[name]
	if !ok {
		u = &upstream{}
		d.upstreams[name] = u
	}
	return u
}

// UpdateList replaces the instance list. Upstreams that do not have the state api.InstanceLive in the new
// list are leaving, also those that only an earlier list contained. Instances of the kind api.KindEntry
// are ignored. UpdateList returns the names of the upstreams that leave by the new list and were not
// leaving before, also those that are listed for the first time.
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

// MarkLeaving records that an incarnation of an upstream and all lower ones are leaving. It returns false
// if that had been recorded before.
func (d *Drainer) MarkLeaving(name string, incarnation uint64) bool {
	u := d.ensureUpstream(name)
	u.incarnation = max(u.incarnation, incarnation)
	if u.leaving && incarnation <= u.leavingIncarnation {
		return false
	}
	u.markLeaving(incarnation)
	return true
}

// ObserveIncarnation records an incarnation that the upstream itself reported. An incarnation above all
// that were reported to be leaving makes the upstream usable again, unless the latest instance list
// does not show it as live.
func (d *Drainer) ObserveIncarnation(name string, incarnation uint64) {
	u := d.ensureUpstream(name)
	u.incarnation = max(u.incarnation, incarnation)
}

// IsUsable reports whether new requests may be sent to an upstream: the latest instance list shows it as
// live, and its highest incarnation reported so far is not leaving.
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

// LatestIncarnation returns the highest incarnation of an upstream that was reported so far, 0 if none
// was.
func (d *Drainer) LatestIncarnation(name string) uint64 {
	u, ok := d.upstreams[name]
	if !ok {
		return 0
	}
	return u.incarnation
}
