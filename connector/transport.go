package connector

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/sapphireramp/sapphireramp/accountant"
)

// DefaultTransport is the transport of clients that set up none of their own. Its settings are those of
// http.DefaultTransport.
var DefaultTransport = NewTransport(&http.Transport{
	Proxy: http.ProxyFromEnvironment, DialContext: (&net.Dialer{Timeout: 30 * time.Second, KeepAlive: 30 * time.Second}).DialContext,
	MaxIdleConns: 100, IdleConnTimeout: 90 * time.Second,
}, nil)

// Transport is an http.RoundTripper for plain HTTP that returns no response that was not sent as HTTP has it: an invalid head is an
// InvalidResponseError, and a body whose end is that of its connection is whole only if the connection was closed in order
// (see DetectReset). All that reads responses reads them from a Transport.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport with the settings of t, which must not be used otherwise and has a DialContext. Heads are
// limited to MaxHeadBytes and MaxHeadLines, and what they take counts in the account until the connection is closed; a nil
// account is allowed.
func NewTransport(t *http.Transport, account *accountant.Account) *Transport {
	dial := t.DialContext
	t.MaxResponseHeaderBytes = MaxHeadBytes
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err // http.Transport adds what was dialled
		}
		return newResponseConn(c, account), nil
	}
	return &Transport{t}
}

// RoundTrip sends a request and returns the response; see [http.RoundTripper].
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var connection *responseConn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connection, _ = info.Conn.(*responseConn)
		if connection != nil && info.Reused {
			connection.beginResponse()
		}
	}}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	// A connection that may be used again waits for the end of the request before the end of the response is returned.
	r.Close = r.Close || t.DisableKeepAlives
	response, err := t.Transport.RoundTrip(r)
	if err == nil || connection == nil {
		return response, err
	}
	if headErr := connection.invalidHead(); headErr != nil {
		return nil, headErr // http.Transport may have failed to parse the line before the error
	}
	return nil, err
}
