package forwarder

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// What an entry holds of responses that their callers have not read yet is bounded per connection and in all. Beyond the
// bounds the entry reads no more from the upstream until the caller has read.
const (
	// freeBytes is the size up to which each response is held whatever other callers read: that of most
	// responses, and less than the buffers of its two connections.
	freeBytes = 32 << 10
	// maxStreamBytes is the size up to which the unread part of a stream is held, so that its engine can end it
	// although the caller reads slowly: eight answers of the mean length.
	maxStreamBytes = 256 << 10
	// maxHeldBytes is the size up to which the parts above freeBytes of all responses are held: a sixth of the
	// memory of the smallest instances in use, which have 184 MB and of which an entry takes 124 MB at most.
	maxHeldBytes = 32 << 20
)

// heldBytes counts the bytes of responses that the entry holds above freeBytes of each. It is safe for concurrent use.
type heldBytes struct{ total atomic.Int64 }

// take adds n bytes, and reports whether maxHeldBytes allows that. If it does not, nothing is added.
func (h *heldBytes) take(n int) bool {
	if h.total.Add(int64(n)) <= maxHeldBytes {
		return true
	}
	h.total.Add(int64(-n))
	return false
}

// release subtracts n bytes.
func (h *heldBytes) release(n int) { h.total.Add(int64(-n)) }

// read reads a response body until its end or until it has read limit bytes, and less if maxHeldBytes allows no more. It
// returns the bytes, how many were taken from h, and whether the body has ended. The capacity of the bytes is at most
// freeBytes plus those taken. The expected length of the body is negative if unknown.
func (h *heldBytes) read(body io.Reader, expected int64, limit int) (data []byte, taken int, isComplete bool, err error) {
	data = make([]byte, 0, min(max(512, int(min(expected+1, freeBytes))), limit))
	for {
		if len(data) == cap(data) {
			size := min(2*cap(data), limit)
			if expected > int64(size) {
				size = int(min(expected+1, int64(limit)))
			}
			more := max(0, size-freeBytes) - taken
			if size == cap(data) || !h.take(more) {
				return data, taken, false, nil
			}
			taken += more
			data = append(make([]byte, 0, size), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, taken, true, nil
		}
		if err != nil {
			return data, taken, false, fmt.Errorf("read response: %w", err)
		}
	}
}
