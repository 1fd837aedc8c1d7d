package server

import "testing"

// Whatever a caller sends is read or refused; it never brings the daemon down.
func FuzzDecodePrompt(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":1,"stream":true}`))
	f.Add([]byte(`{"max_tokens":1e999}`))
	f.Add([]byte(`{"model":"m"}{}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := DecodePrompt(body)
		if (r == nil) == (err == nil) {
			t.Fatal("neither a prompt nor an error, or both")
		}
	})
}
