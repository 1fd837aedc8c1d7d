package accountant_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/accountant"
)

// Guards against heads whose end is missed, or seen too early, because of where reads divide them.
func TestHeadScannerFindsTheEnd(t *testing.T) {
	is := is.New(t)
	const head, body = "GET /x HTTP/1.1\r\nHost: h\r\nX-Long: a\r\n b\r\nX:\r\n\r\n", "\r\n\r\nbody"
	for step := 1; step <= len(head+body); step++ {
		var s accountant.HeadScanner
		rest := 0
		for data := head + body; data != ""; data = data[min(step, len(data)):] {
			next := data[:min(step, len(data))]
			rest += len(next) - s.Scan([]byte(next))
		}
		is.True(s.IsComplete())
		is.Equal(s.Size(), len(head))
		is.Equal(rest, len(body))
		is.Equal(s.Memory(), accountant.HeadMemory(len(head), strings.Count(head, "\n")))
	}
	var s accountant.HeadScanner
	s.Scan([]byte("GET / HTTP/1.1\n\n"))
	is.True(s.IsComplete())
}

// Guards against heads of which only the bytes count: many short fields take many times as much.
func TestShortFieldsCountMore(t *testing.T) {
	is := is.New(t)
	var long, short accountant.HeadScanner
	long.Scan([]byte("X: " + strings.Repeat("x", 9000)))
	short.Scan([]byte(strings.Repeat("x:\n", 3000)))
	is.Equal(long.Size()/1000, short.Size()/1000)
	is.True(short.Memory() > 20*long.Memory())
}
