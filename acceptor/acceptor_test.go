package acceptor_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/sapphireramp/sapphireramp/acceptor"
	"github.com/sapphireramp/sapphireramp/accountant"
	"github.com/sapphireramp/sapphireramp/standin/network"
)

var (
	clientHost = netip.MustParseAddr("10.0.0.1")
	// callers and readiness are the addresses of the process under test.
	callers   = netip.MustParseAddrPort("10.0.0.2:80")
	readiness = netip.MustParseAddrPort("10.0.0.2:81")
	limits    = acceptor.Limits{HeadBytes: 4096, HeadTimeout: time.Second, IdleTimeout: 5 * time.Second}
)

const (
	// manyDescriptors allows more connections than any test opens. fewDescriptors allows 26, of which 24 at callers.
	manyDescriptors, fewDescriptors = 4000, 100
	request                         = "GET /fast HTTP/1.1\r\nHost: h\r\n\r\n"
	answerTime                      = 3 * time.Second
)

// process is a process with two HTTP servers.
type process struct {
	t       *testing.T
	net     *network.Network
	account *accountant.Account
	log     *observer.ObservedLogs
	scope   tally.TestScope
	// clients are all connections that were opened.
	clients []net.Conn
}

// withProcess runs a test, in virtual time, with a process that may open some descriptors. Requests take answerTime unless
// their path is /fast.
func withProcess(t *testing.T, descriptors int, test func(p *process)) {
	synctest.Test(t, func(t *testing.T) {
		core, log := observer.New(zap.InfoLevel)
		p := &process{t: t, net: network.New(), account: accountant.New(16 << 20), log: log, scope: tally.NewTestScope("", nil)}
		a := acceptor.New(acceptor.Config{Account: p.account, Limits: func() acceptor.Limits { return limits }, Log: zap.New(core), Scope: p.scope})
		a.SetMaxConnections(acceptor.MaxConnections(descriptors))
		for address, config := range map[netip.AddrPort]acceptor.ListenerConfig{callers: acceptor.Callers, readiness: acceptor.Readiness} {
			listener, err := p.net.Listen(address)
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/fast" {
					time.Sleep(answerTime)
				}
				_, _ = io.WriteString(w, "answer")
			})}
			a.Attach(server)
			counted := a.Listen(listener, config)
			go func() { _ = server.Serve(counted) }()
			defer func() { _ = server.Close() }()
		}
		synctest.Wait()
		test(p)
		for _, c := range p.clients {
			_ = c.Close()
		}
		time.Sleep(time.Minute)
		if held := p.account.Usage().Held; held != 0 {
			t.Errorf("%d bytes are held after all connections have ended", held)
		}
	})
}

// connect opens a connection and sends text on it.
func (p *process) connect(address netip.AddrPort, text string) net.Conn {
	p.t.Helper()
	connection, err := p.net.Dialer(clientHost)(p.t.Context(), "tcp", address.String())
	if err != nil {
		p.t.Fatal(err)
	}
	p.clients = append(p.clients, connection)
	go func() { _, _ = io.WriteString(connection, text) }()
	return connection
}

// status returns the status and Retry-After of the next response on a connection; 0 if it is closed without one.
func status(connection net.Conn) (int, string) {
	_ = connection.SetReadDeadline(time.Now().Add(20 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, ""
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get("Retry-After")
}

// Guards against a crowd that holds all places: a new caller is served, callers that wait for an answer or have had one keep
// their connections, and the silent ones that came first go first.
func TestSilentConnectionsGiveWay(t *testing.T) {
	withProcess(t, fewDescriptors, func(p *process) {
		is := is.New(t)
		kept, waiting := p.connect(callers, request), p.connect(callers, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		code, _ := status(kept)
		is.Equal(code, http.StatusOK)
		var silent []net.Conn
		for range 40 {
			silent = append(silent, p.connect(callers, ""))
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		code, _ = status(p.connect(callers, request))
		is.Equal(code, http.StatusOK)
		go func() { _, _ = io.WriteString(kept, request) }()
		code, _ = status(kept)
		is.Equal(code, http.StatusOK)
		code, _ = status(waiting)
		is.Equal(code, http.StatusOK)
		code, _ = status(p.connect(readiness, request))
		is.Equal(code, http.StatusOK)
		_ = silent[0].SetReadDeadline(time.Now())
		_, err := silent[0].Read(make([]byte, 1))
		is.Equal(err, io.EOF)
		_ = silent[39].SetReadDeadline(time.Now())
		_, err = silent[39].Read(make([]byte, 1))
		is.True(err != io.EOF) // the last one is still open
	})
}

// Guards against places that are taken from callers that are being served: a further one is refused at once, not run, and
// other addresses go on.
func TestServedConnectionsKeepTheirPlaces(t *testing.T) {
	withProcess(t, fewDescriptors, func(p *process) {
		is := is.New(t)
		var served []net.Conn
		for range 24 {
			served = append(served, p.connect(callers, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"))
		}
		time.Sleep(500 * time.Millisecond)
		began := time.Now()
		code, retryAfter := status(p.connect(callers, request))
		is.Equal(code, http.StatusServiceUnavailable)
		is.True(retryAfter != "")
		is.True(time.Since(began) < time.Second)
		code, _ = status(p.connect(readiness, request))
		is.Equal(code, http.StatusOK)
		for _, c := range served {
			code, _ := status(c)
			is.Equal(code, http.StatusOK)
		}
		time.Sleep(2 * time.Second)
		is.Equal(len(p.log.FilterMessage("connections_refused").All()), 1)
		is.Equal(p.log.All()[0].ContextMap(), map[string]any{"address": "callers", "reason": "no_place", "count": int64(1)})
	})
}

// Guards against limits of this process that clients meet which keep to those that they are told.
func TestClientsWithinTheLimitsAreServed(t *testing.T) {
	withProcess(t, manyDescriptors, func(p *process) {
		is := is.New(t)
		text := "GET /fast HTTP/1.1\r\nHost: h\r\n"
		for n := 0; len(text) < limits.HeadBytes-20; n++ {
			text += fmt.Sprintf("%x:\r\n", n)
		}
		text += "x:" + strings.Repeat("v", limits.HeadBytes-len(text)-6) + "\r\n\r\n"
		is.Equal(len(text), limits.HeadBytes)
		code, _ := status(p.connect(callers, text))
		is.Equal(code, http.StatusOK)

		slow := p.connect(callers, text[:len(text)/2])
		time.Sleep(limits.HeadTimeout)
		go func() { _, _ = io.WriteString(slow, text[len(text)/2:]) }()
		code, _ = status(slow)
		is.Equal(code, http.StatusOK)

		time.Sleep(limits.IdleTimeout)
		go func() { _, _ = io.WriteString(slow, request) }()
		code, _ = status(slow)
		is.Equal(code, http.StatusOK)
		is.Equal(p.log.Len(), 0)
	})
}

// Guards against clients that are closed without a word, or not at all, for what they send.
func TestRefusalsAreSaidInHTTP(t *testing.T) {
	long := "GET /fast HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("v", 2*limits.HeadBytes)
	for _, c := range []struct {
		name, text string
		status     int
		reason     string
	}{
		{"head too large", long, http.StatusRequestHeaderFieldsTooLarge, "head_too_large"},
		{"many fields", "GET /fast HTTP/1.1\r\n" + strings.Repeat("x:\n", limits.HeadBytes), http.StatusRequestHeaderFieldsTooLarge, "head_too_large"},
		{"head incomplete", "GET /fast HTTP/1.1\r\nHost:", http.StatusRequestTimeout, "head_timeout"},
		{"empty lines", "\r\n\r\n\r\n", http.StatusBadRequest, ""},
		{"nothing", "", 0, "silent"},
		{"body incomplete", "POST /fast HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n", 0, "body_unread"},
	} {
		t.Run(c.name, func(t *testing.T) {
			withProcess(t, manyDescriptors, func(p *process) {
				is := is.New(t)
				code, _ := status(p.connect(callers, c.text))
				is.Equal(code, c.status)
				time.Sleep(2 * time.Second)
				if c.reason == "" {
					return
				}
				is.Equal(p.log.Len(), 1)
				is.Equal(p.log.All()[0].ContextMap()["reason"], c.reason)
				is.Equal(p.scope.Snapshot().Counters()["connections_refused+address=callers,reason="+c.reason].Value(), int64(1))
			})
		})
	}
}

// Guards against a line for each refused connection.
func TestRefusalsAreLoggedTogether(t *testing.T) {
	withProcess(t, fewDescriptors, func(p *process) {
		is := is.New(t)
		for range 200 {
			p.connect(callers, "")
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		evicted := p.log.FilterField(zap.String("reason", "evicted")).All()
		is.True(len(evicted) >= 2 && len(evicted) <= 3)
	})
}

// Guards against heads that together take more memory than connections may use, while each is within the limits.
func TestHeadsShareTheMemoryOfConnections(t *testing.T) {
	withProcess(t, manyDescriptors, func(p *process) {
		is := is.New(t)
		text := "GET /fast HTTP/1.1\r\n" + strings.Repeat("x:\n", limits.HeadBytes/3-10)
		for range 200 {
			p.connect(callers, text)
		}
		time.Sleep(time.Second / 2)
		is.True(p.account.Usage().Connections <= p.account.Usage().Limit/2)
		code, _ := status(p.connect(callers, request))
		is.Equal(code, http.StatusOK)
	})
}
