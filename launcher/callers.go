package launcher

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/forwarder"
	"github.com/sapphireramp/sapphireramp/matcher"
)

// newCallerServer returns the server for callers' requests, which keeps the
// configuration's limits on idle connections. State hears of all connections.
func newCallerServer(h http.Handler, view func() *forwarder.View, onStateChange func(net.Conn, http.ConnState)) *http.Server {
	idle := idleCloser{limits: func() matcher.Limits {
		if t := view().Table; t != nil {
			return t.Config.Limits
		}
		return matcher.Limits{}
	}, timers: map[net.Conn]*time.Timer{}}
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true, ConnState: func(c net.Conn, s http.ConnState) {
			idle.onStateChange(c, s)
			onStateChange(c, s)
		},
	}
}

// idleSlack is added to the idle time that callers are allowed, so that a
// request sent at its end still meets an open connection.
const idleSlack = 500 * time.Millisecond

// idleCloser closes connections that are idle for longer than the
// configuration in force allows.
type idleCloser struct {
	limits func() matcher.Limits
	lock   sync.Mutex
	timers map[net.Conn]*time.Timer
}

func (i *idleCloser) onStateChange(c net.Conn, s http.ConnState) {
	i.lock.Lock()
	defer i.lock.Unlock()
	if t, ok := i.timers[c]; ok {
		t.Stop()
		delete(i.timers, c)
	}
	if s == http.StateIdle || s == http.StateNew {
		i.scheduleClose(c, time.Now())
	}
}

// scheduleClose closes a connection once it has been idle for the limit in force
// then, which may be longer than the one in force now.
func (i *idleCloser) scheduleClose(c net.Conn, idleSince time.Time) {
	limit := i.limits().IdleTimeout
	if limit <= 0 {
		limit = headerTimeout
	}
	remaining := limit + idleSlack - time.Since(idleSince)
	i.timers[c] = time.AfterFunc(max(remaining, 0), func() {
		i.lock.Lock()
		defer i.lock.Unlock()
		if _, ok := i.timers[c]; !ok {
			return
		}
		if time.Since(idleSince) < i.limits().IdleTimeout {
			i.scheduleClose(c, idleSince)
			return
		}
		delete(i.timers, c)
		_ = c.Close()
	})
}
