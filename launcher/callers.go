package launcher

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/forwarder"
	"github.com/sapphireramp/sapphireramp/matcher"
)

// newIdleCloser returns an idleCloser for the limits in the view that view returns.
func newIdleCloser(view func() *forwarder.View) *idleCloser {
	return &idleCloser{limits: func() matcher.Limits {
		if t := view().Table; t != nil {
			return t.Config.Limits
		}
		return matcher.Limits{}
	}, idle: map[net.Conn]idleConn{}}
}

// newCallerServer returns the HTTP server for callers, which serves requests with
// h. It closes connections that are idle for longer than the configuration
// allows. It calls onStateChange at each change of a connection's state.
func newCallerServer(h http.Handler, idle *idleCloser, onStateChange func(net.Conn, http.ConnState)) *http.Server {
	return &http.Server{
		Handler: headCounter{h}, ConnContext: withCallerConn, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true, ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateNew || s == http.StateIdle {
				beginHead(c)
			}
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
	// lock guards idle, which holds the idle connections.
	lock sync.Mutex
	idle map[net.Conn]idleConn
}

// idleConn is when a connection became idle, and the timer that will close it.
type idleConn struct {
	since time.Time
	timer *time.Timer
}

// closeOldest closes the connection that has been idle longest, and reports whether there was one.
func (i *idleCloser) closeOldest() bool {
	i.lock.Lock()
	defer i.lock.Unlock()
	var oldest net.Conn
	for c, idle := range i.idle {
		if oldest == nil || idle.since.Before(i.idle[oldest].since) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	i.idle[oldest].timer.Stop()
	delete(i.idle, oldest)
	_ = oldest.Close()
	return true
}

// onStateChange starts the idle timer of a connection whose new state s is
// http.StateNew or http.StateIdle, and stops that of a connection in any other
// state.
func (i *idleCloser) onStateChange(c net.Conn, s http.ConnState) {
	i.lock.Lock()
	defer i.lock.Unlock()
	if idle, ok := i.idle[c]; ok {
		idle.timer.Stop()
		delete(i.idle, c)
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
	i.idle[c] = idleConn{since: idleSince, timer: time.AfterFunc(max(remaining, 0), func() {
		i.lock.Lock()
		defer i.lock.Unlock()
		if _, ok := i.idle[c]; !ok {
			return
		}
		if time.Since(idleSince) < i.limits().IdleTimeout {
			i.scheduleClose(c, idleSince)
			return
		}
		delete(i.idle, c)
		_ = c.Close()
	})}
}
