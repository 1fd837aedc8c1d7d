package forwarder

import (
	"errors"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/watcher"
)

// bodyCheckPeriod is the interval at which a body that is being read is checked for progress, and the time without a byte
// after which it is refused while memory is short.
const bodyCheckPeriod = time.Second

// errBodyStalled is the error of reading a body whose caller makes no progress while memory is short.
var errBodyStalled = errors.New("the caller stopped sending the request body, or sends it too slowly")

// bodyProgress watches the progress of a body that is being read.
type bodyProgress struct {
	lock  sync.Mutex
	timer *watcher.SilenceTimer
	// lastReadAt is when bytes last arrived, received the number of those that have.
	lastReadAt time.Time
	received   int64
	body       *requestBody
	// isStalled is true once interrupt was called.
	isStalled bool
}

// watchProgress calls interrupt if, while memory is short, the caller of x sends nothing for bodyCheckPeriod, or so slowly
// that the body will not be complete by the deadline. While memory is not short, the deadline is the only limit.
func (f *Forwarder) watchProgress(x *exchange, interrupt func()) *bodyProgress {
	p := &bodyProgress{lastReadAt: time.Now(), body: x.body}
	began := time.Now()
	p.lock.Lock()
	defer p.lock.Unlock()
	p.timer = watcher.NewSilenceTimer(bodyCheckPeriod, func() {
		p.lock.Lock()
		defer p.lock.Unlock()
		now := time.Now()
		missing := x.request.ContentLength - p.received // below 0 if the length is unknown
		possible := float64(p.received) / now.Sub(began).Seconds() * x.deadline.Sub(now).Seconds()
		isHopeless := now.Sub(p.lastReadAt) >= bodyCheckPeriod || float64(missing) > possible
		if !isHopeless || !f.account.IsShort() {
			p.timer.Reset(bodyCheckPeriod)
			return
		}
		p.isStalled = true
		interrupt()
	})
	return p
}

// recordRead records that the body has grown.
func (p *bodyProgress) recordRead() {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.received != p.body.size {
		p.lastReadAt, p.received = time.Now(), p.body.size
	}
}

// stop ends the watch, and reports whether the read was interrupted.
func (p *bodyProgress) stop() bool {
	p.timer.Stop()
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.isStalled
}
