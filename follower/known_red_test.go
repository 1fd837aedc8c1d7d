//go:build knownred

package follower_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/follower"
)

// The store turns some entries away and serves others. An entry that such a one told of its
// failures holds an upstream for 2.3 s whose removal was read from the store by one that it
// serves: longer than the two seconds in which it may be sent new work.
func TestRemovalIsHonouredWhereTheStoreFailsOthersOnly(t *testing.T) {
	is := is.New(t)
	f := follower.New()
	f.Apply(start, follower.State{Revision: 1, Instances: []follower.Listed{ready("a", 1), ready("b", 1)}})
	f.Disturbed(start.Add(time.Second)) // told by an entry that the store turned away
	removed := start.Add(1100 * time.Millisecond)
	f.Apply(removed, follower.State{Revision: 2, Instances: []follower.Listed{gone("a", 2)}}) // read by another
	f.Tick(removed.Add(2 * time.Second))
	is.Equal(ids(f), "b")
}
