package server

import "testing"

// FuzzDecodePrompt checks that any request body is either decoded or refused and never makes the daemon
// panic.
func FuzzDecodePrompt(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":1,"stream":true}`))
	f.Add([]byte(`{"max_tokens":1e999}`))
	f.Add([]byte(`{"model":"m"}{}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := DecodeCompletionRequest(body)
		if (r == nil) == (err == nil) {
			t.Fatal("DecodeCompletionRequest must return either a prompt or an error")
		}
	})
}
