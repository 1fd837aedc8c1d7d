package client

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/api"
)

// Guards against a request that is given up as one that may have run, although its entry can't have received it:
// the entry refuses connections, or its connection breaks before the request is sent. Other entries take it.
func TestUnsentRequestIsSentToAnotherEntry(t *testing.T) {
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	_ = refusing.Close()
	dropping, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = dropping.Close() }()
	go func() {
		for {
			connection, err := dropping.Accept()
			if err != nil {
				return
			}
			_, _ = connection.Read(make([]byte, 1))
			_ = connection.(*net.TCPConn).SetLinger(0)
			_ = connection.Close()
		}
	}()
	sound := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(firstChunk + lastChunk + endMarker))
	}))
	defer sound.Close()
	addressOf := func(a net.Addr) netip.AddrPort { return netip.MustParseAddrPort(a.String()) }
	for name, away := range map[string]net.Addr{"refused": refusing.Addr(), "dropped": dropping.Addr()} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := New(Config{Seeds: []netip.AddrPort{addressOf(away), addressOf(sound.Listener.Addr())}, SeedsOnly: true, MaxTries: 3})
			prompt := strings.Repeat("word ", 3<<20) // more than the buffers of a connection hold
			for range 4 {
				clear(c.avoidedEntries)
				_, err := c.Complete(context.Background(), api.CompletionRequest{Prompt: prompt, Stream: true}, Options{}, nil)
				is.NoErr(err)
			}
		})
	}
}
