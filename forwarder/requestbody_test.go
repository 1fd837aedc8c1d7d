package forwarder

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/accountant"
)

// Guards against a body whose memory counts as free while a transport still sends it, and against one that counts for ever.
func TestBodyCountsUntilNobodyUsesIt(t *testing.T) {
	is := is.New(t)
	account := accountant.New(10 << 20)
	text := strings.Repeat("body", 100_000)
	for _, expected := range []int64{int64(len(text)), -1} {
		body := newRequestBody(account.Open("", accountant.Request))
		is.True(body.holding.Grow(max(0, expected)))
		is.NoErr(body.read(iotest.HalfReader(strings.NewReader(text)), expected, 1<<20, func() {}))
		is.Equal(body.size, int64(len(text)))
		first, second := body.open(), body.open()
		body.release()
		body.release()
		is.NoErr(first.Close())
		is.NoErr(first.Close())
		is.True(account.Usage().Held >= int64(len(text)))
		data, err := io.ReadAll(second)
		is.NoErr(err)
		is.True(string(data) == text)
		is.NoErr(second.Close())
		is.Equal(account.Usage().Held, int64(0))
	}
}
