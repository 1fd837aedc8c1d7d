package accountant_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/accountant"
)

const mebibyte = 1 << 20

// takeAll opens holdings of a size for an owner until one is refused, and returns their number.
func takeAll(a *accountant.Account, owner string, size int64) int {
	for n := 0; ; n++ {
		if h := a.Open(owner, accountant.Request); !h.Grow(size) {
			h.Close()
			return n
		}
	}
}

// Guards against one owner that takes all memory, so that others with large requests get none.
func TestOwnersShareMemory(t *testing.T) {
	is := is.New(t)
	a := accountant.New(100 * mebibyte)
	first := takeAll(a, "first", mebibyte)
	second := takeAll(a, "second", mebibyte)
	third := takeAll(a, "third", mebibyte)
	t.Logf("%d, %d and %d MiB for three owners, one after the other", first, second, third)
	is.True(first >= 60 && first <= 75)
	is.True(second > 0)
	is.True(first+second+third <= 80) // of 100 MiB, a fifth is left to small holdings
}

// Guards against large requests that leave no memory for small ones, and against an account that exceeds its limit.
func TestModestHoldingsAreGrantedBesideLargeOnes(t *testing.T) {
	is := is.New(t)
	a := accountant.New(100 * mebibyte)
	for owner := range 30 {
		takeAll(a, string(rune('a'+owner)), 3*mebibyte)
	}
	modest := takeAll(a, "a", 64<<10)
	is.True(modest >= 20*mebibyte/(64<<10))
	is.True(a.Usage().Held <= a.Usage().Limit)
}

func TestHoldingGrowsAndShrinks(t *testing.T) {
	is := is.New(t)
	a := accountant.New(10 * mebibyte)
	h := a.Open("owner", accountant.Request)
	is.True(h.Grow(accountant.ModestBytes))
	is.Equal(a.Usage().Large, int64(0))
	is.True(h.Grow(mebibyte))
	is.Equal(a.Usage().Large, h.Bytes())
	is.True(!h.Grow(9 * mebibyte))
	h.Shrink(mebibyte)
	is.Equal(h.Bytes(), int64(accountant.ModestBytes))
	is.Equal(a.Usage().Large, int64(0))
	h.Close()
	h.Close()
	is.True(!h.Grow(1)) // closed
	is.Equal(a.Usage(), accountant.Usage{Limit: 10 * mebibyte, Refusals: 2})
	a.SetLimit(mebibyte)
	is.True(!a.Open("owner", accountant.Request).Grow(2 * mebibyte))
	var none *accountant.Holding
	is.True(none.Grow(100 * mebibyte))
	none.Close()
}

// Guards against callers that are told to come back when no memory will be free, or long after it is.
func TestRetryAfterFollowsReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := accountant.New(100 * mebibyte)
		is.Equal(a.RetryAfter(mebibyte), 4*time.Second) // nothing has been released
		for range 40 {
			h := a.Open("owner", accountant.Request)
			is.True(h.Grow(mebibyte))
			time.Sleep(100 * time.Millisecond)
			h.Close()
		}
		after := a.RetryAfter(10 * mebibyte) // 10 MiB a second are released
		is.True(after >= time.Second && after <= 2200*time.Millisecond)
		is.Equal(a.RetryAfter(1), 200*time.Millisecond)
	})
}

// Guards against responses that are read ahead and leave no memory for connections and requests.
func TestBuffersLeaveMemory(t *testing.T) {
	is := is.New(t)
	a := accountant.New(90 * mebibyte)
	for owner := range 30 {
		buffer := a.Open(string(rune('a'+owner)), accountant.Buffer)
		for buffer.Grow(64 << 10) {
		}
	}
	is.True(a.Usage().Buffers <= 30*mebibyte)
	connections := a.Open("", accountant.Connection)
	for connections.Grow(16 << 10) {
	}
	is.True(a.Usage().Held <= 81*mebibyte)
	is.True(takeAll(a, "a", 64<<10) >= 9*mebibyte/(64<<10))
}

func TestReadAllStaysWithinItsLimits(t *testing.T) {
	is := is.New(t)
	a := accountant.New(10 * mebibyte)
	text := strings.Repeat("x", mebibyte)
	for _, expected := range []int64{mebibyte, -1} {
		h := a.Open("owner", accountant.Request)
		data, err := accountant.ReadAll(h, strings.NewReader(text), expected, mebibyte, 2)
		is.NoErr(err)
		is.Equal(len(data), mebibyte)
		is.Equal(h.Bytes(), int64(2*mebibyte))
		_, err = accountant.ReadAll(h, strings.NewReader(text+"x"), expected, mebibyte, 1)
		is.Equal(err, accountant.TooLargeError{Limit: mebibyte})
		_, err = accountant.ReadAll(h, strings.NewReader(strings.Repeat(text, 20)), -1, 100*mebibyte, 1)
		is.Equal(err, accountant.ErrNoMemory)
		h.Close()
	}
	is.Equal(a.Usage().Held, int64(0))
}
