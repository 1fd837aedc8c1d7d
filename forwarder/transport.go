package forwarder

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"github.com/sapphireramp/sapphireramp/accountant"
	"github.com/sapphireramp/sapphireramp/connector"
)

// newTransport returns the HTTP transport for requests to upstreams. Every attempt has a connection
// of its own. On a reused connection, a late or second response could be mistaken for that of the
// next request, and a request sent while the upstream closes the connection may or may not have run.
func newTransport(dial connector.DialFunc, account *accountant.Account) *connector.Transport {
	return connector.NewTransport(&http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}, account)
}

// hopHeaders are the HTTP headers that apply to a single connection (hop-by-hop headers). They are
// not forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// copyHeaders copies the headers in from to to, except those that apply to a single connection: the
// hopHeaders and those that the Connection header names.
func copyHeaders(to, from http.Header) {
	connectionHeaders := map[string]bool{}
	for _, list := range from["Connection"] {
		for _, name := range strings.Split(list, ",") {
			connectionHeaders[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if hopHeaders[name] || connectionHeaders[name] {
			continue
		}
		to[name] = append([]string(nil), values...)
	}
}

// upstreamURL returns the URL with which the request r is sent to the upstream at an address. A path
// that begins with a single slash is sent exactly as the caller wrote it, with its escapes.
func upstreamURL(r *http.Request, address string) *url.URL {
	u := &url.URL{Scheme: "http", Host: address, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
	raw, _, _ := strings.Cut(r.RequestURI, "?")
	if strings.HasPrefix(raw, "/") && !strings.HasPrefix(raw, "//") {
		u.Opaque = raw
		return u
	}
	u.Path, u.RawPath = r.URL.Path, r.URL.RawPath
	return u
}
