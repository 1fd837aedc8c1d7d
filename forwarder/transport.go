package forwarder

import (
	"context"
	"net"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
	"time"
)

// dialTimeout bounds a connection to an upstream: many round trips within a
// region, and short beside the shortest targets, so that another can be tried.
const dialTimeout = 250 * time.Millisecond

// maxResponseHeaderBytes is the largest header of an upstream's answer in bytes.
const maxResponseHeaderBytes = 64 << 10

// newTransport returns the client side towards upstreams. Every attempt has a
// connection of its own: on a kept one, a late or second answer could meet
// the next request, and a request that meets its end may or may not have run.
func newTransport(dial func(context.Context, string, string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return dial(ctx, network, address)
		},
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// copyHeaders copies all headers but those that concern one connection.
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

// upstreamURL is the URL of a request at an upstream, with the path as the caller
// wrote it.
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
