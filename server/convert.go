package server

import (
	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/keeper"
	"github.com/sapphireramp/sapphireramp/router"
)

// digestToWire converts a keeper's load digest to its wire form.
func digestToWire(d keeper.LoadEstimate) api.LoadDigest {
	out := api.LoadDigest{Engine: d.Engine, Incarnation: d.Incarnation, Leaving: d.Leaving, FreeTokens: d.FreeTokens}
	// Trailing zeros are omitted, as most engines have nothing queued.
	for c, tokens := range d.QueuedTokens {
		if tokens == 0 {
			continue
		}
		for len(out.QueuedTokens) <= c {
			out.QueuedTokens = append(out.QueuedTokens, 0)
		}
		out.QueuedTokens[c] = tokens
	}
	return out
}

// queueFromWire converts queued prompt tokens, by length class, from their wire form. Classes unknown to this
// version are ignored.
func queueFromWire(tokens []int) router.TokensByClass {
	var q router.TokensByClass
	copy(q[:], tokens)
	return q
}

// classFromWire converts a prompt's length class from its wire form. An unknown class becomes Longest.
func classFromWire(class int) router.LengthClass {
	if class < 0 || class >= router.ClassCount {
		return router.Longest
	}
	return router.LengthClass(class)
}
