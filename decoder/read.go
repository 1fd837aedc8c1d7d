package decoder

import (
	"fmt"
	"io"
)

// ReadAll reads until the end. Its error is a TooLargeError if there are more than limit bytes.
func ReadAll(r io.Reader, limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	if len(data) > limit {
		return nil, TooLargeError{Size: len(data), Limit: limit}
	}
	return data, nil
}
