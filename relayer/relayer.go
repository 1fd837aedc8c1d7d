// Package relayer puts the answer of one request together from the chunks of
// one or more attempts. Only chunks of the attempt in progress, at the offset
// reached, are passed on; everything else is dropped and counted, or ends the
// attempt so that it is resumed at the offset reached.
package relayer

import "github.com/sapphireramp/sapphireramp/api"

// ChunkResult on a chunk.
type ChunkResult int

// The verdicts.
const (
	// Deliver: pass the text on to the caller.
	Deliver ChunkResult = iota
	// Drop: a late, crossed or repeated chunk; go on reading.
	Drop
	// Whole: the answer is complete; the text, if any, is to be passed on.
	Whole
	// Broken: the attempt can't be trusted further; resume elsewhere.
	Broken
)

var resultNames = [...]string{"Deliver", "Drop", "Whole", "Broken"}

func (v ChunkResult) String() string { return resultNames[v] }

// UndeliveredCounts of chunks that were not delivered, by reason.
type UndeliveredCounts struct {
	Foreign     int
	Stale       int
	Repeated    int
	WrongOffset int
	WrongTotal  int
}

// Relayer assembles one answer. It is not safe for concurrent use.
type Relayer struct {
	requestID string
	// attemptID is the attempt in progress, empty before the first.
	attemptID string
	// delivered is the answer tokens passed on. It never falls.
	delivered int
	whole     bool
	counts    UndeliveredCounts
}

// New returns a relayer for a request.
func New(requestID string) *Relayer {
	return &Relayer{requestID: requestID}
}

// Begin starts an attempt. It returns the offset to resume from. Chunks of
// earlier attempts are stale from here on.
func (r *Relayer) Begin(attemptID string) int {
	r.attemptID = attemptID
	return r.delivered
}

// Delivered is the answer tokens passed on.
func (r *Relayer) Delivered() int { return r.delivered }

// IsWhole reports whether the end marker with the right count was seen.
func (r *Relayer) IsWhole() bool { return r.whole }

// Undelivered returns what was not delivered.
func (r *Relayer) Undelivered() UndeliveredCounts { return r.counts }

// Accept judges a chunk. On Deliver and Whole the text returned is to be
// passed on, and only that.
func (r *Relayer) Accept(c api.CompletionChunk) (string, ChunkResult) {
	if c.ID != r.requestID {
		r.counts.Foreign++
		return "", Drop
	}
	if c.AttemptID != r.attemptID || r.whole {
		r.counts.Stale++
		return "", Drop
	}
	if len(c.Choices) != 1 {
		r.counts.WrongOffset++
		return "", Broken
	}
	choice := c.Choices[0]
	switch {
	case choice.Tokens < 0 || c.Offset < 0 || c.Offset > r.delivered:
		r.counts.WrongOffset++
		return "", Broken
	case c.Offset < r.delivered && c.Offset+choice.Tokens > r.delivered:
		// The chunk spans the offset reached: its text can't be cut.
		r.counts.WrongOffset++
		return "", Broken
	case c.Offset < r.delivered && choice.FinishReason == "":
		r.counts.Repeated++
		return "", Drop
	case c.Offset < r.delivered:
		r.counts.WrongTotal++
		return "", Broken
	}
	return r.acceptNext(c, choice)
}

func (r *Relayer) acceptNext(c api.CompletionChunk, choice api.CompletionChoice) (string, ChunkResult) {
	nextOffset := c.Offset + choice.Tokens
	if choice.FinishReason == "" {
		r.delivered = nextOffset
		return choice.Text, Deliver
	}
	if c.Usage == nil || c.Usage.CompletionTokens != nextOffset {
		r.counts.WrongTotal++
		return "", Broken
	}
	r.delivered = nextOffset
	r.whole = true
	return choice.Text, Whole
}
