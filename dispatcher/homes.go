package dispatcher

// SetRegions sets the region of each data centre by its name. Upstreams in other data centres are of unknown region,
// and are sent no requests that have home regions. The map must not be modified afterwards.
func (b *Dispatcher) SetRegions(regions map[string]string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.regions = regions
}

// upstreamsAtHome returns the upstreams of the service of a request that are in a region that its route and its
// organisation allow. All choices for a request start from them: for its first attempt, for retries, resumed streams
// and requests that are tried alone, and for the helpers of a prompt. The lock must be held.
func (b *Dispatcher) upstreamsAtHome(d Demand) []*upstream {
	all := b.services[d.Service]
	if !d.Homes.IsRestricted() {
		return all
	}
	var allowed []*upstream
	for _, u := range all {
		if d.Homes.Allows(b.regions[u.instance.DataCentre]) {
			allowed = append(allowed, u)
		}
	}
	return allowed
}

// ReasonNoUpstreamAtHome is the reason of a refusal where upstreams of the service are listed, but none in an allowed
// region.
const ReasonNoUpstreamAtHome = "no_upstream_in_home_region"
