package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/admitter"
)

func Example() {
	now := time.Now()
	a := admitter.New(rand.New(rand.NewPCG(1, 1)))
	limits := admitter.Limits{MaxInFlight: 10, MaxTimeout: time.Minute, DefaultTimeout: time.Second}
	first := admitter.Request{ID: "1", Organisation: "o", OrganisationLimit: 1}
	deadline, refusal := a.Admit(now, limits, first)
	fmt.Println(deadline.Sub(now), refusal)
	_, refusal = a.Admit(now, limits, admitter.Request{ID: "2", Organisation: "o", OrganisationLimit: 1})
	fmt.Println(refusal.Code)
	fmt.Println(a.Release(now, "1"))
	fmt.Println(a.InFlight())
	// Output:
	// 1s <nil>
	// organisation_limit
	// true 0s
	// 0
}

func TestRefusals(t *testing.T) {
	limits := admitter.Limits{MaxInFlight: 1, MaxTimeout: time.Minute, DefaultTimeout: time.Second}
	cases := map[string]struct {
		timeout time.Duration
		code    string
		retry   bool
	}{
		"negative timeout":        {-time.Second, "deadline_past", false},
		"zero timeout":            {0, "deadline_past", false},
		"timeout above the limit": {time.Hour, "bad_request", false},
		"too many in flight":      {time.Second, "overloaded", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := admitter.New(rand.New(rand.NewPCG(1, 1)))
			if c.retry {
				_, refusal := a.Admit(time.Now(), limits, admitter.Request{ID: "0", Organisation: "p", OrganisationLimit: 1})
				is.Equal(refusal, nil)
			}
			_, refusal := a.Admit(time.Now(), limits, admitter.Request{ID: "1", Organisation: "o", OrganisationLimit: 1, Timeout: c.timeout, HasTimeout: true})
			is.Equal(refusal.Code, c.code)
			is.Equal(refusal.RetryAfter > 0, c.retry)
		})
	}
}
