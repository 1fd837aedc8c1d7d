package connector

import (
	"net"
	"runtime"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// A peer that does not read must not block the writer, since net/rpc holds a lock while it
// writes.
func TestQueuedConnDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		q := NewQueuedConn(near, nil)
		var err error
		for range 2 * maxPendingWrites {
			if _, err = q.Write([]byte("message")); err != nil {
				break
			}
		}
		is.Equal(err, errQueueFull)
		_, err = q.Write([]byte("message"))
		is.Equal(err, net.ErrClosed)
	})
}

// At one heartbeat per 0.2 s a connection has at most one message in its queue. When queues were
// allocated at full size, a thousand connections without any message used 24 MB.
func TestIdleQueueUsesLittleMemory(t *testing.T) {
	is := is.New(t)
	const connections, limit = 1000, 4 << 10
	conns := make([]net.Conn, connections)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range conns {
		near, far := net.Pipe()
		conns[i] = NewQueuedConn(near, nil)
		_ = far.Close()
	}
	runtime.ReadMemStats(&after)
	allocated := (after.TotalAlloc - before.TotalAlloc) / connections
	t.Logf("%d bytes a connection", allocated)
	is.True(allocated < limit)
	for _, c := range conns {
		is.NoErr(c.Close())
	}
}
