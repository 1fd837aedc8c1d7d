package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/follower"
)

// Guards against a cached snapshot that is sent after the state has changed without a new revision: the time
// for which an upstream is not used ended, an upstream was found to leave, or a removal has the revision
// of the complete read that showed it.
func TestPackedSnapshotIsOfThePresentState(t *testing.T) {
	listed := follower.Listed{Instance: dispatcher.Instance{ID: "a"}, Revision: 3}
	unused, leaving, gone := listed, listed, listed
	unused.UnusedFor = 4 * time.Second
	leaving.Instance.Leaving = true
	gone.Gone = true
	evacuated := follower.Evacuation{DataCentre: "x", Revision: 4}
	readmitted := evacuated
	readmitted.Ended = true
	for name, change := range map[string][2]follower.State{
		"unused":     {{Instances: []follower.Listed{unused}}, {Instances: []follower.Listed{listed}}},
		"leaving":    {{Instances: []follower.Listed{listed}}, {Instances: []follower.Listed{leaving}}},
		"gone":       {{Instances: []follower.Listed{listed}}, {Instances: []follower.Listed{gone}}},
		"readmitted": {{Evacuations: []follower.Evacuation{evacuated}}, {Evacuations: []follower.Evacuation{readmitted}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var cache deflateCache
			for _, s := range change {
				s.Epoch, s.Revision = 2, 9
				data, err := cache.packSnapshot(s)
				is.NoErr(err)
				got, err := unpackSnapshot(data)
				is.NoErr(err)
				is.Equal(got, s)
				again, err := cache.packSnapshot(s)
				is.NoErr(err)
				is.True(&again[0] == &data[0]) // from the cache
			}
		})
	}
}
