package forwarder

import "github.com/sapphireramp/sapphireramp/matcher"

// homes returns the regions whose upstreams may process a request, by the configuration that is in force now. It may
// be newer than the one with which the request was accepted, as an operator who restricts a route expects no retries
// and no resumed streams elsewhere after the time in which a change takes effect. What the newer configuration does not
// contain any more keeps the home regions with which the request was accepted.
func (f *Forwarder) homes(x *exchange) matcher.Homes {
	route, organisation := x.route, x.account
	if table := f.view().Table; table != nil && table != x.view.Table {
		if r, err := table.Route(x.request.Host, x.request.URL.EscapedPath()); err == nil {
			route = r
		}
		if o, err := table.Organisation(route, x.metadata.APIKey); err == nil && o != nil {
			organisation = o
		}
	}
	return matcher.HomesOf(route, organisation)
}
