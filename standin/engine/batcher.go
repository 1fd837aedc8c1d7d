// Package engine is a stand-in for a model engine, for tests and the demo. It
// keeps the time and memory of a real one and makes up its answers.
package engine

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
)

// Config of a stand-in engine.
type Config struct {
	Name        string
	Incarnation uint64
	Model       string
	Version     string
	Adapters    []string
	Role        string
	// MemoryTokens is a hard limit.
	MemoryTokens int
	// PrefillRate is prompt tokens a second; TokenTime the time of one step
	// of decoding for all streams.
	PrefillRate int
	TokenTime   time.Duration
	// ChecksFences and ChecksOrders are as in the document.
	ChecksFences bool
	ChecksOrders bool
	// Issuers may order the engine, where it checks.
	Issuers []string
	// WeightLoadTime is how long an order that loads weights takes.
	WeightLoadTime time.Duration
	// ReportLag is the age of the load report.
	ReportLag time.Duration
	// MaxCachedPrefixes bounds the prefix cache, in prefixes of PrefixBytes.
	MaxCachedPrefixes int
}

// CachedPrefixBytes is the length of the prompt's start that the cache knows a
// prompt by.
const CachedPrefixBytes = 256

// chunkBuffer is how many chunks wait for a slow reader before decoding does.
const chunkBuffer = 256

// leavingGrace is the time within which new work may still reach an engine
// that has begun to leave.
const leavingGrace = 3 * time.Second

// stream is one attempt on the engine.
type stream struct {
	attemptID string
	requestID string
	request   api.CompletionRequest
	priority  int
	arrived   time.Time
	// prefillLeft is prompt tokens left for this engine to do.
	prefillLeft  float64
	promptTokens int
	// nextOffset is the offset of the next answer token.
	nextOffset int
	// lastTokenAt is when a token was last made.
	lastTokenAt time.Time
	// answerTag marks the answer as that of this prompt.
	answerTag string
	chunks    chan api.CompletionChunk
	// aborted is closed when the stream ends before its answer does.
	aborted chan struct{}
}

type hold struct {
	api.EngineHold
	renewedAt time.Time
	// shard is the part of a group's prefill that this engine does.
	shard *stream
}

// Batcher is the engine's scheduler: continuous batching with a budget for
// prefill. It is not safe for concurrent use.
type Batcher struct {
	config         Config
	load           api.EngineLoad
	holds          map[string]*hold
	streams        map[string]*stream
	advancedAt     time.Time
	loadHistory    []loadSnapshot
	loadingEnds    time.Time
	pendingOrder   *api.EngineOrder
	cachedPrefixes []string
	cacheEvents    []api.EngineCacheEvent
	// startsByRequest counts the streams started, by request.
	startsByRequest map[string]int
	// startsAfterLeaving counts streams started after the engine was leaving, and
	// lateAfterLeaving those more than leavingGrace after.
	startsAfterLeaving int
	startsAfterGrace   int
	leavingAt          time.Time
}

type loadSnapshot struct {
	at   time.Time
	load api.EngineLoad
}

// NewBatcher returns an idle engine.
func NewBatcher(now time.Time, c Config) *Batcher {
	b := &Batcher{config: c, holds: map[string]*hold{}, streams: map[string]*stream{}, startsByRequest: map[string]int{}, advancedAt: now}
	b.load = api.EngineLoad{
		Name: c.Name, Incarnation: c.Incarnation, Model: c.Model, Version: c.Version,
		Adapters: c.Adapters, Role: c.Role, MemoryTokens: c.MemoryTokens,
	}
	return b
}

// RefusedError is a refusal before anything was started.
type RefusedError struct {
	StatusCode int
	Reason     string
}

func (e RefusedError) Error() string { return e.Reason }

// UsedTokens is the memory held, in tokens.
func (b *Batcher) UsedTokens() int {
	used := 0
	for _, h := range b.holds {
		used += h.Tokens
	}
	return used
}

// AddHold takes memory for an owner.
func (b *Batcher) AddHold(now time.Time, h api.EngineHold) error {
	if h.ID == "" || h.Tokens < 0 {
		return RefusedError{400, "hold: id and tokens are needed"}
	}
	if _, ok := b.holds[h.ID]; ok {
		return RefusedError{409, "hold: id in use"}
	}
	if b.UsedTokens()+h.Tokens > b.config.MemoryTokens {
		return RefusedError{503, fmt.Sprintf("memory: %d of %d tokens held, %d more asked", b.UsedTokens(), b.config.MemoryTokens, h.Tokens)}
	}
	added := &hold{EngineHold: h, renewedAt: now}
	if h.Kind == api.HoldGroup {
		added.shard = &stream{attemptID: h.ID, arrived: now, prefillLeft: float64(h.Tokens)}
	}
	b.holds[h.ID] = added
	return nil
}

// Holds lists what is held.
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

// RenewHolds resets the age of holds and returns the ids that are not held.
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

// FreeHold gives up a hold that is at least olderThan old, and ends its stream.
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

// startParams is what a stream is started with.
type startParams struct {
	requestID, attemptID, owner string
	incarnation                 uint64
	priority, resumeFrom        int
	group                       []string
	request                     api.CompletionRequest
}

// Start begins a stream. Nothing is started when it returns an error.
func (b *Batcher) Start(now time.Time, st startParams) (*stream, error) {
	if b.pendingOrder != nil {
		return nil, RefusedError{503, "loading"}
	}
	if st.request.Model != b.load.Model {
		return nil, RefusedError{404, "model is not loaded"}
	}
	prompt := api.EstimatePromptTokens(len(st.request.Prompt))
	tokens := prompt + st.request.MaxTokens
	if len(st.group) > 0 {
		tokens = 0
	}
	err := b.AddHold(now, api.EngineHold{ID: st.attemptID, Owner: st.owner, Incarnation: st.incarnation, Kind: api.HoldStream, Tokens: tokens})
	if err != nil {
		return nil, err
	}
	s := &stream{
		attemptID: st.attemptID, requestID: st.requestID, request: st.request, priority: st.priority,
		arrived: now, prefillLeft: float64(prompt + st.resumeFrom), promptTokens: prompt, nextOffset: st.resumeFrom,
		answerTag: AnswerTag(st.request),
		chunks:    make(chan api.CompletionChunk, chunkBuffer), aborted: make(chan struct{}),
	}
	b.adoptShard(s, st.group)
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

// adoptShard leaves the stream of a group only this engine's part of the
// prefill; the others do theirs under their own holds.
func (b *Batcher) adoptShard(s *stream, group []string) {
	for _, id := range group {
		if h, ok := b.holds[id]; ok && h.shard != nil {
			s.prefillLeft, h.shard = h.shard.prefillLeft, nil
		}
	}
}

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

func (b *Batcher) recordCacheEvent(prefix string, dropped bool) {
	h := fnv.New64a()
	h.Write([]byte(prefix))
	b.cacheEvents = append(b.cacheEvents, api.EngineCacheEvent{
		Sequence: uint64(len(b.cacheEvents) + 1), Prefix: fmt.Sprintf("%016x", h.Sum64()),
		Tokens: api.EstimatePromptTokens(CachedPrefixBytes), Dropped: dropped,
	})
}

// Advance lets the engine work until now.
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

func (s *stream) prefill(budget float64, now time.Time) float64 {
	done := min(budget, s.prefillLeft)
	s.prefillLeft -= done
	if s.prefillLeft < 0.5 {
		s.prefillLeft = 0
		s.lastTokenAt = now
	}
	return budget - done
}

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

// decode makes the tokens that are due.
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

func (s *stream) newChunk(text string, tokens int, finish string, usage *api.CompletionUsage) api.CompletionChunk {
	return api.CompletionChunk{
		ID: s.requestID, AttemptID: s.attemptID, Offset: s.nextOffset, Usage: usage,
		Choices: []api.CompletionChoice{{Text: text, Tokens: tokens, FinishReason: finish}},
	}
}

// AnswerTag is what marks the answer to a request.
func AnswerTag(r api.CompletionRequest) string {
	h := fnv.New32a()
	h.Write([]byte(r.Model))
	h.Write([]byte(r.Prompt))
	return fmt.Sprintf("%08x", h.Sum32())
}

// AnswerToken is the made-up answer token at an offset: a function of the request,
// so that an answer resumed on another engine can be told whole.
func AnswerToken(tag string, offset int) string {
	return fmt.Sprintf("%s.%d ", tag, offset)
}

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

// LoadReport is the load report, which lags; identity and leaving do not.
func (b *Batcher) LoadReport() api.EngineLoad {
	if len(b.loadHistory) == 0 {
		return b.load
	}
	out := b.loadHistory[0].load
	out.Leaving = b.load.Leaving
	return out
}

// SetLeaving makes the engine say that it is leaving.
func (b *Batcher) SetLeaving(now time.Time) {
	if !b.load.Leaving {
		b.leavingAt = now
	}
	b.load.Leaving = true
}

// IsIdle reports whether nothing runs.
func (b *Batcher) IsIdle() bool { return len(b.streams) == 0 }

// HandleOrder takes an order to change what is served.
func (b *Batcher) HandleOrder(now time.Time, o api.EngineOrder) error {
	if b.config.ChecksOrders && !slices.Contains(b.config.Issuers, o.Issuer) {
		return RefusedError{403, "order: issuer is not allowed"}
	}
	if b.config.ChecksFences && o.Fence <= b.load.Fence {
		return RefusedError{409, fmt.Sprintf("order: fence %d is not over %d", o.Fence, b.load.Fence)}
	}
	if len(b.streams) > 0 {
		return RefusedError{503, "order: streams in progress"}
	}
	b.load.Fence = max(b.load.Fence, o.Fence)
	b.pendingOrder, b.loadingEnds = &o, now.Add(b.config.WeightLoadTime)
	b.finishLoading(now)
	return nil
}

func (b *Batcher) finishLoading(now time.Time) {
	if b.pendingOrder == nil || now.Before(b.loadingEnds) {
		return
	}
	b.load.Model, b.load.Version = b.pendingOrder.Model, b.pendingOrder.Version
	b.load.Adapters, b.load.Role = b.pendingOrder.Adapters, b.pendingOrder.Role
	b.pendingOrder = nil
}
