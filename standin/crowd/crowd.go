// Package crowd emulates clients that do not behave: they open connections to one address, send heads without an end,
// bytes that are no request, or nothing, and connect again as soon as their connection is closed. It also measures what
// the process that they connect to takes.
package crowd

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/netip"
	"reflect"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout and pause bound how often a client connects while it is turned away.
	dialTimeout, pause = time.Second, 10 * time.Millisecond
	// headBytes is the size of the heads of many fields. longBytes is that of heads of one long value, and of other
	// bytes without an end.
	headBytes, longBytes = 126 << 10, 1 << 20
	// frameBytes is the size of the message of package encoding/gob that is left incomplete, typeCount the number of types
	// that are defined on a connection.
	frameBytes, typeCount = 31 << 10, 4_000
)

// Sender writes what one client sends on a connection. It returns the error of the connection, or nil once nothing more
// is to be sent; the client keeps the connection open then.
type Sender func(io.Writer) error

// Silent sends nothing.
func Silent(io.Writer) error { return nil }

// Fields returns a Sender of the head of a GET request for a path that has many short, distinct fields. The head is
// completed or not.
func Fields(path string, isComplete bool) Sender {
	var head bytes.Buffer
	_, _ = fmt.Fprintf(&head, "GET %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\n", path)
	for n := 0; head.Len() < headBytes; n++ {
		_, _ = fmt.Fprintf(&head, "%x:\r\n", n)
	}
	if isComplete {
		head.WriteString("\r\n")
	}
	return send(head.Bytes())
}

// LongValue returns a Sender of the head of a GET request for a path that has a field of one mebibyte and no end.
func LongValue(path string) Sender {
	return send([]byte(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\nX-Long: ", path)), bytes.Repeat([]byte("v"), longBytes))
}

// LongName returns a Sender of the head of a GET request for a path that has a field with a name of one mebibyte and no end.
func LongName(path string) Sender {
	return send([]byte(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n", path)), bytes.Repeat([]byte("N"), longBytes))
}

// LongLine sends a request line of one mebibyte without an end.
func LongLine(w io.Writer) error {
	return send([]byte("GET /"), bytes.Repeat([]byte("p"), longBytes))(w)
}

// EmptyLines sends a mebibyte of empty lines.
func EmptyLines(w io.Writer) error { return send(bytes.Repeat([]byte("\r\n"), longBytes/2))(w) }

// Chunks returns a Sender of a POST request for a path whose body is a mebibyte in one chunk, and not complete.
func Chunks(path string) Sender {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 10000\r\nX-Token-Usage: 2000,200\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", path, 2*longBytes)
	return send([]byte(head), bytes.Repeat([]byte("b"), longBytes))
}

// Noise sends a mebibyte of bytes that are no message in any protocol.
func Noise(w io.Writer) error {
	return send(bytes.Repeat([]byte{0xfe, 0xff, 0x80, 0x01}, longBytes/4))(w)
}

// OpenFrame sends the beginning of a message of package encoding/gob that is left incomplete.
func OpenFrame(w io.Writer) error { return openFrame(frameBytes)(w) }

// LongFrame is OpenFrame with a message of a mebibyte.
func LongFrame(w io.Writer) error { return openFrame(longBytes)(w) }

// openFrame returns a Sender of size bytes of a message that is longer by one.
func openFrame(size uint32) Sender {
	length := binary.BigEndian.AppendUint32([]byte{0xfc}, size+1) // four bytes follow
	return send(length, bytes.Repeat([]byte{2}, int(size)))
}

// TypeDefinitions sends messages of package encoding/gob that define types, and no value.
func TypeDefinitions(w io.Writer) error { return send(typeDefinitions())(w) }

// typeDefinitions returns the messages that TypeDefinitions sends.
var typeDefinitions = sync.OnceValue(func() []byte {
	var messages firstWrites
	encoder := gob.NewEncoder(&messages)
	for n := range typeCount {
		messages.isWritten = false
		field := reflect.StructField{Name: fmt.Sprintf("Field%d", n), Type: reflect.TypeFor[int]()}
		if err := encoder.EncodeValue(reflect.New(reflect.StructOf([]reflect.StructField{field})).Elem()); err != nil {
			panic(err)
		}
	}
	return messages.Bytes()
})

// firstWrites keeps the first write since isWritten was reset: an encoder writes a type before its first value.
type firstWrites struct {
	bytes.Buffer
	isWritten bool
}

func (f *firstWrites) Write(p []byte) (int, error) {
	if f.isWritten {
		return len(p), nil
	}
	f.isWritten = true
	return f.Buffer.Write(p)
}

// send returns a Sender of some bytes.
func send(parts ...[]byte) Sender {
	return func(w io.Writer) error {
		for _, p := range parts {
			if _, err := w.Write(p); err != nil {
				return err
			}
		}
		return nil
	}
}

// Crowd is a number of clients at one address.
type Crowd struct {
	address netip.AddrPort
	sender  Sender
	// connected counts the connections that were opened.
	connected atomic.Int64
	stop      chan struct{}
	clients   sync.WaitGroup
	lock      sync.Mutex
	// open holds the open connections; nil once Stop was called.
	open map[net.Conn]bool
}

// Start starts a crowd of count clients at an address, each of which sends with sender on each connection that it opens.
func Start(address netip.AddrPort, count int, sender Sender) *Crowd {
	c := &Crowd{address: address, sender: sender, stop: make(chan struct{}), open: map[net.Conn]bool{}}
	for range count {
		c.clients.Go(c.run)
	}
	return c
}

// Connected returns the number of connections that the clients have opened.
func (c *Crowd) Connected() int64 { return c.connected.Load() }

// Stop closes all connections and returns once no client runs any more.
func (c *Crowd) Stop() {
	c.lock.Lock()
	open := c.open
	c.open = nil
	close(c.stop)
	for connection := range open {
		_ = connection.Close()
	}
	c.lock.Unlock()
	c.clients.Wait()
}

// run is one client.
func (c *Crowd) run() {
	for {
		if connection, err := net.DialTimeout("tcp", c.address.String(), dialTimeout); err == nil && c.add(connection) {
			c.connected.Add(1)
			if err := c.sender(connection); err == nil {
				_, _ = io.Copy(io.Discard, connection)
			}
			c.remove(connection)
		}
		select {
		case <-c.stop:
			return
		case <-time.After(pause):
		}
	}
}

// add adds an open connection, or closes it and returns false after Stop.
func (c *Crowd) add(connection net.Conn) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.open == nil {
		_ = connection.Close()
		return false
	}
	c.open[connection] = true
	return true
}

func (c *Crowd) remove(connection net.Conn) {
	c.lock.Lock()
	defer c.lock.Unlock()
	delete(c.open, connection)
	_ = connection.Close()
}
