package accountant

import (
	"errors"
	"fmt"
	"io"
)

// ErrNoMemory is returned by ReadAll if the account grants no memory for what is to be read.
var ErrNoMemory = errors.New("no memory for it at this entry")

// TooLargeError is returned by ReadAll if there is more to read than Limit bytes.
type TooLargeError struct{ Limit int64 }

func (e TooLargeError) Error() string { return fmt.Sprintf("exceeds %d bytes", e.Limit) }

// firstReadBytes is the size of the first buffer of ReadAll.
const firstReadBytes = 4 << 10

// ReadAll reads until the end, up to limit bytes. The bytes count in the holding before they are read; copies is the number
// of times that they will be held. The expected size is taken at once; it is negative if unknown.
func ReadAll(h *Holding, r io.Reader, expected, limit, copies int64) ([]byte, error) {
	if expected > limit {
		return nil, TooLargeError{Limit: limit}
	}
	size := max(firstReadBytes, expected+1) // one more, to read the end
	if !h.Grow(copies * size) {
		return nil, ErrNoMemory
	}
	data := make([]byte, 0, size)
	for {
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, TooLargeError{Limit: limit}
		case errors.Is(err, io.EOF):
			h.Shrink(copies * (size - int64(len(data))))
			return data, nil
		case err != nil:
			return nil, fmt.Errorf("read: %w", err)
		}
		if len(data) < cap(data) {
			continue
		}
		more := min(size, limit+1-size)
		if !h.Grow(copies * more) {
			return nil, ErrNoMemory
		}
		size += more
		data = append(make([]byte, 0, size), data...)
	}
}
