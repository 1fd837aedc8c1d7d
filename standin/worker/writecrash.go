package worker

import (
	"context"
	"io"
	"net"
	"net/http"
)

// WriteCrash determines which streams crash a worker, and when. The crash comes crashDelay after the stream has
// reached the point at which it is due.
type WriteCrash struct {
	// IsDue reports whether a stream whose request has the given X-Prompt-Prefix crashes the worker. It is called
	// as the stream is written and must be safe for concurrent use.
	IsDue func(promptParts string) bool
	// EventsBefore is the number of events that are written before. After at least one, the crash is within an
	// event.
	EventsBefore int
	// Unframed makes streams have neither a length nor chunks, so that they end with their connection. The
	// crash is within an event then.
	Unframed bool
}

// SetWriteCrash sets which streams crash the worker, in the way that OnCrash sets. It must be called before the
// first request.
func (w *Worker) SetWriteCrash(c *WriteCrash) { w.writeCrash = c }

// of returns c if it applies to a request, nil otherwise.
func (c *WriteCrash) of(r *http.Request) *WriteCrash {
	if r.Header.Get("X-Prompt-Prefix") == "" {
		return nil
	}
	return c
}

// unframedWriter writes a response to its connection without a length or chunks.
type unframedWriter struct {
	http.ResponseWriter
	connection net.Conn
}

// newUnframedWriter takes over the connection of a response, and writes its header. The returned request has a
// context that is cancelled when the client disconnects, and end closes the connection.
func newUnframedWriter(response http.ResponseWriter, r *http.Request) (w http.ResponseWriter, watched *http.Request, end func()) {
	connection, buffer, err := http.NewResponseController(response).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = response.Header().Write(buffer)
	_, _ = buffer.WriteString("\r\n")
	_ = buffer.Flush()
	ctx, cancel := context.WithCancel(r.Context())
	go func() {
		defer cancel()
		_, _ = io.Copy(io.Discard, connection)
	}()
	return unframedWriter{response, connection}, r.WithContext(ctx), func() { _ = connection.Close() }
}

// Write writes to the connection.
func (u unframedWriter) Write(p []byte) (int, error) { return u.connection.Write(p) }

// FlushError does nothing, as Write does not buffer.
func (u unframedWriter) FlushError() error { return nil }
