// Package engine emulates a model engine, for tests and the demo. It models the
// latency and memory use of continuous batching and generates deterministic
// answers without running a model.
package engine

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
)

// Config configures an emulated engine.
type Config struct {
	// Name and Incarnation identify the engine in its load reports.
	Name        string
	Incarnation uint64
	// Model, Version, Adapters and Role are what the engine serves until an
	// order changes them.
	Model    string
	Version  string
	Adapters []string
	Role     string
	// MemoryTokens is the size of the KV memory in tokens. A hold that exceeds
	// the free memory is refused.
	MemoryTokens int
	// PrefillRate is the number of prompt tokens prefilled a second, over all
	// streams.
	PrefillRate int
	// TokenTime is the duration of one decoding step, in which every decoding
	// stream gets one token.
	TokenTime time.Duration
	// ChecksFences makes the engine refuse an order whose fence is not higher
	// than the highest accepted so far.
	ChecksFences bool
	// ChecksOrders makes the engine refuse orders of issuers not in Issuers.
	ChecksOrders bool
	// Issuers lists the issuers whose orders are accepted; it is only used if
	// ChecksOrders is true.
	Issuers []string
	// WeightLoadTime is the time between accepting an order and serving the
	// model that the order asks for. Requests are refused in between.
	WeightLoadTime time.Duration
	// ReportLag is the age of the load that LoadReport returns.
	ReportLag time.Duration
	// MaxCachedPrefixes is the capacity of the prefix cache, in prefixes of
	// CachedPrefixBytes; 0 disables the cache.
	MaxCachedPrefixes int
}

// CachedPrefixBytes is the length of the prefixes in the prefix cache, in bytes
// of the prompt. Shorter prompts are not cached.
const CachedPrefixBytes = 256

// chunkBuffer is the number of chunks buffered for a slow reader. A stream whose
// buffer is full decodes no further.
const chunkBuffer = 256

// leavingGrace is the time after SetLeaving in which new streams are still
// expected. Streams started later are counted in startsAfterGrace.
const leavingGrace = 3 * time.Second

// stream is the execution of one attempt, or the prefill of one shard of a
// group's prompt. A shard has no request and no channels.
type stream struct {
	attemptID string
	requestID string
	request   api.CompletionRequest
	// priority orders prefill; streams with a higher value are prefilled first.
	priority int
	arrived  time.Time
	// prefillLeft is the number of prompt tokens that this engine still has to
	// prefill; the stream decodes once it is 0.
	prefillLeft float64
	// promptTokens is the estimated length of the whole prompt.
	promptTokens int
	// nextOffset is the offset of the next answer token.
	nextOffset int
	// lastTokenAt is the end of the latest decoding step; before the first step the end
	// of prefill, or the start of the stream if there was nothing to prefill.
	lastTokenAt time.Time
	// answerTag is the AnswerTag of request.
	answerTag string
	// chunks carries the answer and is closed at its end.
	chunks chan api.CompletionChunk
	// aborted is closed when the stream's memory is freed before its answer
	// ends.
	aborted chan struct{}
}

// hold is memory reserved on the engine.
type hold struct {
	api.EngineHold
	// renewedAt is the time of the latest renewal, or of creation.
	renewedAt time.Time
	// shard is the prefill of the shard for which a hold of kind api.HoldGroup
	// reserves memory; nil for other kinds and once adoptShard has moved the
	// prefill to a stream.
	shard *stream
}

// Batcher is the engine's scheduler: continuous batching with a budget of
// prefill tokens for each call of Advance. It is not safe for concurrent use.
type Batcher struct {
	config Config
	// load is the current load, which LoadReport returns after ReportLag. Advance
	// updates its counts of tokens and streams.
	load api.EngineLoad
	// holds is keyed by hold ID, which is the attempt ID for streams.
	holds map[string]*hold
	// streams is keyed by attempt ID and holds the streams in progress.
	streams map[string]*stream
	// advancedAt is the time up to which work has been emulated.
	advancedAt time.Time
	// loadHistory holds past loads, oldest first, back to the one that
	// LoadReport returns.
	loadHistory []loadSnapshot
	// loadingEnds is when pendingOrder takes effect.
	loadingEnds time.Time
	// pendingOrder is the order being carried out, or nil.
	pendingOrder *api.EngineOrder
	// cachedPrefixes holds the cached prefixes, least recently used first.
	cachedPrefixes []string
	// cacheEvents holds the changes of the cache not yet collected by Server.
	cacheEvents []api.EngineCacheEvent
	// startsByRequest counts the streams started for each request ID.
	startsByRequest map[string]int
	// startsAfterLeaving counts the streams started after SetLeaving.
	startsAfterLeaving int
	// startsAfterGrace counts the streams started more than leavingGrace after
	// SetLeaving.
	startsAfterGrace int
	// leavingAt is the time of the first call of SetLeaving.
	leavingAt time.Time
}

// loadSnapshot is the load at one point in time.
type loadSnapshot struct {
	at   time.Time
	load api.EngineLoad
}

// NewBatcher returns a Batcher without streams or holds, whose work starts at
// now.
func NewBatcher(now time.Time, c Config) *Batcher {
	b := &Batcher{config: c, holds: map[string]*hold{}, streams: map[string]*stream{}, startsByRequest: map[string]int{}, advancedAt: now}
	b.load = api.EngineLoad{
		Name: c.Name, Incarnation: c.Incarnation, Model: c.Model, Version: c.Version,
		Adapters: c.Adapters, Role: c.Role, MemoryTokens: c.MemoryTokens,
	}
	return b
}

// RefusedError reports that the engine refused a request or an order and started
// nothing.
type RefusedError struct {
	// StatusCode is the HTTP status of the response.
	StatusCode int
	// Reason is the text of the error.
	Reason string
}

// Error returns the reason of the refusal.
func (e RefusedError) Error() string { return e.Reason }

// UsedTokens returns the sum of all holds, in tokens of KV memory.
func (b *Batcher) UsedTokens() int {
	used := 0
	for _, h := range b.holds {
		used += h.Tokens
	}
	return used
}

// AddHold reserves memory for the owner that h names. For a hold of kind
// api.HoldGroup it also queues the prefill of a shard of h.Tokens tokens. It
// returns a RefusedError when h is malformed, when its ID is in use, or when the
// memory does not suffice.
func (b *Batcher) AddHold(now time.Time, h api.EngineHold) error {
	if h.ID == "" || h.Tokens < 0 {
		return RefusedError{400, "hold: id must be set and tokens must not be negative"}
	}
	if _, ok := b.holds[h.ID]; ok {
		return RefusedError{409, "hold: id is already in use"}
	}
	if b.UsedTokens()+h.Tokens > b.config.MemoryTokens {
		return RefusedError{503, fmt.Sprintf("memory: %d of %d tokens are held, %d more were requested", b.UsedTokens(), b.config.MemoryTokens, h.Tokens)}
	}
	added := &hold{EngineHold: h, renewedAt: now}
	if h.Kind == api.HoldGroup {
		added.shard = &stream{attemptID: h.ID, arrived: now, prefillLeft: float64(h.Tokens)}
	}
	b.holds[h.ID] = added
	return nil
}

// Holds returns all holds, sorted by ID. Their ages are the seconds since the latest
// renewal, or since creation.
func (b *Batcher) Holds(now time.Time) []api.EngineHold {
	out := make([]api.EngineHold, 0, len(b.holds))
	for _, h := range b.holds {
		listed := h.EngineHold
		listed.AgeSeconds = now.Sub(h.renewedAt).Seconds()
		out = append(out, listed)
	}
	slices.SortFunc(out, func(x, y api.EngineHold) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// RenewHolds resets the age of the holds with the given IDs and returns the IDs
// that have no hold.
func (b *Batcher) RenewHolds(now time.Time, ids []string) []string {
	var missing []string
	for _, id := range ids {
		h, ok := b.holds[id]
		if !ok {
			missing = append(missing, id)
			continue
		}
		h.renewedAt = now
	}
	return missing
}

// FreeHold removes a hold and aborts its stream, if any. It returns false and
// changes nothing when the hold does not exist or was renewed or created less than
// olderThan ago.
func (b *Batcher) FreeHold(now time.Time, id string, olderThan time.Duration) bool {
	h, ok := b.holds[id]
	if !ok || now.Sub(h.renewedAt) < olderThan {
		return false
	}
	delete(b.holds, id)
	if s, running := b.streams[id]; running {
		close(s.aborted)
		delete(b.streams, id)
	}
	return true
}

// startParams holds the parameters of an attempt: for an HTTP request, the values
// of its headers and its body.
type startParams struct {
	requestID, attemptID, owner string
	// incarnation is that of the owner, not of the engine.
	incarnation uint64
	// priority orders prefill; streams with a higher value are prefilled first.
	// resumeFrom is the number of answer tokens that the caller already has.
	priority, resumeFrom int
	// group lists the IDs of all holds of the group that holds the prompt;
	// empty if one engine holds all of it.
	group   []string
	request api.CompletionRequest
}

// Start starts a stream for an attempt and reserves memory for its prompt and
// the longest answer; the stream of a group uses the memory of the group's
// holds. It returns a RefusedError, and starts nothing, when the engine loads
// weights, serves another model or has too little memory.
func (b *Batcher) Start(now time.Time, params startParams) (*stream, error) {
	if b.pendingOrder != nil {
		return nil, RefusedError{503, "loading"}
	}
	if params.request.Model != b.load.Model {
		return nil, RefusedError{404, "the requested model is not loaded"}
	}
	prompt := api.EstimatePromptTokens(len(params.request.Prompt))
	tokens := prompt + params.request.MaxTokens
	if len(params.group) > 0 {
		tokens = 0
	}
	err := b.AddHold(now, api.EngineHold{ID: params.attemptID, Owner: params.owner, Incarnation: params.incarnation, Kind: api.HoldStream, Tokens: tokens})
	if err != nil {
		return nil, err
	}
	s := &stream{
		attemptID: params.attemptID, requestID: params.requestID, request: params.request, priority: params.priority,
		arrived: now, lastTokenAt: now, prefillLeft: float64(prompt + params.resumeFrom), promptTokens: prompt, nextOffset: params.resumeFrom,
		answerTag: AnswerTag(params.request),
		chunks:    make(chan api.CompletionChunk, chunkBuffer), aborted: make(chan struct{}),
	}
	b.adoptShard(s, params.group)
	b.useCachedPrefix(s)
	b.streams[s.attemptID] = s
	b.startsByRequest[s.requestID]++
	if b.load.Leaving {
		b.startsAfterLeaving++
	}
	if b.load.Leaving && now.Sub(b.leavingAt) > leavingGrace {
		b.startsAfterGrace++
	}
	return s, nil
}

// adoptShard makes the stream of a group prefill only the shard held on this
// engine, and only the tokens of the shard that are not prefilled yet. The other
// engines of the group prefill their shards under their own holds.
func (b *Batcher) adoptShard(s *stream, group []string) {
	for _, id := range group {
		if h, ok := b.holds[id]; ok && h.shard != nil {
			s.prefillLeft, h.shard = h.shard.prefillLeft, nil
		}
	}
}

// useCachedPrefix spares the stream the prefill of its prompt's first
// CachedPrefixBytes if they are cached, and makes them the most recently used
// prefix, which may evict the least recently used one. Changes of the set of
// cached prefixes are recorded as cache events.
func (b *Batcher) useCachedPrefix(s *stream) {
	if b.config.MaxCachedPrefixes == 0 || len(s.request.Prompt) < CachedPrefixBytes {
		return
	}
	prefix := s.request.Prompt[:CachedPrefixBytes]
	if index := slices.Index(b.cachedPrefixes, prefix); index >= 0 {
		s.prefillLeft -= float64(api.EstimatePromptTokens(CachedPrefixBytes))
		b.cachedPrefixes = slices.Delete(b.cachedPrefixes, index, index+1)
	} else {
		b.recordCacheEvent(prefix, false)
	}
	b.cachedPrefixes = append(b.cachedPrefixes, prefix)
	if len(b.cachedPrefixes) > b.config.MaxCachedPrefixes {
		b.recordCacheEvent(b.cachedPrefixes[0], true)
		b.cachedPrefixes = b.cachedPrefixes[1:]
	}
}

// recordCacheEvent appends an event for a prefix added to the cache or dropped
// from it. The event names the prefix by its FNV-1a hash.
func (b *Batcher) recordCacheEvent(prefix string, dropped bool) {
	h := fnv.New64a()
	h.Write([]byte(prefix))
	b.cacheEvents = append(b.cacheEvents, api.EngineCacheEvent{
		Sequence: uint64(len(b.cacheEvents) + 1), Prefix: fmt.Sprintf("%016x", h.Sum64()),
		Tokens: api.EstimatePromptTokens(CachedPrefixBytes), Dropped: dropped,
	})
}

// Advance emulates the engine's work since the previous call, up to now. Prefill
// is limited to PrefillRate over all streams, highest priority first; decoding
// doesn't count against this limit.
func (b *Batcher) Advance(now time.Time) {
	b.finishLoading(now)
	budget := now.Sub(b.advancedAt).Seconds() * float64(b.config.PrefillRate)
	b.advancedAt = now
	for _, s := range b.streamsByPriority() {
		if s.prefillLeft > 0 {
			budget = s.prefill(budget, now)
			continue
		}
		if s.chunks != nil {
			b.decode(now, s)
		}
	}
	b.recordLoad(now)
}

// prefill prefills at most budget prompt tokens and returns the budget that is
// left.
func (s *stream) prefill(budget float64, now time.Time) float64 {
	done := min(budget, s.prefillLeft)
	s.prefillLeft -= done
	if s.prefillLeft < 0.5 {
		s.prefillLeft = 0
		s.lastTokenAt = now
	}
	return budget - done
}

// streamsByPriority returns the streams and the shards still to be prefilled,
// highest priority first, and the earliest first among equals.
func (b *Batcher) streamsByPriority() []*stream {
	out := make([]*stream, 0, len(b.streams))
	for _, s := range b.streams {
		out = append(out, s)
	}
	for _, h := range b.holds {
		if h.shard != nil && h.shard.prefillLeft > 0 {
			out = append(out, h.shard)
		}
	}
	slices.SortFunc(out, func(x, y *stream) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), x.arrived.Compare(y.arrived), cmp.Compare(x.attemptID, y.attemptID))
	})
	return out
}

// decode sends the answer tokens that are due by now, one for each TokenTime, as
// far as the chunk buffer has room. After the last token it sends the usage,
// closes the stream's channel of chunks and frees its memory.
func (b *Batcher) decode(now time.Time, s *stream) {
	for now.Sub(s.lastTokenAt) >= b.config.TokenTime && len(s.chunks) < cap(s.chunks) {
		s.lastTokenAt = s.lastTokenAt.Add(b.config.TokenTime)
		if s.nextOffset < s.request.MaxTokens {
			s.chunks <- s.newChunk(AnswerToken(s.answerTag, s.nextOffset), 1, "", nil)
			s.nextOffset++
			continue
		}
		usage := &api.CompletionUsage{PromptTokens: s.promptTokens, CompletionTokens: s.nextOffset}
		s.chunks <- s.newChunk("", 0, "stop", usage)
		close(s.chunks)
		delete(b.streams, s.attemptID)
		delete(b.holds, s.attemptID)
		return
	}
}

// newChunk returns a chunk at the stream's next offset.
func (s *stream) newChunk(text string, tokens int, finish string, usage *api.CompletionUsage) api.CompletionChunk {
	return api.CompletionChunk{
		ID: s.requestID, AttemptID: s.attemptID, Offset: s.nextOffset, Usage: usage,
		Choices: []api.CompletionChoice{{Text: text, Tokens: tokens, FinishReason: finish}},
	}
}

// AnswerTag returns the string that all tokens of the answer to r contain: a hash of
// the model and the prompt of r, by which tests recognise answers to other requests.
func AnswerTag(r api.CompletionRequest) string {
	h := fnv.New32a()
	h.Write([]byte(r.Model))
	h.Write([]byte(r.Prompt))
	return fmt.Sprintf("%08x", h.Sum32())
}

// AnswerToken returns the answer token at an offset, where tag is the AnswerTag of
// the request. The token depends on nothing else, so that tests can check that an
// answer resumed on another engine is complete.
func AnswerToken(tag string, offset int) string {
	return fmt.Sprintf("%s.%d ", tag, offset)
}

// recordLoad updates the load, appends it to the history and drops what
// LoadReport no longer needs.
func (b *Batcher) recordLoad(now time.Time) {
	b.load.UsedTokens, b.load.QueuedTokens, b.load.Streams = b.UsedTokens(), 0, len(b.streams)
	for _, s := range b.streamsByPriority() {
		b.load.QueuedTokens += int(s.prefillLeft)
	}
	b.loadHistory = append(b.loadHistory, loadSnapshot{at: now, load: b.load})
	for len(b.loadHistory) > 1 && now.Sub(b.loadHistory[1].at) >= b.config.ReportLag {
		b.loadHistory = b.loadHistory[1:]
	}
}

// LoadReport returns the load as of ReportLag ago, except for Leaving, which has its
// current value. Before the first call of Advance it returns the initial load.
func (b *Batcher) LoadReport() api.EngineLoad {
	if len(b.loadHistory) == 0 {
		return b.load
	}
	out := b.loadHistory[0].load
	out.Leaving = b.load.Leaving
	return out
}

// SetLeaving marks the engine as leaving in its load reports. The engine still
// accepts requests.
func (b *Batcher) SetLeaving(now time.Time) {
	if !b.load.Leaving {
		b.leavingAt = now
	}
	b.load.Leaving = true
}

// IsIdle reports whether no stream is in progress. Prefills of a group's shards
// are ignored.
func (b *Batcher) IsIdle() bool { return len(b.streams) == 0 }

// HandleOrder starts to carry out an order to change the model, version, adapters
// and role served; the order takes effect after WeightLoadTime. HandleOrder returns a
// RefusedError when ChecksOrders is set and the issuer is not allowed, when
// ChecksFences is set and the fence is not higher than the current one, or when
// streams are in progress.
func (b *Batcher) HandleOrder(now time.Time, o api.EngineOrder) error {
	if b.config.ChecksOrders && !slices.Contains(b.config.Issuers, o.Issuer) {
		return RefusedError{403, "order: issuer is not allowed"}
	}
	if b.config.ChecksFences && o.Fence <= b.load.Fence {
		return RefusedError{409, fmt.Sprintf("order: fence %d is not higher than the current fence %d", o.Fence, b.load.Fence)}
	}
	if len(b.streams) > 0 {
		return RefusedError{503, "order: refused while streams are in progress"}
	}
	b.load.Fence = max(b.load.Fence, o.Fence)
	b.pendingOrder, b.loadingEnds = &o, now.Add(b.config.WeightLoadTime)
	b.finishLoading(now)
	return nil
}

// finishLoading puts the pending order into effect once WeightLoadTime has passed
// since it was accepted.
func (b *Batcher) finishLoading(now time.Time) {
	if b.pendingOrder == nil || now.Before(b.loadingEnds) {
		return
	}
	b.load.Model, b.load.Version = b.pendingOrder.Model, b.pendingOrder.Version
	b.load.Adapters, b.load.Role = b.pendingOrder.Adapters, b.pendingOrder.Role
	b.pendingOrder = nil
}
