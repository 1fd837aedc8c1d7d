package server

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/client"
)

// Guards against calls all going to the instance that the document lists first while the others are idle.
func TestCallsAreSpreadOverInstances(t *testing.T) {
	withCrashingServices(t, 3, func(f *testFleet, c *crashingServices) {
		is := is.New(t)
		for range 90 {
			_, err := f.client(1).Call(context.Background(), "dispatch", "lookup", []byte("{}"), client.Options{Timeout: 5 * time.Second})
			is.NoErr(err)
		}
		served := c.answerCounts()
		is.Equal(len(served), 3)
		for _, n := range served {
			is.True(n >= 10) // an even spread would be 30
		}
	})
}

// Guards against a frozen instance receiving a third of all calls, each of which runs into its timeout, for
// as long as the instance is listed.
func TestCallsAvoidAFrozenInstance(t *testing.T) {
	withCrashingServices(t, 3, func(f *testFleet, c *crashingServices) {
		is := is.New(t)
		c.freeze(host(4, 2))
		caller := f.client(1)
		failed := 0
		for range 60 {
			if _, err := caller.Call(context.Background(), "dispatch", "lookup", []byte("{}"), client.Options{Timeout: time.Second}); err != nil {
				failed++
			}
		}
		is.True(failed <= 6) // at most two per entry
		c.freeze(netip.Addr{})
		time.Sleep(20 * time.Second)
		before := c.answerCounts()[host(4, 2)]
		for range 60 {
			_, err := caller.Call(context.Background(), "dispatch", "lookup", []byte("{}"), client.Options{Timeout: time.Second})
			is.NoErr(err)
		}
		is.True(c.answerCounts()[host(4, 2)] > before) // the instance is used again
	})
}

// Guards against answers that are none in HTTP, or never end, which end calls with an internal error, are kept as answers
// of tickets, leave the instance's placement behind, or take memory without a bound.
func TestSpoiledAnswersOfServices(t *testing.T) {
	filler := strings.Repeat("x", 4000)
	for name, write := range map[string]func(net.Conn){
		"status 000": func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}") },
		"status 101": func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 101 OK\r\nContent-Length: 2\r\n\r\n{}") },
		"status 700": func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 700 OK\r\nContent-Length: 2\r\n\r\n{}") },
		"LF before a name": func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\nX-Broken: a\r\nContent-Length: 2\r\n\r\n{}")
		},
		"space before a name": func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Broken: a\r\n Content-Length: 2\r\n\r\n{")
		},
		"chunks in HTTP/1.0": func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n")
		},
		"cut off": func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{}") },
		"endless head": func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			for _, err := fmt.Fprintf(c, "X-Filler: %s\r\n", filler); err == nil; _, err = fmt.Fprintf(c, "X-Filler: %s\r\n", filler) {
				time.Sleep(time.Millisecond)
			}
		},
		"endless body": func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
			for _, err := io.WriteString(c, filler); err == nil; _, err = io.WriteString(c, filler) {
				time.Sleep(time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			withCrashingServices(t, 2, func(f *testFleet, c *crashingServices) {
				is := is.New(t)
				caller := f.client(1)
				for range 20 { // so that connections are open
					_, err := caller.Call(context.Background(), "dispatch", "lookup", []byte("{}"), client.Options{Timeout: 5 * time.Second})
					is.NoErr(err)
				}
				c.spoil(host(4, 1), write)
				for range 20 { // repeated at the other instance
					answer, err := caller.Call(context.Background(), "dispatch", "lookup", []byte("{}"), client.Options{Timeout: 20 * time.Second})
					is.NoErr(err)
					is.Equal(answer.Text, "{}")
				}
				c.spoil(host(4, 2), write)
				for range 5 { // with a ticket, as a call that may run once
					_, err := caller.Call(context.Background(), "dispatch", "truck", []byte("{}"), client.Options{Timeout: 20 * time.Second, AtMostOnce: true})
					is.True(err != nil)
					is.True(!strings.Contains(err.Error(), "internal error"))
				}
				c.spoil(host(4, 1), nil)
				c.spoil(host(4, 2), nil)
				time.Sleep(20 * time.Second)
				for range 20 {
					_, err := caller.Call(context.Background(), "dispatch", "lookup", []byte("{}"), client.Options{Timeout: 5 * time.Second})
					is.NoErr(err)
				}
			})
		})
	}
}
