package prober

import (
	"net/netip"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
)

// Report is what another entry knows of a member that it believes to be running.
type Report struct {
	Name                 string
	Incarnation          uint64
	Address, PeerAddress netip.AddrPort
	DataCentre           string
	// Ready is true if the member accepts callers.
	Ready bool
}

// ReceiveReport processes what another entry knows of a member, and returns the resulting changes of
// state. It adds a member that is new, or sets one to Listed of which the report names a later
// incarnation. A report of an incarnation that this entry knows to be dead is outdated: the notice of its
// death is sent again, since whoever made the report joined the fleet too late to receive it. If this entry
// declared the death while it heard from nobody, the report takes precedence.
func (p *Prober) ReceiveReport(now time.Time, r Report) []Change {
	if r.Name == p.config.Name || max(len(r.Name), len(r.DataCentre)) > maxNameBytes {
		return nil
	}
	m, ok := p.ensureMember(r.Name, false)
	if !ok {
		return nil
	}
	m.isListed = true
	switch {
	case r.Incarnation < m.Incarnation, m.State == Stopping && r.Incarnation == m.Incarnation:
		return nil
	case r.Incarnation == m.Incarnation && m.State == Dead && m.isDeathUncertain:
		m.isDeathUncertain, m.unanswered, m.LastHeartbeat = false, 0, time.Time{}
	case r.Incarnation == m.Incarnation && m.State == Dead:
		if !p.isSpreading(m) {
			p.announce(now, m, api.NoticeDead)
		}
		return nil
	case r.Incarnation > m.Incarnation:
		m.isDeathUncertain = false
		m.Incarnation, m.noticeSequence, m.LastHeartbeat, m.unanswered, m.Ready = r.Incarnation, 0, time.Time{}, 0, false
	}
	m.Ready = m.Ready || r.Ready
	if !m.LastHeartbeat.IsZero() {
		return nil
	}
	m.Address, m.PeerAddress, m.DataCentre = r.Address, r.PeerAddress, r.DataCentre
	return p.setState(m, Listed, "report")
}
