package matcher_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/matcher"
)

func config() matcher.Config {
	services := []matcher.WeightedService{{Service: "lm", Weight: 9}, {Service: "app", Weight: 1}}
	return matcher.Config{
		Version: 3,
		Routes: []matcher.Route{
			{Name: "all", Host: "a.example", Prefix: "/", Services: services[1:]},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Services: services, Public: true},
			{Name: "x", Host: "a.example", Prefix: "/x/", Services: services[:1]},
		},
		Services:      []matcher.Service{{Name: "lm"}, {Name: "app"}},
		Organisations: []matcher.Organisation{{Name: "crew", Keys: []string{"k1", "k2"}}},
	}
}

func TestRouteOfLongestPrefix(t *testing.T) {
	is := is.New(t)
	table, err := matcher.New(config())
	is.NoErr(err)
	for path, want := range map[string]string{"/x/y/z": "deep", "/x/y": "x", "/x/": "x", "/x": "all", "/": "all"} {
		r, err := table.Route("a.example:8080", path)
		is.NoErr(err)
		is.Equal(r.Name, want) // route of the longest prefix
	}
	_, err = table.Route("b.example", "/x/")
	is.True(errors.Is(err, matcher.ErrNoRoute))
}

func TestOrganisationOfKey(t *testing.T) {
	is := is.New(t)
	table, err := matcher.New(config())
	is.NoErr(err)
	keyed, _ := table.Route("a.example", "/x/")
	public, _ := table.Route("a.example", "/x/y/")
	o, err := table.Organisation(keyed, "k2")
	is.NoErr(err)
	is.Equal(o.Name, "crew")
	_, err = table.Organisation(keyed, "k3")
	is.True(errors.Is(err, matcher.ErrUnknownKey))
	o, err = table.Organisation(public, "k3")
	is.NoErr(err)
	is.True(o == nil)
}

func TestPickServiceFollowsWeights(t *testing.T) {
	is := is.New(t)
	table, err := matcher.New(config())
	is.NoErr(err)
	r, _ := table.Route("a.example", "/x/y/")
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.PickService(float64(i)/1000)]++
	}
	is.Equal(counts, map[string]int{"lm": 900, "app": 100})
}

func TestInvalidConfigNamesField(t *testing.T) {
	is := is.New(t)
	c := config()
	c.Routes[2].Services = []matcher.WeightedService{{Service: "none", Weight: 1}}
	_, err := matcher.New(c)
	var invalid matcher.InvalidConfigError
	is.True(errors.As(err, &invalid))
	is.Equal(invalid.Field, "route x service none")
}
