package controller

import (
	"slices"

	"github.com/sapphireramp/sapphireramp/matcher"
)

// hasHomes reports whether callers have to be directed by region: whether a configuration has home regions.
func hasHomes(t *matcher.Table) bool { return t != nil && t.HasHomes() }

// callerEntries returns those ready entries whose addresses callers are given. Where the configuration has home
// regions, they are chosen for each region by itself, so that a region whose entries are slow, overloaded or cut off
// from upstreams still has some: its callers may not be sent to another one.
func (s *state) callerEntries(ready []readyEntry) []readyEntry {
	if !hasHomes(s.table) {
		return preferredEntries(ready)
	}
	var regions []string
	byRegion := map[string][]readyEntry{}
	for _, e := range ready {
		region := s.controller.config.Regions[e.dataCentre]
		if !slices.Contains(regions, region) {
			regions = append(regions, region)
		}
		byRegion[region] = append(byRegion[region], e)
	}
	var out []readyEntry
	for _, region := range regions {
		out = append(out, preferredEntries(byRegion[region])...)
	}
	return out
}

// entriesForCaller returns the entries to which a caller in a data centre may connect. Where the configuration has home
// regions, these are the entries of the caller's region or, without any, those in regions that are home regions of
// every route and organisation that has any. There may be none of these either: the caller's next request may belong
// to any route, and an entry elsewhere would receive its body. A caller whose region is unknown is given all entries,
// as nothing shows which of them are outside of its region.
func (c *Controller) entriesForCaller(dataCentre string) []readyEntry {
	v := c.current.Load()
	region := c.config.Regions[dataCentre]
	if region == "" || !hasHomes(v.Table) {
		return v.callerEntries
	}
	isIn := func(isAllowed func(string) bool) []readyEntry {
		return slices.DeleteFunc(slices.Clone(v.callerEntries), func(e readyEntry) bool { return !isAllowed(c.config.Regions[e.dataCentre]) })
	}
	if own := isIn(func(r string) bool { return r == region }); len(own) > 0 {
		return own
	}
	return isIn(v.Table.IsHomeOfAll)
}
