package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/accountant"
	"github.com/sapphireramp/sapphireramp/isolator"
	"github.com/sapphireramp/sapphireramp/watcher"
)

const (
	// requestBytes is the memory that counts for a request besides its header and body: the buffers and goroutines
	// of its two connections, and freeBytes of its response.
	requestBytes = 64 << 10
	// bodyChunkBytes is the maximum size of the parts in which a body is held, minChunkBytes that of the first part of
	// a body of unknown length.
	bodyChunkBytes, minChunkBytes = 64 << 10, 2 << 10
	// bodyCheckPeriod is the interval at which a body that is being read is checked for progress, and the time without
	// a byte after which it is refused while memory is short.
	bodyCheckPeriod = time.Second
	// refusedBodyTime is the time for which the rest of a refused body is read and dropped, so that the caller gets
	// the refusal: closing a connection with unread bytes resets it.
	refusedBodyTime = time.Second
)

var (
	errMemoryShort = errors.New("no memory for the request at this entry")
	errBodyStalled = errors.New("the caller stopped sending the request body, or sends it too slowly")
)

// requestBody is the body of a request in memory. It counts in the account of the entry until the exchange has released
// it and all readers are closed, as a transport may still send it when the response has arrived.
type requestBody struct {
	// chunks hold the content, of size bytes. They are not changed once the body was read.
	chunks [][]byte
	size   int64
	lock   sync.Mutex
	// users is the number of open readers, plus one until release was called, which isReleased tells. holding is closed
	// when it gets 0.
	users      int
	isReleased bool
	holding    *accountant.Holding
}

// newRequestBody returns an empty body that counts in a holding.
func newRequestBody(holding *accountant.Holding) *requestBody {
	return &requestBody{users: 1, holding: holding}
}

// read reads a body of an expected size until its end. It fails if it is larger than limit, unless that is 0. Where the
// expected size is negative, that is unknown, the memory for the body is taken from the account as it arrives;
// errMemoryShort is returned if there is none. onRead is called after each read.
func (b *requestBody) read(source io.Reader, expected, limit int64, onRead func()) error {
	if limit > 0 {
		source = io.LimitReader(source, limit+1)
	}
	for next := int64(minChunkBytes); ; next = min(2*next, bodyChunkBytes) {
		size := next
		if expected >= 0 {
			size = min(bodyChunkBytes, max(1, expected-b.size+1)) // one more, to read the end
		} else if !b.holding.Grow(size) {
			return errMemoryShort
		}
		chunk := make([]byte, 0, size)
		for len(chunk) < cap(chunk) {
			n, err := source.Read(chunk[len(chunk):cap(chunk)])
			chunk = chunk[:len(chunk)+n]
			b.size += int64(n)
			onRead()
			if err != nil {
				b.chunks = append(b.chunks, chunk)
			}
			if errors.Is(err, io.EOF) {
				return nil
			}
			if err != nil {
				return fmt.Errorf("read request body: %w", err)
			}
		}
		b.chunks = append(b.chunks, chunk)
	}
}

// release ends the use of the body by its exchange. Later calls have no effect, and a nil body is allowed.
func (b *requestBody) release() {
	if b == nil {
		return
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	if !b.isReleased {
		b.isReleased = true
		b.leave()
	}
}

// leave subtracts one user. The lock must be held.
func (b *requestBody) leave() {
	if b.users--; b.users > 0 {
		return
	}
	b.chunks = nil
	b.holding.Close()
}

// open returns a reader of the whole body. It implements no io.Seeker and the request gets no GetBody, so that the
// transport never sends a request a second time by itself.
func (b *requestBody) open() io.ReadCloser {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.users++
	return &bodyReader{body: b, chunks: b.chunks}
}

// bodyReader reads a requestBody.
type bodyReader struct {
	body *requestBody
	lock sync.Mutex
	// chunks are the chunks not read yet, the first of them from offset on.
	chunks   [][]byte
	offset   int
	isClosed bool
}

func (r *bodyReader) Read(p []byte) (int, error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.isClosed {
		return 0, io.ErrClosedPipe
	}
	for len(r.chunks) > 0 && r.offset == len(r.chunks[0]) {
		r.chunks, r.offset = r.chunks[1:], 0
	}
	if len(r.chunks) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.chunks[0][r.offset:])
	r.offset += n
	return n, nil
}

// Close ends the use of the body. The transport closes each body that it was given.
func (r *bodyReader) Close() error {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.isClosed {
		return nil
	}
	r.isClosed, r.chunks = true, nil
	r.body.lock.Lock()
	defer r.body.lock.Unlock()
	r.body.leave()
	return nil
}

// reserveMemory returns a filter that refuses a request, with status 503, if the entry has no memory for it, even without
// a body.
func (f *Forwarder) reserveMemory(next handler) handler {
	return func(x *exchange) *failure {
		holding := f.account.Open("", accountant.Request)
		defer holding.Close()
		needed := requestBytes + int64(headerSize(x.request))
		if !holding.Grow(needed) {
			return f.refuseForMemory(x, needed)
		}
		defer func() { f.metrics.memoryHeld.Update(float64(f.account.Usage().Held)) }()
		return next(x)
	}
}

// readBody returns a filter that reads the whole request body before the first attempt, so that an
// attempt can be repeated and an upstream that responds early never gets half a body. It sets the
// fingerprint of the request. It refuses bodies that are larger than the configuration allows, with
// status 413, that the entry has no memory for, with 503, and those that are not complete by the
// deadline or make no progress, with 408.
func (f *Forwarder) readBody(next handler) handler {
	return func(x *exchange) *failure {
		maxBytes, length := x.view.Table.Config.Limits.BodyBytes, x.request.ContentLength
		tooLarge := &failure{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge, cause: fmt.Errorf("request body: must be at most %d bytes", maxBytes)}
		if maxBytes > 0 && length > maxBytes {
			return tooLarge
		}
		x.body = newRequestBody(f.account.Open(x.organisation, accountant.Request))
		defer x.body.release()
		if !x.body.holding.Grow(max(0, length)) {
			return f.refuseForMemory(x, length)
		}
		err := f.receiveBody(x, maxBytes)
		if shutdownFail := x.shutdownFailure(x.ctx, f.view(), err); shutdownFail != nil {
			return shutdownFail
		}
		switch {
		case errors.Is(err, errMemoryShort):
			return f.refuseForMemory(x, x.body.size+bodyChunkBytes)
		case errors.Is(err, errBodyStalled):
			return &failure{status: http.StatusRequestTimeout, reason: reasonBodyUnread, cause: err}
		case errors.Is(err, context.Canceled), x.ctx.Err() != nil:
			return &failure{status: http.StatusRequestTimeout, reason: reasonCallerLeft, cause: err}
		case err != nil:
			return &failure{status: http.StatusRequestTimeout, reason: reasonBodyUnread, cause: err}
		case maxBytes > 0 && x.body.size > maxBytes:
			return tooLarge
		}
		x.bodyRead = true
		x.fingerprint = fingerprintOf(x)
		x.parts = isolator.PartsOf(x.organisation, x.metadata.SharedParts)
		f.isolator.RecordRequest(x.parts)
		return next(x)
	}
}

// receiveBody reads the body of a request into memory. Its error is errBodyStalled if the caller makes no progress.
func (f *Forwarder) receiveBody(x *exchange, maxBytes int64) error {
	if x.request.ContentLength == 0 {
		return nil
	}
	controller := http.NewResponseController(x.writer)
	_ = controller.SetReadDeadline(x.deadline)
	// A cancelled request, also one cancelled by the exit of the entry, interrupts the read, so that
	// a refusal can still be sent to the caller.
	stop := context.AfterFunc(x.ctx, func() { _ = controller.SetReadDeadline(time.Now()) })
	defer stop()
	p := f.watchProgress(x, func() { _ = controller.SetReadDeadline(time.Now()) })
	err := x.body.read(x.request.Body, x.request.ContentLength, maxBytes, p.recordRead)
	stop()
	if p.stop() {
		return errBodyStalled
	}
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
	}
	return err
}

// refuseForMemory returns the failure, with status 503, of a request that needs more memory than the account grants.
func (f *Forwarder) refuseForMemory(x *exchange, needed int64) *failure {
	use, retryAfter := f.account.Usage(), f.account.RetryAfter(needed)
	f.metrics.refusedForMemory.Inc(1)
	f.log.Warn("memory_short", zap.String("request", x.metadata.ID), zap.String("organisation", x.organisation), zap.Int64("needed", needed),
		zap.Int64("held", use.Held), zap.Int64("large", use.Large), zap.Int64("buffers", use.Buffers), zap.Int64("connections", use.Connections), zap.Int64("limit", use.Limit), zap.Duration("retry_after_ms", retryAfter))
	return notRunFailure(reasonMemoryShort, retryAfter, errMemoryShort)
}

// discardBody reads and drops the rest of the body of a refused request, for refusedBodyTime at most.
func (x *exchange) discardBody() {
	controller := http.NewResponseController(x.writer)
	_ = controller.EnableFullDuplex()
	_ = controller.Flush()
	_ = controller.SetReadDeadline(time.Now().Add(refusedBodyTime))
	_, _ = io.Copy(io.Discard, x.request.Body)
}

// progress watches the progress of a body that is being read.
type progress struct {
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
func (f *Forwarder) watchProgress(x *exchange, interrupt func()) *progress {
	p := &progress{lastReadAt: time.Now(), body: x.body}
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
func (p *progress) recordRead() {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.received != p.body.size {
		p.lastReadAt, p.received = time.Now(), p.body.size
	}
}

// stop ends the watch, and reports whether the read was interrupted.
func (p *progress) stop() bool {
	p.timer.Stop()
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.isStalled
}
