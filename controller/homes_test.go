package controller

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/matcher"
)

// newDirectoryController returns a controller that gives callers one entry in each of the data centres, whose region is
// the first letter of the name.
func newDirectoryController(t *testing.T, homes []string, dataCentres ...string) *Controller {
	service := []matcher.WeightedService{{Service: "app", Weight: 1}}
	table, err := matcher.New(matcher.Config{Services: []matcher.Service{{Name: "app"}}, Routes: []matcher.Route{
		{Name: "bound", Prefix: "/bound/", Services: service, AllowedRegions: homes}, {Name: "free", Prefix: "/", Services: service},
	}})
	is.New(t).NoErr(err)
	v := &view{}
	v.Table = table
	c := &Controller{config: Config{Regions: map[string]string{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}}}
	s := &state{controller: c, table: table}
	var ready []readyEntry
	for i, dataCentre := range dataCentres {
		ready = append(ready, readyEntry{name: fmt.Sprint(i), dataCentre: dataCentre, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)})
	}
	if len(ready) > 0 {
		ready[0].cutOff = true
	}
	v.callerEntries = s.callerEntries(ready)
	c.current.Store(v)
	return c
}

// addressedEntries returns the last bytes of the addresses that a caller in a data centre is given.
func addressedEntries(c *Controller, dataCentre string) []byte {
	var out []byte
	for _, a := range c.CallerAddresses(dataCentre) {
		out = append(out, a.Addr().As4()[3])
	}
	return out
}

// Guards against callers that are sent to entries of another region, where the bodies of their requests must not go, and
// against a change for those whose configuration has no home regions.
func TestCallersAreGivenEntriesOfTheirRegion(t *testing.T) {
	is := is.New(t)
	c := newDirectoryController(t, []string{"b"}, "a1", "a2", "b1", "unknown")
	is.Equal(addressedEntries(c, "a2"), []byte{1}) // the other one is cut off from upstreams
	is.Equal(addressedEntries(c, "b1"), []byte{2})
	is.Equal(addressedEntries(c, "c1"), []byte{2}) // no entry in the caller's region, and region b is the home of all
	is.Equal(len(addressedEntries(c, "unknown")), 3)
	c = newDirectoryController(t, []string{"b"}, "a1")
	is.Equal(addressedEntries(c, "a2"), []byte{0}) // though it is cut off: others are outside of the region
	is.Equal(addressedEntries(c, "c1"), nil)
	c = newDirectoryController(t, nil, "a1", "a2", "b1", "unknown")
	is.Equal(addressedEntries(c, "b1"), []byte{2, 1, 3})
	is.Equal(addressedEntries(c, "c1"), []byte{1, 2, 3})
}
