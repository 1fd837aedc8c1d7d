package matcher

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
)

// ErrNoRoute is returned for a request whose host and path match no route.
var ErrNoRoute = errors.New("no route matches the host and path of the request")

// ErrUnknownKey is returned for an API key that belongs to no organisation.
var ErrUnknownKey = errors.New("the API key belongs to no organisation")

// InvalidConfigError reports an invalid field of the configuration. Field names the field and its
// value, Requirement says what the value must be.
type InvalidConfigError struct {
	Field       string
	Requirement string
}

func (e InvalidConfigError) Error() string {
	return fmt.Sprintf("configuration: %s: must be %s", e.Field, e.Requirement)
}

// Table is a configuration with indexes for lookups. It is immutable.
type Table struct {
	Config Config
	// routesByHost holds the routes of each host, longest prefix first.
	routesByHost       map[string][]*Route
	organisationsByKey map[string]*Organisation
	services           map[string]*Service
	// hasHomes is true if a route or an organisation has home regions.
	hasHomes bool
}

// New validates a configuration and returns a table of it. It returns an InvalidConfigError if a
// service, route or organisation is invalid. It does not check the home regions; see
// Table.CheckRegions.
func New(c Config) (*Table, error) {
	t := &Table{
		Config: c, routesByHost: map[string][]*Route{}, organisationsByKey: map[string]*Organisation{},
		services: make(map[string]*Service, len(c.Services)),
	}
	for i := range c.Services {
		service := &c.Services[i]
		if service.ColdRequestsPerSecond < 0 {
			return nil, InvalidConfigError{Field: fmt.Sprintf("service %s cold requests per second %g", service.Name, service.ColdRequestsPerSecond), Requirement: "at least 0"}
		}
		t.services[service.Name] = service
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := t.checkRoute(r); err != nil {
			return nil, err
		}
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	if err := checkOrganisations(c.Organisations); err != nil {
		return nil, err
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		for _, k := range o.Keys {
			t.organisationsByKey[k] = o
		}
	}
	t.hasHomes = slices.ContainsFunc(c.Routes, func(r Route) bool { return len(r.AllowedRegions) > 0 }) ||
		slices.ContainsFunc(c.Organisations, func(o Organisation) bool { return len(o.AllowedRegions) > 0 })
	return t, nil
}

// checkRoute returns an InvalidConfigError if the prefix, the priority, a service or a weight of a
// route is invalid.
func (t *Table) checkRoute(r *Route) error {
	field := "route " + r.Name
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return InvalidConfigError{Field: field + " prefix " + r.Prefix, Requirement: "a path that begins and ends with a slash"}
	}
	if err := checkPriority(field, r.Priority); err != nil {
		return err
	}
	if len(r.Services) == 0 {
		return InvalidConfigError{Field: field + " services", Requirement: "at least one"}
	}
	for _, s := range r.Services {
		if _, ok := t.services[s.Service]; !ok {
			return InvalidConfigError{Field: field + " service " + s.Service, Requirement: "one of the configuration's services"}
		}
		if s.Weight <= 0 {
			return InvalidConfigError{Field: field + " weight", Requirement: "greater than 0"}
		}
	}
	return nil
}

// Route returns the route with the longest prefix that matches a request, or ErrNoRoute. The host
// may include a port, which is ignored.
func (t *Table) Route(host, path string) (*Route, error) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, nil
		}
	}
	return nil, ErrNoRoute
}

// Organisation returns the organisation that an API key belongs to, or ErrUnknownKey. It returns
// nil without an error for a public route, and if the configuration has no organisations.
func (t *Table) Organisation(r *Route, key string) (*Organisation, error) {
	if r.Public || len(t.Config.Organisations) == 0 {
		return nil, nil
	}
	o, ok := t.organisationsByKey[key]
	if !ok {
		return nil, ErrUnknownKey
	}
	return o, nil
}

// Service returns the service with the given name, and whether there is one.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// PickService selects a service of the route by weight and returns its name. The argument is a
// random number in the range [0, 1), which determines the service.
func (r *Route) PickService(random float64) string {
	sum := 0
	for _, s := range r.Services {
		sum += s.Weight
	}
	remaining := int(random * float64(sum))
	for _, s := range r.Services {
		remaining -= s.Weight
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}
