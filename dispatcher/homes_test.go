package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/matcher"
)

// homesOf returns home regions of a route.
func homesOf(regions ...string) matcher.Homes {
	return matcher.HomesOf(&matcher.Route{AllowedRegions: regions}, nil)
}

// newRegionDispatcher returns a dispatcher in front of engines and plain upstreams, three of each in each of the data
// centres dc-a, dc-b and dc-unknown. The first two are in the regions a and b.
func newRegionDispatcher(t *testing.T) *Dispatcher {
	table, err := matcher.New(matcher.Config{Services: []matcher.Service{{Name: "lm", Engine: &testEngine}, {Name: "app"}}})
	is.New(t).NoErr(err)
	b := New("dc-b", rand.New(rand.NewPCG(1, 2)))
	b.SetRegions(map[string]string{"dc-a": "a", "dc-b": "b"})
	var instances []Instance
	for _, dataCentre := range []string{"dc-a", "dc-b", "dc-unknown"} {
		for i := range 3 {
			for _, service := range []string{"lm", "app"} {
				instances = append(instances, Instance{ID: fmt.Sprintf("%s-%s-%d", service, dataCentre, i), Service: service, DataCentre: dataCentre, Slots: 16})
			}
		}
	}
	b.UpdateUpstreams(table, instances)
	return b
}

// Guards against upstreams outside of the home regions that get a request: the first attempt, a later one, one that is
// tried alone, or a shard of a long prompt, though the only upstreams at home are loaded.
func TestUpstreamsOutsideOfHomesGetNothing(t *testing.T) {
	is := is.New(t)
	b := newRegionDispatcher(t)
	now := time.Now()
	helpers := 0
	for n := range 400 {
		d := Demand{Service: "app", Homes: homesOf("a"), FirstByteTarget: time.Second, MaxWait: time.Minute, Isolated: n%5 == 0, SentBefore: n%3 == 0}
		if n%2 == 0 {
			d.Service, d.PromptTokens, d.AnswerTokens, d.GapTarget = "lm", 2000+n%4*50000, 200, 250*time.Millisecond
		}
		p, refusal := b.Place(now, d)
		now = now.Add(20 * time.Millisecond)
		if refusal != nil {
			continue
		}
		helpers += len(p.Helpers)
		for _, i := range append(p.Helpers, p.First) {
			is.Equal(i.DataCentre, "dc-a")
		}
		if n > 20 {
			p.End(now, Answered)
		}
	}
	is.True(helpers > 0) // prompts were split
}

// Guards against a restriction of requests without home regions.
func TestRequestsWithoutHomesUseAllRegions(t *testing.T) {
	is := is.New(t)
	b := newRegionDispatcher(t)
	used := map[string]bool{}
	for range 200 {
		p, refusal := b.Place(time.Now(), Demand{Service: "app"})
		is.True(refusal == nil)
		used[p.First.DataCentre] = true
	}
	is.Equal(len(used), 3)
}

// Guards against a refusal that names another cause, or a time of upstreams that the request may not use.
func TestRefusalWithoutUpstreamAtHome(t *testing.T) {
	is := is.New(t)
	b := newRegionDispatcher(t)
	_, refusal := b.Place(time.Now(), Demand{Service: "app", Homes: homesOf("c")})
	is.Equal(refusal.Reason, ReasonNoUpstreamAtHome)
	is.Equal(refusal.RetryAfter, maxRetryAfter)
	_, refusal = b.Place(time.Now(), Demand{Service: "none", Homes: homesOf("c")})
	is.Equal(refusal.Reason, "no_upstream")
	for i := range 3 {
		id := fmt.Sprintf("app-dc-a-%d", i)
		b.SetBackoff(b.upstreams[id].instance, time.Now().Add(2*time.Second))
		id = fmt.Sprintf("app-dc-b-%d", i)
		b.SetBackoff(b.upstreams[id].instance, time.Now().Add(100*time.Millisecond))
	}
	_, refusal = b.Place(time.Now(), Demand{Service: "app", Homes: homesOf("a")})
	is.Equal(refusal.Reason, "upstreams_pause")
	is.True(refusal.RetryAfter > time.Second)
}
