package server

import (
	"context"
	"errors"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/client"
)

// groupResumeTime is the longest time that the tests allow for what is not the answer itself: two prefills, the
// detection of the failure and a new group, but no wait for room.
const groupResumeTime = 8 * time.Second

// groupPrompt returns a prompt that needs the memory of three engines. Its answer takes 20 s.
func groupPrompt() api.CompletionRequest {
	return api.CompletionRequest{Model: "model", Prompt: strings.Repeat("word", 40_000), MaxTokens: 1000}
}

// withGroupAnswer runs a function while the first entry streams the answer to groupPrompt, and checks that the
// answer is complete. Interrupt gets the engines of the group, the one that streams first. The results are the
// log of the entry and the time that the answer took.
func withGroupAnswer(t *testing.T, engines int, interrupt func(f *testFleet, group []*testEngine)) (log string, took time.Duration) {
	t.Helper()
	withTestFleet(t, 2, engines, func(f *testFleet) {
		is := is.New(t)
		entry := f.restartWithLog()
		var result client.Result
		var err error
		answered := make(chan struct{})
		asked := time.Now()
		go func() {
			defer close(answered)
			result, err = f.directClient(entry, 1).Complete(context.Background(), groupPrompt(), client.Options{Timeout: 100 * time.Second}, nil)
		}()
		time.Sleep(5 * time.Second)
		group := slices.DeleteFunc(slices.Clone(f.engines), func(e *testEngine) bool { return f.engineReport(e).UsedTokens == 0 })
		is.Equal(len(group), 3)
		interrupt(f, group)
		<-answered
		took = time.Since(asked)
		is.NoErr(err)
		is.Equal(result.Text, wholeAnswer(groupPrompt()))
		log = f.log.String()
	})
	return log, took
}

// Guards against a prompt that is refused as too long, although a group of all engines can hold it: the engine that
// streamed is not chosen again for the next attempt, and the others are too few. All have recovered.
func TestGroupOfAllEnginesIsResumed(t *testing.T) {
	is := is.New(t)
	log, took := withGroupAnswer(t, 3, func(f *testFleet, group []*testEngine) {
		f.killEngine(group[0])
		f.startEngine(group[0])
	})
	is.Equal(len(groupsIn(log)), 2)
	is.True(took < 20*time.Second+groupResumeTime)
}

// Guards against a final refusal of a prompt that fits the engines of the document, but not those that are usable
// now: its caller would never try again.
func TestPromptThatFitsTheDocumentIsNotTooLong(t *testing.T) {
	withTestFleet(t, 2, 3, func(f *testFleet) {
		is := is.New(t)
		ask := func(r api.CompletionRequest) api.ErrorDetail {
			_, err := f.directClient(f.entries[0], 1).Complete(context.Background(), r, client.Options{Timeout: 8 * time.Second}, nil)
			var refused *client.EntryError
			is.True(errors.As(err, &refused))
			return refused.Detail
		}
		for i := range f.instanceList.Instances {
			if f.instanceList.Instances[i].Name == "engine-3" {
				f.instanceList.Instances[i].State = api.InstanceLeaving
			}
		}
		f.publishList()
		time.Sleep(5 * time.Second)
		refused := ask(groupPrompt())
		is.Equal(refused.Code, api.CodeOverloaded)
		is.True(refused.RetryAfterSeconds > 0)
		longer := groupPrompt()
		longer.Prompt = strings.Repeat(longer.Prompt, 2)
		is.Equal(ask(longer).Code, api.CodePromptTooLong)
	})
}

// Guards against a new group with the engine that has just lost its shard, and without the sound one that
// streamed: where the former is gone for good, the group can't be reserved.
func TestGroupAvoidsEngineThatLostItsShard(t *testing.T) {
	is := is.New(t)
	log, _ := withGroupAnswer(t, 4, func(f *testFleet, group []*testEngine) {
		f.killEngine(group[1])
		f.startEngine(group[1])
	})
	is.True(strings.Contains(log, "no longer has the hold"))
	is.Equal(groupsIn(log), []string{"engine-1,engine-2,engine-3", "engine-1,engine-3,engine-4"})
}

// Guards against reserving the same group over and over while one of its engines can't be reached, though others
// suffice.
func TestGroupAvoidsUnreachableEngine(t *testing.T) {
	is := is.New(t)
	withTestFleet(t, 2, 4, func(f *testFleet) {
		entry := f.restartWithLog()
		for _, e := range f.entries {
			f.net.Disconnect(e.host, f.engines[1].host) // through any other the engine could be reached
		}
		_, err := f.directClient(entry, 1).Complete(context.Background(), groupPrompt(), client.Options{Timeout: 100 * time.Second}, nil)
		is.NoErr(err)
		is.Equal(groupsIn(f.log.String()), []string{"engine-1,engine-3,engine-4"})
		is.Equal(strings.Count(f.log.String(), "event=group_refused"), 1)
	})
}

// groupsIn returns the engines of the groups that a log tells of, in order.
func groupsIn(log string) []string {
	var groups []string
	for _, found := range regexp.MustCompile(`event=group .*engines=(\S+)`).FindAllStringSubmatch(log, -1) {
		groups = append(groups, found[1])
	}
	return groups
}

// Guards against an answer that goes on without a shard of its prompt: a member of the group is killed for good,
// so that it never replies that it lost the shard, or its hold can't be renewed for another reason. The
// lease expires.
func TestGroupWithoutAMemberIsReplaced(t *testing.T) {
	cases := map[string]func(f *testFleet, member *testEngine){
		"killed": func(f *testFleet, member *testEngine) { f.killEngine(member) },
		"renewals fail": func(f *testFleet, member *testEngine) {
			whole := member.server.Handler()
			f.replaceHandler(member, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasSuffix(r.URL.Path, "/renew") {
					http.Error(w, "unavailable", http.StatusServiceUnavailable)
					return
				}
				whole.ServeHTTP(w, r)
			}))
		},
		"no longer listed": func(f *testFleet, member *testEngine) {
			f.instanceList.Instances = slices.DeleteFunc(f.instanceList.Instances, func(i api.Instance) bool { return i.Name == member.name })
			f.publishList()
		},
	}
	for name, interrupt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log, took := withGroupAnswer(t, 4, func(f *testFleet, group []*testEngine) { interrupt(f, group[1]) })
			is.True(strings.Contains(log, "engine-2 no longer has the hold"))
			is.Equal(groupsIn(log), []string{"engine-1,engine-2,engine-3", "engine-1,engine-3,engine-4"})
			is.True(took < 20*time.Second+groupResumeTime)
		})
	}
}

// Guards against an answer that is given up half-way, although its caller would wait: its group needs all engines,
// and one of them is away for longer than a prompt may wait that has not begun.
func TestBegunAnswerWaitsForItsGroup(t *testing.T) {
	is := is.New(t)
	log, _ := withGroupAnswer(t, 3, func(f *testFleet, group []*testEngine) {
		f.killEngine(group[1])
		time.Sleep(40 * time.Second)
		f.startEngine(group[1])
	})
	is.Equal(len(groupsIn(log)), 2)
}
