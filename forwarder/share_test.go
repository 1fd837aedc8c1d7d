package forwarder_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/apportioner"
	"github.com/sapphireramp/sapphireramp/dispatcher"
)

// fillEngines places prompts of the organisation crew until one is refused for its share.
func (f *fixture) fillEngines() []*dispatcher.Placement {
	var placed []*dispatcher.Placement
	_, refusal := f.dispatcher.Place(time.Now(), dispatcher.Demand{Service: "lm", PromptTokens: 10, FirstByteTarget: 300 * time.Millisecond, GapTarget: 250 * time.Millisecond, MaxWait: 2 * time.Second})
	f.is.True(refusal == nil) // so that crew is not alone
	d := dispatcher.Demand{Service: "lm", Organisation: apportioner.NewOrganisation("crew"), Rank: apportioner.NewRank(1, 0), PromptTokens: 2000, AnswerTokens: 200, FirstByteTarget: 300 * time.Millisecond, GapTarget: 250 * time.Millisecond, MaxWait: 2 * time.Second}
	for {
		p, refusal := f.dispatcher.Place(time.Now(), d)
		if refusal != nil {
			f.is.Equal(refusal.Reason, dispatcher.ReasonOverShare)
			return placed
		}
		p.RecordFirstByte(time.Now())
		placed = append(placed, p)
	}
}

// Guards against requests over their share that are refused although they can be placed in time, and against later ones
// of the organisation that overtake them.
func TestRequestsOverTheirShareWaitInOrder(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		placed := f.fillEngines()
		var running sync.WaitGroup
		answers := make([]answer, 2)
		for i := range answers {
			running.Go(func() {
				time.Sleep(time.Duration(i*10) * time.Millisecond)
				answers[i] = f.ask(request{path: "/stream/x", id: fmt.Sprint("wait", i), usage: "2000,200"})
			})
		}
		time.Sleep(20 * time.Millisecond)
		for _, p := range placed[:len(placed)/2] {
			p.End(time.Now(), dispatcher.Answered)
		}
		running.Wait()
		f.is.Equal(answers[0].status, 200)
		f.is.Equal(answers[1].status, 200)
		began := map[string]time.Time{}
		for _, e := range f.engines {
			for _, x := range e.Executions() {
				began[x.RequestID] = x.Began
			}
		}
		f.is.True(!began["wait1"].Before(began["wait0"]))
	})
}

// Guards against requests that wait in vain: those behind as many as are served in time are refused at once, and all
// are told that they have not run. One of a more urgent organisation is served meanwhile.
func TestRequestsOverTheirShareAreRefused(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		f.fillEngines()
		var running sync.WaitGroup
		answers := make([]answer, 12)
		for i := range answers {
			running.Go(func() { answers[i] = f.ask(request{path: "/stream/x", id: fmt.Sprint("over", i), usage: "2000,200"}) })
		}
		time.Sleep(5 * time.Millisecond)
		f.is.Equal(f.ask(request{path: "/stream/x", id: "urgent", key: "urgent", usage: "2000,200"}).status, 200)
		running.Wait()
		atOnce, waited := 0, 0
		for _, a := range answers {
			f.is.Equal(a.status, 503)
			f.is.True(strings.Contains(a.body, dispatcher.ReasonOverShare))
			f.is.Equal(a.header.Get("Retry-After"), "0.200")
			if a.duration < 10*time.Millisecond {
				atOnce++
			}
			if a.duration > 37*time.Millisecond {
				waited++
			}
		}
		f.is.True(atOnce > 0)
		f.is.True(waited > 0)
		f.is.Equal(atOnce+waited, len(answers))
	})
}
