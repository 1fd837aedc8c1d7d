package tunneler_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/tunneler"
)

// Guards against a connection that passes through a relay in a region which its request must not enter, also where it is
// the only relay left, and against an entry without home regions that uses fewer relays.
func TestRelaysInForbiddenRegionsAreNotUsed(t *testing.T) {
	withFixture(t, 4, 1, func(f *fixture) {
		regions := []string{"home", "home", "abroad", ""}
		for i := range f.relays["entry-0"] {
			f.relays["entry-0"][i].Region = regions[i+1]
		}
		f.cutOff(0)
		ctx := tunneler.WithRelayRegions(context.Background(), func(region string) bool { return region == "home" })
		dial := func(ctx context.Context) error {
			connection, err := f.tunnelers[0].Dial(ctx, "tcp", f.upstreams[0].Address.String())
			if err == nil {
				<-f.accepted
				time.Sleep(10 * time.Millisecond)
				f.is.True(ctx == context.Background() || f.tunnelers[1].Served() == 1)
				f.is.NoErr(connection.Close())
				time.Sleep(time.Second)
			}
			return err
		}
		for range 20 {
			f.is.NoErr(dial(ctx))
		}
		f.relays["entry-0"] = f.relays["entry-0"][1:]
		var cutOff tunneler.CutOffError
		f.is.True(errors.As(dial(ctx), &cutOff))
		f.is.NoErr(dial(context.Background()))
	})
}
