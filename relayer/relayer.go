// Package relayer assembles the answer to one request from the chunks of one or more attempts. It
// delivers only chunks of the current attempt that start at the number of tokens already delivered.
// Other chunks are dropped and counted, or end the attempt, so that the next one resumes after the
// last delivered token.
package relayer

import "github.com/sapphireramp/sapphireramp/api"

// ChunkResult says what the caller of Relayer.Accept must do with a chunk.
type ChunkResult int

// The results of Relayer.Accept.
const (
	// Deliver means that the text must be sent to the caller.
	Deliver ChunkResult = iota
	// Drop means that the chunk belongs to another request or an earlier attempt, or repeats
	// delivered tokens. It must be ignored; the attempt continues.
	Drop
	// Whole means that the answer is complete. The text, if any, must be sent to the caller.
	Whole
	// Broken means that the attempt sent an invalid chunk or an end that does not match the tokens
	// delivered. It must be abandoned and the answer resumed by another attempt.
	Broken
)

var resultNames = [...]string{"Deliver", "Drop", "Whole", "Broken"}

func (r ChunkResult) String() string { return resultNames[r] }

// UndeliveredCounts counts the chunks that were not delivered, by reason.
type UndeliveredCounts struct {
	// Foreign counts chunks of other requests.
	Foreign int
	// Stale counts chunks of earlier attempts, and chunks after the end of the answer.
	Stale int
	// Repeated counts chunks whose tokens were all delivered before.
	Repeated int
	// WrongOffset counts chunks that do not start at the next token, and chunks that do not have
	// exactly one choice.
	WrongOffset int
	// WrongTotal counts end markers that have no token count, or one that differs from the
	// tokens delivered.
	WrongTotal int
}

// Relayer assembles the answer to one request. It is not safe for concurrent use.
type Relayer struct {
	requestID string
	// attemptID is the ID of the current attempt, empty before the first.
	attemptID string
	// delivered is the number of answer tokens delivered. It never decreases.
	delivered int
	// whole is set when the complete answer was accepted.
	whole  bool
	counts UndeliveredCounts
}

// New returns a relayer for a request that has no attempt yet.
func New(requestID string) *Relayer {
	return &Relayer{requestID: requestID}
}

// BeginAttempt starts an attempt and returns the number of answer tokens to resume after. Chunks of
// earlier attempts are dropped from then on.
func (r *Relayer) BeginAttempt(attemptID string) int {
	r.attemptID = attemptID
	return r.delivered
}

// DeliveredTokens returns the number of answer tokens delivered.
func (r *Relayer) DeliveredTokens() int { return r.delivered }

// IsWhole reports whether the answer is complete, that is, an end marker with the right token count
// was accepted.
func (r *Relayer) IsWhole() bool { return r.whole }

// Undelivered returns the counts of chunks that were not delivered, over all attempts.
func (r *Relayer) Undelivered() UndeliveredCounts { return r.counts }

// Accept checks a chunk and returns the text to send to the caller. The text is empty unless the
// result is Deliver or Whole.
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
		// The chunk holds both delivered and new tokens, and its text can't be split between them.
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

// acceptNext accepts a chunk that starts at the next token. If it is an end marker with a wrong
// token count, the result is Broken.
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
