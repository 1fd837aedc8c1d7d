package connector

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/accountant"
)

// Guards against messages that are taken for too large because of where reads divide them.
func TestFramesAreFollowedThroughAnyReads(t *testing.T) {
	is := is.New(t)
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	for _, size := range []int{0, 1, 100, 127, 128, 129, 300, 70_000, 1 << 20} {
		is.NoErr(encoder.Encode(struct{ Text string }{strings.Repeat("x", size)}))
	}
	for _, step := range []int{1, 2, 3, 7, 1000, stream.Len()} {
		s := frameScanner{max: MaxFrameBytes}
		data, largest := stream.Bytes(), uint64(0)
		for len(data) > 0 {
			n := min(step, len(data))
			size, err := s.scan(data[:n])
			is.NoErr(err)
			data, largest = data[n:], max(largest, size)
		}
		is.Equal(s.left, uint64(0))
		is.True(largest > 1<<20 && largest < 1<<20+100)
	}
}

// Guards against peers that send, or announce, messages without an end, and against bytes that are none of this protocol:
// memory without a bound, and connections that are kept.
func TestPeerBytesWithoutEndCloseTheConnection(t *testing.T) {
	for name, begin := range map[string]string{
		"announced":  "\xfc\x7f\xff\xff\xff",
		"no length":  "\x80",
		"HTTP":       "HTTP/1.1 200 OK\r\n",
		"many zeros": strings.Repeat("\x00", 1000),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				account := accountant.New(16 << 20)
				near, far := net.Pipe()
				served := make(chan struct{})
				go func() {
					rpc.NewServer().ServeConn(NewQueuedConn(near, account))
					close(served)
				}()
				written := 0
				_, err := far.Write([]byte(begin))
				for err == nil && written < 4*MaxFrameBytes {
					var n int
					n, err = far.Write(bytes.Repeat([]byte("\xf8"), 4000))
					written += n
				}
				is.True(err != nil)
				is.True(written <= 2*MaxFrameBytes)
				<-served
				time.Sleep(time.Second)
				is.Equal(account.Usage().Held, int64(0))
			})
		})
	}
}

// Guards against replies without an end, on the connection of a caller.
func TestReplyWithoutEndFailsTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe()
		client := rpc.NewClient(NewQueuedConn(near, nil))
		go func() {
			buffer := make([]byte, 1000)
			_, _ = far.Read(buffer)
			_, _ = far.Write([]byte("\xfc\x7f\xff\xff\xff"))
			_, _ = far.Read(buffer)
		}()
		err := client.Call("Peer.Method", 1, new(int))
		is.True(err != nil)
		var tooLarge FrameTooLargeError
		is.True(errors.As(err, &tooLarge))
		_ = client.Close()
		_ = far.Close()
	})
}

// Guards against a message that is left incomplete and counts for less the more of it has come.
func TestIncompleteMessageCountsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		account := accountant.New(16 << 20)
		near, far := net.Pipe()
		go rpc.NewServer().ServeConn(NewServedConn(near, account, DefaultServedLimits()))
		const size = 1 << 20
		_, err := far.Write(append([]byte("\xfc\x00\x10\x00\x00"), bytes.Repeat([]byte{2}, size-1)...))
		is.NoErr(err)
		synctest.Wait()
		is.Equal(account.Usage().Held, int64(frameCopies*size))
		is.NoErr(far.Close())
		synctest.Wait()
		is.Equal(account.Usage().Held, int64(0))
	})
}

// Guards against accepted connections that are granted memory beyond the limit for messages that nobody asked for.
func TestAcceptedMessageNeedsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		account := accountant.New(1 << 20)
		near, far := net.Pipe()
		go rpc.NewServer().ServeConn(NewServedConn(near, account, DefaultServedLimits()))
		_, err := far.Write(append([]byte("\xfc\x00\x40\x00\x00"), bytes.Repeat([]byte{2}, 1<<20)...))
		is.True(err != nil)
		synctest.Wait()
		is.Equal(account.Usage().Held, int64(0))
	})
}

// Guards against a client that calls and reads no reply: up to 16 MiB of them were kept for each connection.
func TestUnreadRepliesNeedMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		account := accountant.New(1 << 20)
		near, far := net.Pipe()
		served := NewServedConn(near, account, DefaultServedLimits())
		written, err := 0, error(nil)
		for err == nil && written < maxPendingWrites {
			_, err = served.Write(make([]byte, 64<<10))
			written++
		}
		is.True(errors.Is(err, errQueueFull))
		is.True(written<<16 <= 1<<20)
		synctest.Wait()
		is.Equal(account.Usage().Held, int64(0))
		_ = far.Close()
	})
}

// Guards against requests that are larger than any of an entry, whose lists take many times their bytes.
func TestServedLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		account := accountant.New(16 << 20)
		send := func(frame []byte) (held int64, err error) {
			near, far := net.Pipe()
			go rpc.NewServer().ServeConn(NewServedConn(near, account, FrameLimits{FrameBytes: 64 << 10, FreeBytes: 4 << 10, Copies: 24}))
			_, err = far.Write(frame)
			synctest.Wait()
			held = account.Usage().Held
			_ = far.Close()
			synctest.Wait()
			return held, err
		}
		held, err := send(append([]byte("\xfe\x80\x00"), bytes.Repeat([]byte{2}, 0x7000)...)) // of 32 KiB
		is.NoErr(err)
		is.Equal(held, int64(24*0x8000))
		held, _ = send(append([]byte("\xfd\x01\x00\x01"), bytes.Repeat([]byte{2}, 0x7000)...)) // of 64 KiB and one byte
		is.Equal(held, int64(0))
	})
}

// Guards against type definitions without an end, which package encoding/gob keeps as long as the connection is open.
func TestTypeDefinitionsAreBounded(t *testing.T) {
	is := is.New(t)
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	fields := []reflect.StructField{{Name: "Field", Type: reflect.TypeFor[int]()}}
	for n := range 1000 {
		fields[0].Name = fmt.Sprintf("Field%d", n)
		is.NoErr(encoder.EncodeValue(reflect.New(reflect.StructOf(fields)).Elem()))
	}
	for _, step := range []int{1, 3, 1000} {
		s := frameScanner{max: MaxFrameBytes}
		var err error
		for data := stream.Bytes(); err == nil && len(data) > 0; data = data[min(step, len(data)):] {
			_, err = s.scan(data[:min(step, len(data))])
		}
		var tooLarge TypesTooLargeError
		is.True(errors.As(err, &tooLarge))
		is.True(tooLarge.Size > MaxTypeBytes && tooLarge.Size < MaxTypeBytes+100)
	}
}
