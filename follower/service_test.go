package follower_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/follower"
)

// readFor has the follower read unchanged states of the store each 650 ms from a time on, and returns the time of the last.
func readFor(f *follower.Follower, from time.Time, duration time.Duration) time.Time {
	last := from
	for at := from; !at.After(from.Add(duration)); at = at.Add(650 * time.Millisecond) {
		f.ApplyStoreRead(at, follower.State{Revision: f.Revision()}, false)
		last = at
	}
	return last
}

func newLeasedFollower() *follower.Follower {
	f := follower.New()
	f.SetRegistrationLease(3600*time.Millisecond, 1200*time.Millisecond)
	f.ApplyStoreRead(start, follower.State{Revision: 1, Instances: []follower.Listed{ready("a", 1), ready("b", 1)}}, true)
	return f
}

// An open connection to the store failed silently, so that a watch failed after 1.2 s. An upstream that was removed
// meanwhile got new work until 2.3 s after that.
func TestRemovalWhileAConnectionFailsSilentlyTakesEffect(t *testing.T) {
	is := is.New(t)
	f := newLeasedFollower()
	last := readFor(f, start, 5*time.Second)
	f.RecordOwnStoreFailure(last.Add(1450 * time.Millisecond))
	read := last.Add(1600 * time.Millisecond)
	f.ApplyStoreRead(read, follower.State{Revision: 2, Instances: []follower.Listed{gone("a", 2)}}, false)
	is.Equal(usableIDs(f), "b")
	state, _ := f.ChangesSince(read, follower.Position{Revision: 1}, follower.ConfigStamp{})
	is.True(!state.Instances[0].Doubtful)
}

// A registration that may have lapsed is retained: after an outage of the length of a lease, after several short ones
// between which upstreams had no time to renew theirs, and after a suspension.
func TestRemovalAfterALongOutageIsRetained(t *testing.T) {
	cases := map[string]func(f *follower.Follower, last time.Time) time.Time{
		"long": func(f *follower.Follower, last time.Time) time.Time {
			f.RecordOwnStoreFailure(last.Add(2200 * time.Millisecond))
			return last.Add(2400 * time.Millisecond)
		},
		"repeated": func(f *follower.Follower, last time.Time) time.Time {
			f.RecordOwnStoreFailure(last.Add(1500 * time.Millisecond))
			between := readFor(f, last.Add(1600*time.Millisecond), 650*time.Millisecond)
			f.RecordOwnStoreFailure(between.Add(1500 * time.Millisecond))
			return between.Add(1600 * time.Millisecond)
		},
		"suspension": func(f *follower.Follower, last time.Time) time.Time {
			f.ClearConfirmation()
			f.RecordOwnStoreFailure(last.Add(100 * time.Millisecond))
			return last.Add(300 * time.Millisecond)
		},
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newLeasedFollower()
			read := fail(f, readFor(f, start, 5*time.Second))
			f.ApplyStoreRead(read, follower.State{Revision: 2, Instances: []follower.Listed{gone("a", 2)}}, false)
			is.Equal(usableIDs(f), "ab")
			f.Tick(read.Add(2300 * time.Millisecond))
			is.Equal(usableIDs(f), "b")
		})
	}
}
