package connector

import (
	"net"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// A peer that takes nothing must not block the writer: net/rpc holds a lock
// while it writes.
func TestQueuedConnDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		q := NewQueued(near)
		var err error
		for range 2 * maxQueued {
			if _, err = q.Write([]byte("message")); err != nil {
				break
			}
		}
		is.Equal(err, errBacklog)
		_, err = q.Write([]byte("message"))
		is.Equal(err, net.ErrClosed)
	})
}
