// Package acceptor accepts the connections of all listeners of a process, within one limit on their number and one on
// their memory. If there is no room for a new connection, the one that has completed nothing for longest is closed. A
// connection on which a request is served is never closed for another one.
package acceptor

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/sapphireramp/sapphireramp/accountant"
)

const (
	// silentPatience, headPatience and maxPatience are the times after which another connection may take the place of one
	// on which nothing has arrived, of one on which no more of a head arrives, and of any on which bytes wait to be read.
	silentPatience, headPatience, maxPatience = 5 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond
	// maxAdmissionWait bounds the time for which a new connection, and those behind it, wait for a place.
	maxAdmissionWait = 3 * maxPatience
	// maxEvictions bounds the connections that are closed for one.
	maxEvictions = 8
	// sweepPeriod is the interval at which connections are closed whose time is over.
	sweepPeriod = 250 * time.Millisecond
	// defaultTimeout is the time for the head of a request and that for which a connection may be idle, unless Limits has
	// others. idleSlack is added to the idle timeout, so that a request that is sent just before it still finds its
	// connection open; headSlack is added to the timeout of heads.
	defaultTimeout       = 10 * time.Second
	idleSlack, headSlack = 500 * time.Millisecond, 500 * time.Millisecond
	// defaultHeadBytes is the maximum size of a head unless Limits has another one, maxHeadBytes that for which an HTTP
	// server is set up.
	defaultHeadBytes, maxHeadBytes = 128 << 10, 16 << 20
)

// Limits are the limits that clients are told. The acceptor allows more by a margin, as it counts other bytes and is not the
// only one that takes time. 0 stands for no limit; a default applies then.
type Limits struct {
	// HeadBytes is the maximum size of the head of a request, HeadTimeout the time in which it must arrive.
	HeadBytes   int
	HeadTimeout time.Duration
	// IdleTimeout is the time for which a connection is kept open between two requests, and before the first.
	IdleTimeout time.Duration
}

// maxHead returns the size in bytes of a head that is refused.
func (l Limits) maxHead() int {
	if l.HeadBytes <= 0 {
		return defaultHeadBytes
	}
	return l.HeadBytes + l.HeadBytes/4 + 1<<10
}

// headTimeout returns the time after its first byte after which an incomplete head is refused.
func (l Limits) headTimeout() time.Duration {
	if l.HeadTimeout <= 0 {
		return defaultTimeout
	}
	return l.HeadTimeout + l.HeadTimeout/4 + headSlack
}

// idleTimeout returns the time after which a connection is closed on which nothing arrives.
func (l Limits) idleTimeout() time.Duration {
	if l.IdleTimeout <= 0 {
		return defaultTimeout + idleSlack
	}
	return l.IdleTimeout + idleSlack
}

// Config configures an Acceptor. All fields are required.
type Config struct {
	// Account grants memory for connections and for the heads of requests.
	Account *accountant.Account
	// Limits returns the limits that apply at present. It must be cheap.
	Limits func() Limits
	Log    *zap.Logger
	Scope  tally.Scope
}

const (
	// reservedDescriptors is the number of descriptors that are left to files.
	reservedDescriptors = 200
	// connectionFraction is the fraction of the other descriptors that clients and other entries may take. Each request
	// needs one more for its upstream.
	connectionFraction = 0.4
	// defaultDescriptors is the number of descriptors where the operating system states none, maxDescriptors the largest
	// that is used of what it states.
	defaultDescriptors, maxDescriptors = 1024, 1 << 20
	// tunnelFraction is the fraction of all descriptors for tunnels of other entries.
	tunnelFraction = 0.125
)

// MaxConnections returns the number of connections that a process may accept that may open a number of descriptors.
func MaxConnections(descriptors int) int {
	return max(1, int(connectionFraction*float64(descriptors-min(reservedDescriptors, descriptors/3))))
}

// SystemDescriptors returns the number of descriptors that the operating system allows the process, and defaultDescriptors
// if that is unknown.
func SystemDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

// MaxTunnels returns the number of connections that such a process may open for other entries.
func MaxTunnels(descriptors int) int { return max(1, int(tunnelFraction*float64(descriptors))) }

// Acceptor limits the connections of all listeners of a process. It is safe for concurrent use.
type Acceptor struct {
	config Config
	// refused counts the connections that were refused or closed for another one.
	refused *refusalCounter
	// lingering holds an element for each connection that is kept open until its client has read a refusal.
	lingering chan struct{}

	// lock guards the other fields, and those of listeners and connections that are said to be guarded by it.
	lock           sync.Mutex
	maxConnections int
	listeners      []*Listener
	// isSweeping is true while a timer is set that will call sweep.
	isSweeping bool
}

// New returns an Acceptor without listeners. The operating system limits its connections until SetMaxConnections is called.
func New(c Config) *Acceptor {
	return &Acceptor{config: c, maxConnections: MaxConnections(SystemDescriptors()), refused: newRefusalCounter(c.Log, c.Scope), lingering: make(chan struct{}, maxLingering)}
}

// SetMaxConnections sets the maximum number of connections at all listeners; see MaxConnections. If more are open, none is
// accepted for which no other one can be closed.
func (a *Acceptor) SetMaxConnections(n int) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.maxConnections = n
}

// reserved returns the number of places that only the connections of a listener may take. The lock must be held.
func (a *Acceptor) reserved(l *Listener) int {
	n := max(1, int(l.config.Share*float64(a.maxConnections)))
	if l.config.MaxReserved > 0 {
		n = min(n, l.config.MaxReserved)
	}
	return n
}

// hasPlace reports whether a listener may have one more connection. The lock must be held.
func (a *Acceptor) hasPlace(l *Listener) bool {
	if l.count < a.reserved(l) {
		return true
	}
	if l.config.IsPrivate {
		return false
	}
	free := a.maxConnections
	for _, other := range a.listeners {
		free -= max(other.count, a.reserved(other))
	}
	return free > 0
}

// victim returns the connection that is to be closed for one of a listener. If there is none, it returns the time after
// which there may be one, 0 if all connections are serving requests. The lock must be held.
func (a *Acceptor) victim(l *Listener, now time.Time) (*Conn, time.Duration) {
	var chosen *Conn
	wait := time.Duration(0)
	for _, other := range a.listeners {
		if other != l && (l.config.IsPrivate || other.count <= a.reserved(other)) {
			continue
		}
		for _, waiting := range [...]*connList{&other.silent, &other.reading, &other.idle, &other.ending} {
			c := waiting.oldest()
			if c == nil {
				continue
			}
			if left := c.patience() - now.Sub(c.since); left > 0 {
				if wait == 0 || left < wait {
					wait = left
				}
				continue
			}
			if chosen == nil || c.isBefore(chosen) {
				chosen = c
			}
		}
	}
	return chosen, wait
}

// admit returns a connection of a listener that counts, nil if it was refused.
func (a *Acceptor) admit(l *Listener, raw net.Conn) *Conn {
	for began := time.Now(); ; {
		c, reason, wait := a.tryAdmit(l, raw)
		if c != nil {
			return c
		}
		if wait == 0 || time.Since(began) >= maxAdmissionWait {
			a.refused.add(l.config.Name, reason)
			a.answer(l, raw, http.StatusServiceUnavailable)
			return nil
		}
		l.awaitPlace(wait)
	}
}

// tryAdmit returns a connection of a listener that counts. If there is no room for it, it returns the reason, and the time
// after which there may be; 0 if that is unknown.
func (a *Acceptor) tryAdmit(l *Listener, raw net.Conn) (*Conn, string, time.Duration) {
	a.lock.Lock()
	defer a.lock.Unlock()
	now := time.Now()
	for evictions := 0; !a.hasPlace(l); evictions++ {
		oldest, wait := a.victim(l, now)
		if oldest == nil || evictions == maxEvictions {
			return nil, reasonNoPlace, wait
		}
		a.evict(oldest)
	}
	holding := a.config.Account.Open("", accountant.Connection)
	if l.count < a.reserved(l) {
		holding.Force(l.config.connectionBytes())
	} else if wait, ok := a.grow(l, holding, l.config.connectionBytes(), nil); !ok {
		holding.Close()
		return nil, reasonNoMemory, wait
	}
	c := &Conn{Conn: raw, listener: l, holding: holding, isReadingHead: l.config.IsHTTP}
	l.count++
	l.silent.add(c, now)
	a.scheduleSweep()
	return c, "", 0
}

// grow makes a holding larger by n bytes, and closes other connections until these are granted. It reports whether they
// are, and if not, the time after which it may be tried again; 0 if that is unknown. It closes no connection that has
// waited less than the connection own, nil for a new one. The lock must be held.
func (a *Acceptor) grow(l *Listener, holding *accountant.Holding, n int64, own *Conn) (time.Duration, bool) {
	for range maxEvictions {
		if holding.Grow(n) {
			return 0, true
		}
		oldest, wait := a.victim(l, time.Now())
		if oldest == nil || oldest == own || own != nil && own.isBefore(oldest) {
			return wait, false
		}
		a.evict(oldest)
	}
	return 0, holding.Grow(n)
}

// evict closes a connection for another one. The lock must be held.
func (a *Acceptor) evict(c *Conn) { a.end(c, reasonEvicted, http.StatusServiceUnavailable) }

// end refuses a connection with a status if a part of a head has arrived on it, and closes it otherwise. It does nothing if
// the connection was closed already. The lock must be held.
func (a *Acceptor) end(c *Conn, reason string, status int) {
	isReading := c.list == &c.listener.reading
	if !a.forget(c) {
		return
	}
	if reason != "" {
		a.refused.add(c.listener.config.Name, reason)
	}
	if status == 0 || !isReading {
		_ = c.Conn.Close()
		return
	}
	a.answer(c.listener, c.Conn, status)
}

// forget gives back what a connection takes. It reports whether it was open. The lock must be held.
func (a *Acceptor) forget(c *Conn) bool {
	if c.isForgotten {
		return false
	}
	c.isForgotten = true
	c.leaveList()
	c.listener.count--
	c.holding.Close()
	for _, l := range a.listeners {
		select {
		case l.freed <- struct{}{}:
		default:
		}
	}
	return true
}

// scheduleSweep sets the timer for sweep. The lock must be held.
func (a *Acceptor) scheduleSweep() {
	if a.isSweeping {
		return
	}
	a.isSweeping = true
	time.AfterFunc(sweepPeriod, a.sweep)
}

// sweep closes the connections whose time is over.
func (a *Acceptor) sweep() {
	limits := a.config.Limits()
	a.lock.Lock()
	defer a.lock.Unlock()
	a.isSweeping = false
	now := time.Now()
	for _, l := range a.listeners {
		closeOlder := func(waiting *connList, limit time.Duration, reason string, status int) {
			for c := waiting.oldest(); c != nil && now.Sub(c.since) >= limit; c = waiting.oldest() {
				a.end(c, reason, status)
			}
		}
		closeOlder(&l.reading, limits.headTimeout(), reasonHeadTimeout, http.StatusRequestTimeout)
		closeOlder(&l.ending, limits.headTimeout(), reasonBodyUnread, 0)
		closeOlder(&l.silent, limits.idleTimeout(), reasonSilent, 0)
		if l.config.IsHTTP {
			closeOlder(&l.idle, limits.idleTimeout(), "", 0)
		}
		if l.count > 0 {
			a.scheduleSweep()
		}
	}
}
