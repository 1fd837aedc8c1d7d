// Package relayer assembles the answer to one request from the chunks of one or more attempts. It
// delivers a chunk only if the current attempt sent it and its offset is the number of tokens
// delivered so far. Any other chunk is counted, and either dropped or reported as an error of the
// attempt, after which a new attempt resumes the answer after the last delivered token.
package relayer

import "github.com/sapphireramp/sapphireramp/api"

// ChunkResult says what the caller of Relayer.Accept must do with a chunk.
type ChunkResult int

// The results of Relayer.Accept.
const (
	// Deliver means that the chunk's text must be sent to the caller.
	Deliver ChunkResult = iota
	// Drop means that the chunk must be ignored while the attempt continues: it belongs to another
	// request or an earlier attempt, repeats delivered tokens, or follows the end of the answer.
	Drop
	// Whole means that the answer is complete with this chunk. The chunk's text, if any, must be sent
	// to the caller.
	Whole
	// Broken means that the attempt sent an invalid chunk, or an end marker whose token count is not
	// the number of tokens delivered. The attempt must be abandoned and another one must resume the
	// answer.
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
	// Repeated counts chunks, other than end markers, whose tokens were all delivered before.
	Repeated int
	// WrongOffset counts chunks that leave out tokens, mix delivered and new tokens or have a negative
	// offset or token count, and chunks that do not have exactly one choice.
	WrongOffset int
	// WrongTotal counts end markers, chunks with a finish reason, that have no token count, a count
	// other than the tokens delivered, or an offset below it.
	WrongTotal int
}

// Relayer assembles the answer to one request. It is not safe for concurrent use.
type Relayer struct {
	requestID string
	// attemptID is the ID of the current attempt, empty before the first.
	attemptID string
	// delivered is the number of answer tokens delivered. It never decreases.
	delivered int
	// whole is true once the end marker was accepted, so that the answer is complete.
	whole bool
	// counts are the undelivered chunks of all attempts.
	counts UndeliveredCounts
}

// New returns a relayer for a request that has no attempt yet.
func New(requestID string) *Relayer {
	return &Relayer{requestID: requestID}
}

// BeginAttempt makes attemptID the current attempt and returns the number of answer tokens delivered
// so far, after which the attempt must resume. Chunks of earlier attempts are dropped from then on.
func (r *Relayer) BeginAttempt(attemptID string) int {
	r.attemptID = attemptID
	return r.delivered
}

// DeliveredTokens returns the number of answer tokens delivered by all attempts.
func (r *Relayer) DeliveredTokens() int { return r.delivered }

// IsWhole reports whether the answer is complete: an end marker was accepted whose token count is the
// number of tokens delivered.
func (r *Relayer) IsWhole() bool { return r.whole }

// Undelivered returns, by reason, how many chunks of all attempts were not delivered.
func (r *Relayer) Undelivered() UndeliveredCounts { return r.counts }

// Accept checks a chunk and returns the text to send to the caller and what to do with the chunk. If
// the result is Deliver or Whole, the chunk's tokens are counted as delivered; otherwise the text is
// empty.
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

// acceptNext does the work of Accept for a chunk whose offset is the number of delivered tokens. The
// result is Broken for an end marker with a wrong token count.
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
