package matcher

import (
	"fmt"
	"slices"
)

// maxPriority is the largest priority of a route or an organisation.
const maxPriority = 1000

// Homes is the set of regions whose upstreams may process a request. The zero value allows all regions, and the
// upstreams whose region is unknown.
type Homes struct {
	// isRestricted is false if all regions are allowed. If it is true, regions lists the allowed ones, of which there
	// may be none.
	isRestricted bool
	regions      []string
}

// Allows reports whether upstreams of a region may process the request. A restricted request is allowed in no region
// whose name is empty, which stands for an unknown one.
func (h Homes) Allows(region string) bool {
	return !h.isRestricted || region != "" && slices.Contains(h.regions, region)
}

// IsRestricted reports whether not all regions are allowed.
func (h Homes) IsRestricted() bool { return h.isRestricted }

// String returns the allowed regions as they are logged.
func (h Homes) String() string {
	if !h.isRestricted {
		return "all"
	}
	return fmt.Sprint(h.regions)
}

// HomesOf returns the regions whose upstreams may process requests of a route and an organisation, which is nil for
// requests without one. Where both have home regions, only regions in both lists are allowed.
func HomesOf(r *Route, o *Organisation) Homes {
	switch {
	case o == nil || len(o.AllowedRegions) == 0:
		return Homes{isRestricted: len(r.AllowedRegions) > 0, regions: r.AllowedRegions}
	case len(r.AllowedRegions) == 0:
		return Homes{isRestricted: true, regions: o.AllowedRegions}
	}
	var both []string
	for _, region := range r.AllowedRegions {
		if slices.Contains(o.AllowedRegions, region) {
			both = append(both, region)
		}
	}
	return Homes{isRestricted: true, regions: both}
}

// HasHomes reports whether any route or organisation has home regions.
func (t *Table) HasHomes() bool { return t.hasHomes }

// IsHomeOfAll reports whether a region is a home region of every route and organisation that has any.
func (t *Table) IsHomeOfAll(region string) bool {
	isOutside := func(allowed []string) bool { return len(allowed) > 0 && !slices.Contains(allowed, region) }
	return region != "" && !slices.ContainsFunc(t.Config.Routes, func(r Route) bool { return isOutside(r.AllowedRegions) }) &&
		!slices.ContainsFunc(t.Config.Organisations, func(o Organisation) bool { return isOutside(o.AllowedRegions) })
}

// CheckRegions returns an InvalidConfigError if a route or organisation has a home region that is not among the given
// ones.
func (t *Table) CheckRegions(regions []string) error {
	for _, r := range t.Config.Routes {
		if err := checkRegions("route "+r.Name, r.AllowedRegions, regions); err != nil {
			return err
		}
	}
	for _, o := range t.Config.Organisations {
		if err := checkRegions("organisation "+o.Name, o.AllowedRegions, regions); err != nil {
			return err
		}
	}
	return nil
}

func checkRegions(owner string, allowed, known []string) error {
	for _, region := range allowed {
		if !slices.Contains(known, region) {
			return InvalidConfigError{Field: owner + " allowed region " + region, Requirement: "the region of a data centre in the settings"}
		}
	}
	return nil
}

// checkPriority returns an InvalidConfigError if the priority of a route or organisation is out of range.
func checkPriority(owner string, priority int) error {
	if priority < 0 || priority > maxPriority {
		return InvalidConfigError{Field: fmt.Sprintf("%s priority %d", owner, priority), Requirement: PriorityRequirement}
	}
	return nil
}

// PriorityRequirement says what a priority must be, for an InvalidConfigError.
const PriorityRequirement = "a whole number from 0 to 1000"

// checkOrganisations returns an InvalidConfigError if the priority of an organisation is out of range or if two
// organisations have one name: the keys and the priority of which of them would apply is ambiguous.
func checkOrganisations(organisations []Organisation) error {
	known := make(map[string]bool, len(organisations))
	for _, o := range organisations {
		if known[o.Name] {
			return InvalidConfigError{Field: "organisation " + o.Name, Requirement: "listed once"}
		}
		known[o.Name] = true
		if err := checkPriority("organisation "+o.Name, o.Priority); err != nil {
			return err
		}
	}
	return nil
}
