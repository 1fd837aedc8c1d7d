package matcher

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
)

// ErrNoRoute says that no route takes a request.
var ErrNoRoute = errors.New("no route has this host and path")

// ErrUnknownKey says that a request's key is no organisation's.
var ErrUnknownKey = errors.New("the key is no organisation's")

// InvalidError names a field of a configuration that can't be used.
type InvalidError struct {
	Field       string
	Requirement string
}

func (e InvalidError) Error() string {
	return fmt.Sprintf("configuration: %s: must be %s", e.Field, e.Requirement)
}

// Table is a configuration with its indexes. It is never changed.
type Table struct {
	Config Config
	// routesByHost holds the routes of a host, longest prefix first.
	routesByHost       map[string][]*Route
	organisationsByKey map[string]*Organisation
	services           map[string]*Service
}

// New checks a configuration and builds its indexes.
func New(c Config) (*Table, error) {
	t := &Table{
		Config: c, routesByHost: map[string][]*Route{}, organisationsByKey: map[string]*Organisation{},
		services: make(map[string]*Service, len(c.Services)),
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
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
	for i := range c.Organisations {
		o := &c.Organisations[i]
		for _, k := range o.Keys {
			t.organisationsByKey[k] = o
		}
	}
	return t, nil
}

func (t *Table) checkRoute(r *Route) error {
	field := "route " + r.Name
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return InvalidError{Field: field + " prefix " + r.Prefix, Requirement: "a path that begins and ends with a slash"}
	}
	if len(r.Services) == 0 {
		return InvalidError{Field: field + " services", Requirement: "at least one"}
	}
	for _, s := range r.Services {
		if _, ok := t.services[s.Service]; !ok {
			return InvalidError{Field: field + " service " + s.Service, Requirement: "one of the configuration's services"}
		}
		if s.Weight <= 0 {
			return InvalidError{Field: field + " weight", Requirement: "greater than 0"}
		}
	}
	return nil
}

// Route finds the route of the longest prefix for a request. The host may
// carry a port.
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

// Organisation finds the holder of a key. It is nil, without an error, on a
// public route and where the configuration has no organisations.
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

// Service finds a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// PickService draws a service of the route by weight; draw is from 0 up to, and
// without, 1.
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
