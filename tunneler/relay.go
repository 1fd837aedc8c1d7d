package tunneler

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/rpc"
	"os"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/accountant"
	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/watcher"
)

const (
	// maxServedTunnels is the maximum number of tunnels that an entry serves unless SetMaxServed was called.
	maxServedTunnels = 1024
	// leaseTime is the time after which a tunnel ends without a call of the entry that opened it.
	leaseTime = 3 * time.Second
	// servedTunnelBytes is the memory that counts for a tunnel: the data of a call in each direction, as it is sent and
	// encoded, and the buffers of the connection.
	servedTunnelBytes = 4*tunnelBufferBytes + 16<<10
)

// errNoTunnel is the error of a call for a tunnel that does not exist.
var errNoTunnel = errors.New("no such tunnel")

// servedTunnels holds the tunnels that an entry serves as a relay. It is safe for concurrent use.
type servedTunnels struct {
	lock sync.Mutex
	open map[uint64]*servedTunnel
	// most is the maximum number of them.
	most int
	// isStopping is true once no more tunnels are to be opened.
	isStopping bool
}

// servedTunnel is a connection of a relay to an upstream for another entry.
type servedTunnel struct {
	connection net.Conn
	args       OpenArgs
	began      time.Time
	// lease ends the tunnel.
	lease *watcher.SilenceTimer
	// memory holds servedTunnelBytes.
	memory *accountant.Holding
}

// close ends the lease, closes the connection and releases the memory.
func (u *servedTunnel) close() {
	u.lease.Stop()
	_ = u.connection.Close()
	u.memory.Close()
}

// service serves the net/rpc calls of entries that use this one as a relay.
type service struct{ tunneler *Tunneler }

// Register makes an rpc.Server serve other entries with this one as a relay.
func (t *Tunneler) Register(calls *rpc.Server) error {
	if err := calls.RegisterName(serviceName, service{t}); err != nil {
		return fmt.Errorf("register tunnels: %w", err)
	}
	return nil
}

// Stop makes the entry open no more tunnels for others. Open ones go on.
func (t *Tunneler) Stop() {
	t.served.lock.Lock()
	defer t.served.lock.Unlock()
	t.served.isStopping = true
}

// SetMaxServed sets the maximum number of tunnels that the entry serves. Open ones go on.
func (t *Tunneler) SetMaxServed(n int) {
	t.served.lock.Lock()
	defer t.served.lock.Unlock()
	t.served.most = n
}

// isStopping reports whether Stop was called.
func (t *Tunneler) isStopping() bool {
	t.served.lock.Lock()
	defer t.served.lock.Unlock()
	return t.served.isStopping
}

// Served returns the number of tunnels that are open for other entries.
func (t *Tunneler) Served() int {
	t.served.lock.Lock()
	defer t.served.lock.Unlock()
	return len(t.served.open)
}

// Open connects to an upstream for another entry.
func (s service) Open(args OpenArgs, reply *OpenReply) error {
	reply.Outcome, reply.ID = s.tunneler.serve(args)
	s.tunneler.config.Log.Info("tunnel", zap.String("request", args.RequestID), zap.String("from", args.From), zap.Stringer("address", args.Upstream), zap.String("outcome", string(reply.Outcome)))
	return nil
}

// serve opens a tunnel.
func (t *Tunneler) serve(args OpenArgs) (Outcome, uint64) {
	if outcome := t.admit(args); outcome != Opened {
		return outcome, 0
	}
	memory := t.config.Account.Open("", accountant.Request)
	if !memory.Grow(servedTunnelBytes) {
		return Busy, 0
	}
	ctx, cancel := context.WithTimeout(t.closed, args.Timeout)
	defer cancel()
	connection, err := t.dialAsRelay(ctx, args.Upstream)
	if err != nil {
		memory.Close()
	}
	var cutOff CutOffError
	switch {
	case errors.As(err, &cutOff), t.closed.Err() != nil:
		return CutOff, 0
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused, 0
	case err != nil:
		return Unreachable, 0
	}
	// Calls for data and calls that write run side by side, and only the first of them learns of a reset.
	return Opened, t.served.add(t, connector.DetectReset(connection), args, memory)
}

// admit returns Opened if a tunnel may be opened, and the reason otherwise.
func (t *Tunneler) admit(args OpenArgs) Outcome {
	_, isListed := t.dataCentreOf(args.Upstream)
	t.served.lock.Lock()
	defer t.served.lock.Unlock()
	switch {
	case t.served.isStopping:
		return Stopping
	case !isListed:
		return Unlisted
	case len(t.served.open) >= t.served.most:
		return Busy
	case t.IsCutOff():
		return CutOff
	}
	return Opened
}

// add adds a connection, and returns the ID of its tunnel.
func (s *servedTunnels) add(t *Tunneler, connection net.Conn, args OpenArgs, memory *accountant.Holding) uint64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	id := rand.Uint64()
	s.open[id] = &servedTunnel{connection: connection, args: args, began: time.Now(), memory: memory, lease: watcher.NewSilenceTimer(leaseTime, func() { t.endServed(id, "lease_expired") })}
	t.metrics.served.Update(float64(len(s.open)))
	return id
}

// use returns a tunnel, and extends its lease.
func (s *servedTunnels) use(id uint64) (*servedTunnel, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	u, ok := s.open[id]
	if !ok {
		return nil, errNoTunnel
	}
	u.lease.Reset(leaseTime)
	return u, nil
}

// closeAll closes the connections of all tunnels.
func (s *servedTunnels) closeAll() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.isStopping = true
	for id, u := range s.open {
		u.close()
		delete(s.open, id)
	}
}

// endServed closes a tunnel. It does nothing if the tunnel is closed already.
func (t *Tunneler) endServed(id uint64, reason string) {
	t.served.lock.Lock()
	u, ok := t.served.open[id]
	delete(t.served.open, id)
	t.metrics.served.Update(float64(len(t.served.open)))
	t.served.lock.Unlock()
	if !ok {
		return
	}
	u.close()
	t.config.Log.Info("tunnel_ended", zap.String("request", u.args.RequestID), zap.String("from", u.args.From), zap.Stringer("address", u.args.Upstream), zap.String("outcome", reason), zap.Duration("took_ms", time.Since(u.began)))
}

// Read returns the next data of an upstream, or none after args.Wait.
func (s service) Read(args ReadArgs, reply *ReadReply) error {
	u, err := s.tunneler.served.use(args.ID)
	if err != nil || args.Wait <= 0 {
		return err
	}
	reply.IsStopping = s.tunneler.isStopping()
	reply.Data = make([]byte, tunnelBufferBytes)
	_ = u.connection.SetReadDeadline(time.Now().Add(min(args.Wait, readWait))) // fails on a closed connection, as Read does
	n, err := u.connection.Read(reply.Data)
	reply.Data = reply.Data[:n]
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	if _, err := s.tunneler.served.use(args.ID); err != nil {
		return err // this entry has closed the connection
	}
	reply.IsEnded = errors.Is(err, io.EOF)
	reply.IsBroken = !reply.IsEnded
	return nil
}

// Write sends data to an upstream.
func (s service) Write(args WriteArgs, reply *WriteReply) error {
	u, err := s.tunneler.served.use(args.ID)
	if err != nil {
		return err
	}
	_ = u.connection.SetWriteDeadline(time.Now().Add(readWait)) // as in Read
	reply.Written, err = u.connection.Write(args.Data)
	reply.IsBroken = err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return nil
}

// Close ends a tunnel.
func (s service) Close(args CloseArgs, _ *struct{}) error {
	s.tunneler.endServed(args.ID, "closed")
	return nil
}
