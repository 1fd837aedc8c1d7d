package prober

import (
	"time"

	"github.com/sapphireramp/sapphireramp/api"
)

// knownNotice is a notice that was received from another entry or created by this one.
type knownNotice struct {
	notice api.Notice
	// sendsLeft is the number of heartbeats with which the notice is still to be sent.
	sendsLeft int
	// lastReceived is the time at which the notice was last received, or was created.
	lastReceived time.Time
}

// isSpreading reports whether a notice about a member is still to be sent with heartbeats.
func (p *Prober) isSpreading(m *Member) bool {
	for n, k := range p.notices {
		if n.Name == m.Name && k.sendsLeft > 0 {
			return true
		}
	}
	return false
}

// ReceiveNotice processes a notice about an instance, and returns the resulting changes of state. A
// notice that was not received or created within noticeTTL (5 minutes) is queued for the next
// heartbeats and applied to the member that it is about. If it is about this entry or an instance
// that is no entry, it is only queued; if it is about an entry that is not a member, it is ignored.
func (p *Prober) ReceiveNotice(now time.Time, n api.Notice) []Change {
	if max(len(n.Name), len(n.Kind), len(n.State)) > maxNameBytes {
		return nil
	}
	if k, known := p.notices[n]; known {
		k.lastReceived = now
		return nil
	}
	if n.Kind != api.KindEntry || n.Name == p.config.Name {
		p.queueNotice(now, n)
		return nil
	}
	m, ok := p.members[n.Name]
	if !ok {
		return nil // repeated notices are processed once the entry is a member
	}
	p.queueNotice(now, n)
	if n.Incarnation < m.Incarnation {
		return nil
	}
	if n.Incarnation > m.Incarnation {
		// The incarnation is new, and this entry has received no heartbeat from it.
		m.Incarnation, m.noticeSequence, m.LastHeartbeat = n.Incarnation, 0, time.Time{}
	} else if p.isOutdated(m, n) {
		return nil
	}
	m.noticeSequence = n.Sequence
	if n.State == api.NoticeLeaving {
		m.Ready = false
		return p.setState(m, Stopping, "notice")
	}
	// A recent heartbeat takes precedence over a notice of death, and is announced to refute it.
	isRecent := !m.LastHeartbeat.IsZero() && now.Sub(m.LastHeartbeat) < p.config.SuspectAfter
	if isRecent && n.State == api.NoticeDead {
		p.announce(now, m, api.NoticeLive)
		return nil
	}
	if n.State == api.NoticeDead {
		m.Ready = false
		return p.setState(m, Dead, "notice")
	}
	if m.State == Live {
		m.Ready = m.Ready || n.Ready // an incarnation stays ready until it shuts down
		return nil
	}
	m.Ready = n.Ready
	return p.setState(m, Listed, "notice")
}

// isOutdated reports whether a notice about a member's current incarnation must not be applied,
// because newer ones were, or because it reports a stopping member as live or as stopping: an
// incarnation that shuts down is never live again. Of two notices with the same sequence number, one
// of a death takes precedence: an entry that still receives heartbeats from the member refutes it by
// a notice with the next sequence number.
func (p *Prober) isOutdated(m *Member, n api.Notice) bool {
	if n.State == api.NoticeLeaving || m.State == Stopping && n.State == api.NoticeLive {
		return m.State == Stopping
	}
	if n.Sequence == m.noticeSequence {
		return n.State != api.NoticeDead
	}
	return n.Sequence < m.noticeSequence
}

// announce creates a notice that a member is in the given state, one of the api.Notice constants,
// with the next sequence number, and queues it for the next heartbeats.
func (p *Prober) announce(now time.Time, m *Member, state string) {
	m.noticeSequence++
	p.queueNotice(now, api.Notice{Kind: api.KindEntry, Name: m.Name, Incarnation: m.Incarnation, State: state, Sequence: m.noticeSequence, Ready: m.Ready})
}

// queueNotice records a notice as received now, and queues it for the next heartbeats. It does nothing if there are
// maxKnownNotices already.
func (p *Prober) queueNotice(now time.Time, n api.Notice) {
	if len(p.notices) >= maxKnownNotices {
		return
	}
	p.notices[n] = &knownNotice{notice: n, sendsLeft: noticeRounds * p.config.Neighbours, lastReceived: now}
}

// HasNotice reports whether an identical notice was received or created within the last 5 minutes
// (noticeTTL). It returns false for a notice that ReceiveNotice ignored.
func (p *Prober) HasNotice(n api.Notice) bool {
	_, ok := p.notices[n]
	return ok
}

// TakeNotices returns up to 16 (maxNotices) notices to send with the next heartbeat. Each call uses
// up one of the limited number of times that each of them is sent.
func (p *Prober) TakeNotices() []api.Notice {
	var out []api.Notice
	for _, k := range p.notices {
		if k.sendsLeft <= 0 || len(out) == maxNotices {
			continue
		}
		k.sendsLeft--
		out = append(out, k.notice)
	}
	return out
}
