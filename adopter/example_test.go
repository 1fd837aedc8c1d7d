package adopter_test

import (
	"fmt"
	"time"

	"github.com/sapphireramp/sapphireramp/adopter"
	"github.com/sapphireramp/sapphireramp/validator"
)

func document(revision int, comment string) []byte {
	return fmt.Appendf(nil, `# %s
Revision: %d
Models: [{Name: m, Versions: ["1"]}]
Organisations: [{Name: o, KeyDigest: %s, Models: [m], MaxInFlight: 1}]
Engines: [{Name: e, Model: m, Version: "1", Role: Mixed, MemoryTokens: 10, PrefillRate: 1, ChecksFences: true, ChecksOrders: true}]
Limits: {MaxPromptTokens: 10, MaxNewTokens: 1, MaxTimeout: 1m, DefaultTimeout: 1m, MaxGroup: 1, MaxInFlight: 1}
Policy: {ShortTokens: 1, ShortWeight: 0}
`, comment, revision, validator.Digest(nil))
}

func Example() {
	now := time.Now()
	a := adopter.New("platform", "peer")
	fmt.Println(a.Offer(now, document(2, "")).Status)
	fmt.Println(a.Offer(now, document(1, "")).Status)
	fmt.Println(a.Offer(now, []byte("Revision: 3")).Status)
	a.MarkSourceTried("platform")
	fmt.Println(a.IsReady())
	a.MarkSourceTried("peer")
	fmt.Println(a.IsReady(), a.Version().Revision)
	// Output:
	// Adopted
	// Older
	// Refused
	// false
	// true 2
}
