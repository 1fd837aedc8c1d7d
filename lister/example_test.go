package lister_test

import (
	"fmt"
	"time"

	"github.com/sapphireramp/sapphireramp/lister"
)

func Example() {
	now := time.Now()
	l := lister.New(20 * time.Second)
	// The platform is unreachable; a peer has a list that is a minute old.
	fmt.Println(l.ShouldFetch(now, "digest", time.Minute), l.Offer(now, []byte("old"), time.Minute))
	// The platform replies: its list replaces the peer's.
	fmt.Println(l.Offer(now, []byte("new"), 0), string(l.Current()))
	// A peer's list is ignored while the platform confirms this one.
	fmt.Println(l.Offer(now.Add(time.Second), []byte("other"), 500*time.Millisecond))
	// After the platform has been silent, a peer's list is fetched only if it is younger.
	later := now.Add(time.Minute)
	fmt.Println(l.ShouldFetch(later, "digest", 2*time.Minute), l.ShouldFetch(later, "digest", time.Second))
	// Output:
	// true true
	// true new
	// false
	// false true
}
