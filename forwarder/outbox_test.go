package forwarder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/accountant"
)

// yieldingRecorder is a recorder that lets other goroutines run in the middle of a write.
type yieldingRecorder struct{ *httptest.ResponseRecorder }

func (r yieldingRecorder) Write(p []byte) (int, error) {
	for len(p) > 0 {
		n := min(len(p), 7)
		_, _ = r.ResponseRecorder.Write(p[:n])
		p = p[n:]
		runtime.Gosched()
	}
	return 0, nil
}

// Guards against bytes that are overwritten while they are passed on, since a buffer is used for two batches at once, and
// against bytes that stay counted as held.
func TestOutboxKeepsBytes(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		recorder := yieldingRecorder{httptest.NewRecorder()}
		account := accountant.New(4 * maxStreamBytes)
		o := newOutbox(recorder, account.Open("", accountant.Buffer))
		want := ""
		for n := range 400 {
			event := fmt.Sprintf("%d:%s\n", n, strings.Repeat(string(rune('a'+n%26)), random.IntN(600)))
			want += event
			is.NoErr(o.add(context.Background(), []byte(event)))
			for range random.IntN(300) {
				runtime.Gosched()
			}
		}
		is.NoErr(o.finish())
		is.True(recorder.Body.String() == want)
		is.Equal(account.Usage().Held, int64(0))
	}
}
