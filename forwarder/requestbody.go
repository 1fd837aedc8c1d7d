package forwarder

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/sapphireramp/sapphireramp/accountant"
)

// maxChunkBytes is the maximum size of the parts in which a body is held, minChunkBytes that of the first part of a body of
// unknown length.
const maxChunkBytes, minChunkBytes = 64 << 10, 2 << 10

// errMemoryShort is the error of a request for which the account of the entry grants no memory.
var errMemoryShort = errors.New("no memory for the request at this entry")

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
	for next := int64(minChunkBytes); ; next = min(2*next, maxChunkBytes) {
		size := next
		if expected >= 0 {
			size = min(maxChunkBytes, max(1, expected-b.size+1)) // one more, to read the end
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
