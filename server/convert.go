package server

import (
	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/apportioner"
	"github.com/sapphireramp/sapphireramp/keeper"
	"github.com/sapphireramp/sapphireramp/router"
)

// loadEstimateToWire converts a keeper's estimate of an engine's load to its wire form.
func loadEstimateToWire(estimate keeper.LoadEstimate) api.LoadDigest {
	out := api.LoadDigest{Engine: estimate.Engine, Incarnation: estimate.Incarnation, Leaving: estimate.Leaving, FreeTokens: estimate.FreeTokens}
	// Trailing zeros are omitted, as most engines have nothing queued.
	for c, tokens := range estimate.QueuedTokens {
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

// grantRequestFromWire converts what another entry asks of a keeper from its wire form.
func grantRequestFromWire(args api.AskArgs) keeper.GrantRequest {
	return keeper.GrantRequest{
		AttemptID: args.AttemptID, Model: args.Model, Class: classFromWire(args.Class), PrefillTokens: args.PrefillTokens,
		MemoryTokens: args.MemoryTokens, Remaining: args.Remaining, Organisation: args.Organisation, Rank: rankOf(args.Rank), SentBefore: args.SentBefore,
	}
}

// rankOf returns the rank of requests of an organisation for which the configuration document states the given rank.
func rankOf(documentRank int) apportioner.Rank { return apportioner.NewRank(documentRank, 0) }

// queuedTokensFromWire converts queued prompt tokens, by length class, from their wire form, in which
// trailing zeros are omitted. Elements beyond router.ClassCount, of an entry with more classes, are ignored.
func queuedTokensFromWire(tokens []int) router.TokensByClass {
	var queued router.TokensByClass
	copy(queued[:], tokens)
	return queued
}

// classFromWire converts a prompt's length class from its wire form. An unknown class becomes Longest.
func classFromWire(class int) router.LengthClass {
	if class < 0 || class >= router.ClassCount {
		return router.Longest
	}
	return router.LengthClass(class)
}
