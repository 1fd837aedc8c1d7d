package tunneler

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	// openTimeout is the timeout of the call that opens a tunnel. It is longer than a race, as a relay that
	// does not answer within it is taken for dead, which ends its other tunnels too.
	openTimeout = time.Second
	// connectFraction is the fraction of the time left in which a relay is to connect to the upstream; the
	// rest is for the call.
	connectFraction = 0.8
	// readWait is the time after which a relay answers a call for data although there is none. callTimeout is
	// the time in which it answers any call on an open tunnel.
	readWait    = 400 * time.Millisecond
	callTimeout = readWait + time.Second
	// tunnelBufferBytes is the maximum size of the data in one call.
	tunnelBufferBytes = 16 << 10
)

// Tunnel is a connection to an upstream through a relay. It implements [net.Conn].
type Tunnel struct {
	// Conn is the end of a pipe at which the connection is used; far is the other one.
	net.Conn
	far      net.Conn
	tunneler *Tunneler
	relay    Relay
	id       uint64
	lock     sync.Mutex
	// endErr is why no more data comes; nil while it may, io.EOF if the upstream has closed the connection.
	endErr error
	once   sync.Once
}

// openTunnel opens a tunnel through a relay. Its error is a RelayError if the relay answers.
func (t *Tunneler) openTunnel(ctx context.Context, relay Relay, upstream netip.AddrPort) (*Tunnel, error) {
	began := time.Now()
	deadline, _ := ctx.Deadline()
	args := OpenArgs{RequestID: requestID(ctx), From: t.config.Name, Upstream: upstream, Timeout: time.Duration(connectFraction * float64(time.Until(deadline)))}
	if args.Timeout <= 0 {
		return nil, context.DeadlineExceeded
	}
	var reply OpenReply
	err := t.calls.Call(relay.Address, serviceName+".Open", args, &reply, openTimeout)
	if err == nil && reply.Outcome != Opened {
		err = RelayError{Relay: relay.Name, Outcome: reply.Outcome}
	}
	if err != nil && !reply.Outcome.showsFault() {
		t.relayHealth.avoid(time.Now(), relay.Name)
	}
	t.config.Log.Info("relay", zap.String("request", args.RequestID), zap.String("relay", relay.Name), zap.Stringer("address", upstream),
		zap.Bool("cut_off", t.IsCutOff()), zap.Duration("took_ms", time.Since(began)), zap.String("outcome", string(reply.Outcome)), zap.Error(err))
	if err != nil {
		return nil, fmt.Errorf("open tunnel: %w", err)
	}
	t.metrics.tunnelled.Inc(1)
	t.monitor.recordSeen(time.Now(), upstream)
	near, far := net.Pipe()
	u := &Tunnel{Conn: near, far: far, tunneler: t, relay: relay, id: reply.ID}
	go u.receive()
	go u.transmit()
	return u, nil
}

// Read reads data of the upstream. Its error is io.EOF only if the upstream has closed the connection, and a
// TunnelLostError if the tunnel has ended.
func (u *Tunnel) Read(p []byte) (int, error) {
	n, err := u.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		u.lock.Lock()
		defer u.lock.Unlock()
		return n, u.endErr
	}
	return n, err
}

// IsLost reports whether the tunnel has ended while nothing is known of the upstream.
func (u *Tunnel) IsLost() bool {
	u.lock.Lock()
	defer u.lock.Unlock()
	var lost TunnelLostError
	return errors.As(u.endErr, &lost)
}

// end ends the connection with the error that Read then returns. Only the first call has an effect.
func (u *Tunnel) end(err error) {
	u.once.Do(func() {
		u.lock.Lock()
		u.endErr = err
		u.lock.Unlock()
		_ = u.far.Close()
		go func() {
			if err := u.call("Close", CloseArgs{ID: u.id}, new(struct{})); err != nil {
				u.tunneler.config.Log.Debug("tunnel_not_closed", zap.String("relay", u.relay.Name), zap.Error(err))
			}
		}()
	})
}

// call calls the relay.
func (u *Tunnel) call(method string, args, reply any) error {
	return u.tunneler.calls.Call(u.relay.Address, serviceName+"."+method, args, reply, callTimeout)
}

// receive passes on the data of the upstream until the connection ends.
func (u *Tunnel) receive() {
	for {
		var reply ReadReply
		if err := u.call("Read", ReadArgs{ID: u.id, Wait: readWait}, &reply); err != nil {
			u.end(TunnelLostError{Relay: u.relay.Name, Cause: err})
			return
		}
		if reply.IsStopping {
			u.tunneler.config.CloseIdle()
		}
		if !u.deliver(reply.Data) {
			return
		}
		switch {
		case reply.IsEnded:
			u.end(io.EOF)
			return
		case reply.IsBroken:
			u.end(fmt.Errorf("upstream behind %s: %w", u.relay.Name, syscall.ECONNRESET))
			return
		}
	}
}

// deliver writes data to the pipe, and reports whether the connection goes on. It extends the lease of the
// tunnel while nobody reads.
func (u *Tunnel) deliver(data []byte) bool {
	for len(data) > 0 {
		_ = u.far.SetWriteDeadline(time.Now().Add(readWait)) // fails if the pipe is closed, as Write does
		n, err := u.far.Write(data)
		data = data[n:]
		if err == nil {
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			u.end(net.ErrClosed)
			return false
		}
		if err := u.call("Read", ReadArgs{ID: u.id}, new(ReadReply)); err != nil {
			u.end(TunnelLostError{Relay: u.relay.Name, Cause: err})
			return false
		}
	}
	return true
}

// transmit sends the data that is written to the connection, until the connection ends.
func (u *Tunnel) transmit() {
	buffer := make([]byte, tunnelBufferBytes)
	for {
		n, err := u.far.Read(buffer)
		for data := buffer[:n]; len(data) > 0; {
			var reply WriteReply
			if callErr := u.call("Write", WriteArgs{ID: u.id, Data: data}, &reply); callErr != nil {
				u.end(TunnelLostError{Relay: u.relay.Name, Cause: callErr})
				return
			}
			if reply.IsBroken {
				return // receive learns how the connection ended
			}
			data = data[reply.Written:]
		}
		if err != nil {
			u.end(net.ErrClosed) // this end was closed
			return
		}
	}
}
