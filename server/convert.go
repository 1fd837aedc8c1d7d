package server

import (
	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/keeper"
	"github.com/sapphireramp/sapphireramp/router"
)

// digestToWire converts an engine's load for other entries.
func digestToWire(d keeper.Digest) api.LoadDigest {
	out := api.LoadDigest{Engine: d.Engine, Incarnation: d.Incarnation, Leaving: d.Leaving, FreeTokens: d.FreeTokens}
	// Trailing zeros are left out: most engines have nothing queued.
	for c, tokens := range d.Queued {
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

// queueFromWire converts what another entry said is queued. What it says of classes
// that do not exist is left out.
func queueFromWire(tokens []int) router.Queue {
	var q router.Queue
	copy(q[:], tokens)
	return q
}

// classFromWire converts a class from the wire; one that does not exist counts as
// the longest.
func classFromWire(class int) router.Class {
	if class < 0 || class >= router.Classes {
		return router.Longest
	}
	return router.Class(class)
}
