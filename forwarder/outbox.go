package forwarder

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/accountant"
)

// outbox passes a stream on to its caller on a goroutine of its own, so that the stream of the engine is read while the
// caller reads slowly: an engine that is not read keeps memory and slots. After the response header, the writer must
// only be used by the outbox until finish or abort has returned.
type outbox struct {
	writer http.ResponseWriter
	// holding holds the part of what is not written above freeBytes.
	holding *accountant.Holding

	lock sync.Mutex
	// queue holds the bytes that are not passed to the writer yet, writing is the number of those that are being
	// written.
	queue   []byte
	writing int
	// isClosed is true once no more is added. err is the error of the writer; nil before.
	isClosed bool
	err      error
	// hasChanged and hasWritten, of capacity 1, hold an element after a change by the adding side, and after one
	// by the writing side. done is closed when the goroutine has ended.
	hasChanged, hasWritten, done chan struct{}
}

// newOutbox returns an outbox for a response whose header was written, and starts its goroutine, which closes the
// holding at its end.
func newOutbox(w http.ResponseWriter, holding *accountant.Holding) *outbox {
	o := &outbox{writer: w, holding: holding, hasChanged: make(chan struct{}, 1), hasWritten: make(chan struct{}, 1), done: make(chan struct{})}
	go o.run()
	return o
}

// signal adds an element to a channel of capacity 1 unless it holds one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// add adds bytes. If that would exceed the bounds of what is held, it blocks until the caller has read enough or ctx is
// done. It returns the error of the writer or the cause with which ctx was cancelled.
func (o *outbox) add(ctx context.Context, p []byte) error {
	for {
		isAdded, err := o.tryAdd(p)
		if err != nil {
			return err
		}
		if isAdded {
			signal(o.hasChanged)
			return nil
		}
		select {
		case <-o.hasWritten:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// tryAdd adds bytes if the bounds allow it, and always if nothing is held. It returns the error of the writer.
func (o *outbox) tryAdd(p []byte) (bool, error) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.err != nil {
		return false, o.err
	}
	size := len(o.queue) + o.writing + len(p)
	more := max(0, int64(size-freeBytes)-o.holding.Bytes())
	if size > len(p) && more > 0 && (size > maxStreamBytes || !o.holding.Grow(more)) {
		return false, nil
	}
	if size == len(p) {
		_ = o.holding.Grow(more) // a single event is added in any case: the splitter has taken memory for it
	}
	o.queue = append(o.queue, p...)
	return true, nil
}

// run passes what is added on until the outbox is closed and empty, or the writer fails.
func (o *outbox) run() {
	defer close(o.done)
	defer o.holding.Close()
	flush := http.NewResponseController(o.writer).Flush
	var spare []byte
	for {
		o.lock.Lock()
		if len(o.queue) == 0 {
			isClosed := o.isClosed
			o.lock.Unlock()
			if isClosed {
				return
			}
			<-o.hasChanged
			continue
		}
		// The spare array becomes the queue only here, as it must not be that of the batch.
		batch := o.queue
		o.queue, o.writing = spare[:0], len(batch)
		o.lock.Unlock()
		_, err := o.writer.Write(batch)
		if err == nil {
			_ = flush()
		}
		if spare = batch; cap(spare) > freeBytes {
			spare = nil
		}
		o.lock.Lock()
		o.writing, o.err = 0, err
		o.holding.Shrink(o.holding.Bytes() - max(0, int64(len(o.queue)-freeBytes)))
		o.lock.Unlock()
		signal(o.hasWritten)
		if err != nil {
			return
		}
	}
}

// finish waits until the caller has got everything, however slowly it reads, and returns the error of the writer.
func (o *outbox) finish() error {
	o.close()
	<-o.done
	return o.err
}

// abortTime is the time within which what was added before abort is still passed on. A caller that reads has had it by
// then; it is half of the time for final responses at the exit of an entry.
const abortTime = 50 * time.Millisecond

// abort ends the outbox of a response that will not be complete. A nil outbox is allowed, and one that has ended.
func (o *outbox) abort() {
	if o == nil {
		return
	}
	o.close()
	late := time.NewTimer(abortTime)
	defer late.Stop()
	select {
	case <-o.done:
		return
	case <-late.C:
	}
	_ = http.NewResponseController(o.writer).SetWriteDeadline(time.Now())
	<-o.done
}

// close makes run return once it has passed everything on.
func (o *outbox) close() {
	o.lock.Lock()
	o.isClosed = true
	o.lock.Unlock()
	signal(o.hasChanged)
}
