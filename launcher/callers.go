package launcher

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/forwarder"
	"github.com/sapphireramp/sapphireramp/matcher"
)

// newCallerServer returns the HTTP server for callers, which serves requests with
// h. It closes connections that are idle for longer than the configuration
// allows, which view returns. It calls onStateChange at each change of a
// connection's state.
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

// idleSlack is added to the configured idle timeout, so that a request that a
// caller sends just before the timeout still finds its connection open.
const idleSlack = 500 * time.Millisecond

// idleCloser closes callers' connections that are idle for longer than the idle
// timeout of the configuration plus idleSlack. It is safe for concurrent use.
type idleCloser struct {
	// limits returns the limits of the current configuration; zero ones if the
	// entry has no configuration.
	limits func() matcher.Limits
	// lock guards timers, which holds the timer of each idle connection.
	lock   sync.Mutex
	timers map[net.Conn]*time.Timer
}

// onStateChange starts the idle timer of a connection whose new state s is
// http.StateNew or http.StateIdle, and stops that of a connection in any other
// state.
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

// scheduleClose starts a timer that closes a connection idleSlack after it has
// been idle for the idle timeout, or for headerTimeout if the configuration sets
// none. When the timer fires, it is started again instead if the idle timeout was
// raised meanwhile. The lock must be held.
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
