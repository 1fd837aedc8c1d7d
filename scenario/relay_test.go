package scenario

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// Ways to cut the cable between two processes.
const (
	// cutRefuse resets connections and refuses new ones.
	cutRefuse = "refuse"
	// cutStall carries nothing either way, and says nothing.
	cutStall = "stall"
	// cutAnswers carries what the caller sends and none of the answers.
	cutAnswers = "answers"
)

// relay stands before one process. It tells who connects by the address that
// the connection comes from, and treats each as the cable to it is set.
type relay struct {
	listener net.Listener
	back     netip.AddrPort

	lock sync.Mutex
	cuts map[netip.Addr]string
	open map[net.Conn]netip.Addr
}

func newRelay(front, back netip.AddrPort) (*relay, error) {
	l, err := net.Listen("tcp", front.String())
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, back: back, cuts: map[netip.Addr]string{}, open: map[net.Conn]netip.Addr{}}
	go r.serve()
	return r, nil
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.reset(func(netip.Addr) bool { return true })
}

func (r *relay) reset(which func(netip.Addr) bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for c, from := range r.open {
		if which(from) {
			_ = c.Close()
		}
	}
}

// set cuts or, with an empty way, mends the cable to an address. Mending
// resets what was stalled, as a real break outlasts any connection.
func (r *relay) set(from netip.Addr, way string) {
	r.lock.Lock()
	before := r.cuts[from]
	r.cuts[from] = way
	r.lock.Unlock()
	if way == cutRefuse || way == "" && before != "" {
		r.reset(func(a netip.Addr) bool { return a == from })
	}
}

func (r *relay) way(from netip.Addr) string {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.cuts[from]
}

func (r *relay) serve() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.carry(c)
	}
}

func (r *relay) carry(c net.Conn) {
	defer func() { _ = c.Close() }()
	from := c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	if r.way(from) == cutRefuse {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	back, err := net.DialTimeout("tcp", r.back.String(), time.Second)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	defer func() { _ = back.Close() }()
	r.lock.Lock()
	r.open[c] = from
	r.lock.Unlock()
	defer func() {
		r.lock.Lock()
		delete(r.open, c)
		r.lock.Unlock()
	}()
	done := make(chan struct{}, 2)
	go r.pipe(c, back, from, func(way string) bool { return way == cutStall }, done)
	go r.pipe(back, c, from, func(way string) bool { return way == cutStall || way == cutAnswers }, done)
	<-done
}

// pipe carries bytes until either end closes; while stalled it holds them.
func (r *relay) pipe(from, to net.Conn, source netip.Addr, stalled func(string) bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		for stalled(r.way(source)) {
			time.Sleep(5 * time.Millisecond)
		}
		if n > 0 {
			countBytes(source, n)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
