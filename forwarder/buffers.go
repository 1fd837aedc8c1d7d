package forwarder

import (
	"errors"
	"fmt"
	"io"

	"github.com/sapphireramp/sapphireramp/accountant"
)

// What an entry holds of responses that their callers have not read yet is bounded per connection and, by the account of
// the entry, in all. Beyond the bounds the entry reads no more from the upstream until the caller has read.
const (
	// freeBytes is the size up to which each response is held whatever other callers read: that of most
	// responses, and less than the buffers of its two connections. It is a part of requestBytes.
	freeBytes = 32 << 10
	// maxStreamBytes is the size up to which the unread part of a stream is held, so that its engine can end it
	// although the caller reads slowly: eight answers of the mean length.
	maxStreamBytes = 256 << 10
)

// readHeld reads a response body until its end or until it has read limit bytes, and less if the account grants no more.
// It returns the bytes and whether the body has ended. The capacity of the bytes is at most freeBytes plus what it has
// added to the holding. The expected length of the body is negative if unknown.
func readHeld(holding *accountant.Holding, body io.Reader, expected int64, limit int) (data []byte, isComplete bool, err error) {
	data = make([]byte, 0, min(max(512, int(min(expected+1, freeBytes))), limit))
	for {
		if len(data) == cap(data) {
			size := min(2*cap(data), limit)
			if expected > int64(size) {
				size = int(min(expected+1, int64(limit)))
			}
			if size == cap(data) || !holding.Resize(int64(max(0, size-freeBytes))) {
				return data, false, nil
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, true, nil
		}
		if err != nil {
			return data, false, fmt.Errorf("read response: %w", err)
		}
	}
}
