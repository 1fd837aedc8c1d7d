package connector

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sapphireramp/sapphireramp/accountant"
)

// DefaultTransport is the transport of clients that set up none of their own. Its settings are those of
// http.DefaultTransport.
var DefaultTransport = NewTransport(&http.Transport{
	Proxy: http.ProxyFromEnvironment, DialContext: (&net.Dialer{Timeout: 30 * time.Second, KeepAlive: 30 * time.Second}).DialContext,
	MaxIdleConns: 100, IdleConnTimeout: 90 * time.Second,
}, nil)

// NewTransport returns a transport with the settings of t, which must not be used otherwise and has a DialContext. All
// that reads answers reads them from such a transport: an answer whose end is that of its connection is whole only if the
// connection was closed in order (see DetectReset). Heads are limited to MaxHeadBytes and MaxHeadLines, and what they take
// counts in the account until the connection is closed; a nil account is allowed.
func NewTransport(t *http.Transport, account *accountant.Account) *http.Transport {
	dial := t.DialContext
	t.MaxResponseHeaderBytes = MaxHeadBytes
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err // http.Transport adds what was dialled
		}
		return &responseConn{Conn: DetectReset(c), dialled: c, holding: account.Open("", accountant.Request)}, nil
	}
	return t
}
