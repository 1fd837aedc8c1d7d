package acceptor

import (
	"errors"
	"net/http"
	"sync/atomic"
)

// errUnfinished is the error of closing a connection for writes whose response is not complete.
var errUnfinished = errors.New("response is not complete")

// response is the state of the response to a request of HTTP/1.0 on a connection. It may have neither a length nor chunks,
// so that the end of the connection is that of the response. Until the whole response was written, the kernel therefore
// resets the connection when it is closed, also where that is because the process is killed.
type response struct {
	// resetsOnClose is true while SO_LINGER is 0, so that closing the connection resets it.
	resetsOnClose atomic.Bool
	// hasReturned is true once the handler has returned without a panic, hasFailed while the last write has failed.
	hasReturned, hasFailed atomic.Bool
}

// serveHTTP10 serves a request of HTTP/1.0 with a handler. It makes the connection end with a reset until finishResponse.
func (c *Conn) serveHTTP10(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	c.response.hasReturned.Store(false)
	c.setLinger(0)
	c.response.resetsOnClose.Store(true)
	handler.ServeHTTP(w, r)
	c.response.hasReturned.Store(true) // not reached by a panic
}

// finishResponse makes the connection end in order when it is closed, unless its response is not complete; it reports
// whether it does. It is called when the server has written all that it has.
func (c *Conn) finishResponse() bool {
	if !c.response.resetsOnClose.Load() {
		return true
	}
	if !c.response.hasReturned.Load() || c.response.hasFailed.Load() || c.isWriting() {
		return false
	}
	c.response.resetsOnClose.Store(false)
	c.setLinger(-1)
	return true
}

// setLinger sets for how many seconds the kernel sends what is left when the connection is closed: 0 resets it, a negative
// number is the default. Connections of simulated networks have no such setting.
func (c *Conn) setLinger(seconds int) {
	if socket, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		_ = socket.SetLinger(seconds) // fails on a closed connection, which has ended already
	}
}
