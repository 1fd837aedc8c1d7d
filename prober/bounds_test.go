package prober_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/prober"
)

func newProber() *prober.Prober {
	return prober.New(prober.Config{Name: "own", Incarnation: 1, Neighbours: 4, SuspectAfter: time.Second})
}

// Guards against members that others name without an end. An entry that sends heartbeats itself displaces one that was only
// named, and a dead member makes room for any.
func TestMembersAreBounded(t *testing.T) {
	is := is.New(t)
	p, now := newProber(), time.Unix(1000, 0)
	for n := range prober.MaxMembers + 100 {
		p.ReceiveReport(now, prober.Report{Name: fmt.Sprintf("reported-%d", n), Incarnation: 1})
	}
	is.Equal(p.Count(), prober.MaxMembers)
	for n := range prober.MaxMembers + 100 {
		p.ReceiveHeartbeat(now, api.Heartbeat{From: fmt.Sprintf("heard-%d", n), Incarnation: 1})
	}
	is.Equal(p.Count(), prober.MaxMembers)
	_, isHeard := p.Find("heard-0")
	_, isReported := p.Find("reported-0")
	is.True(isHeard && !isReported)
	_, isLate := p.Find(fmt.Sprintf("heard-%d", prober.MaxMembers))
	is.True(!isLate) // all members have sent heartbeats
	p.ReceiveNotice(now.Add(2*time.Second), api.Notice{Kind: api.KindEntry, Name: "heard-7", Incarnation: 1, State: api.NoticeDead, Sequence: 1})
	p.ReceiveReport(now, prober.Report{Name: "reported", Incarnation: 1})
	_, isDead := p.Find("heard-7")
	_, isReported = p.Find("reported")
	is.True(!isDead && isReported)
}

// Guards against names and notices that take memory without a bound.
func TestNamesAndNoticesAreBounded(t *testing.T) {
	is := is.New(t)
	p, now := newProber(), time.Unix(1000, 0)
	long := strings.Repeat("x", 300)
	p.ReceiveHeartbeat(now, api.Heartbeat{From: long, Incarnation: 1})
	p.ReceiveReport(now, prober.Report{Name: "a", DataCentre: long})
	is.Equal(p.Count(), 0)
	notice := func(n int) api.Notice {
		return api.Notice{Kind: "engine", Name: fmt.Sprint(n), Incarnation: 1, State: api.NoticeLive}
	}
	p.ReceiveNotice(now, api.Notice{Kind: "engine", Name: long, State: api.NoticeLive})
	for n := range 5 * prober.MaxMembers {
		p.ReceiveNotice(now, notice(n))
	}
	kept := 0
	for n := range 5 * prober.MaxMembers {
		if p.HasNotice(notice(n)) {
			kept++
		}
	}
	is.Equal(kept, 4*prober.MaxMembers)
	p.Tick(now.Add(10 * time.Minute))
	is.True(!p.HasNotice(notice(0)))
}
