package matcher_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/matcher"
)

// Guards against a request that is allowed in a region which only one of its route and its organisation names, and
// against restrictions where neither names any.
func TestHomesOfRouteAndOrganisation(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		route, organisation []string
		allowed, refused    string
	}{
		{nil, nil, "", "-"},
		{[]string{"a", "b"}, nil, "b", "c"},
		{nil, []string{"a"}, "a", "b"},
		{[]string{"a", "b"}, []string{"b", "c"}, "b", "a"},
		{[]string{"a"}, []string{"b"}, "-", "b"},
		{[]string{""}, nil, "-", ""}, // a data centre without a region is in no home region
	} {
		homes := matcher.HomesOf(&matcher.Route{AllowedRegions: c.route}, &matcher.Organisation{AllowedRegions: c.organisation})
		is.True(c.allowed == "-" || homes.Allows(c.allowed))
		is.True(c.refused == "-" || !homes.Allows(c.refused))
	}
	is.True(!matcher.HomesOf(&matcher.Route{}, nil).IsRestricted())
}

// Guards against directing callers by one route's home regions where another has others.
func TestIsHomeOfAll(t *testing.T) {
	is := is.New(t)
	c := config()
	table, err := matcher.New(c)
	is.NoErr(err)
	is.True(!table.HasHomes())
	c.Routes[0].AllowedRegions = []string{"a", "b"}
	c.Organisations[0].AllowedRegions = []string{"b", "c"}
	table, err = matcher.New(c)
	is.NoErr(err)
	is.True(table.HasHomes())
	is.True(table.IsHomeOfAll("b"))
	is.True(!table.IsHomeOfAll("a"))
	is.True(!table.IsHomeOfAll("c"))
}

// Guards against a home region with a spelling error, which would leave a route without upstreams.
func TestUnknownHomeRegionNamesField(t *testing.T) {
	is := is.New(t)
	c := config()
	c.Routes[0].AllowedRegions = []string{"a"}
	c.Organisations[0].AllowedRegions = []string{"a", "b"}
	table, err := matcher.New(c)
	is.NoErr(err)
	is.NoErr(table.CheckRegions([]string{"b", "a"}))
	var invalid matcher.InvalidConfigError
	is.True(errors.As(table.CheckRegions([]string{"a"}), &invalid))
	is.Equal(invalid.Field, "organisation crew allowed region b")
	is.True(errors.As(table.CheckRegions(nil), &invalid))
	is.Equal(invalid.Field, "route all allowed region a")
}
