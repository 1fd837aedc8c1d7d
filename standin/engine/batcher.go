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

// eventBuffer is how many chunks wait for a slow reader before decoding does.
const eventBuffer = 256

// leavingGrace is the time within which new work may still reach an engine
// that has begun to leave.
const leavingGrace = 3 * time.Second

// stream is one attempt on the engine.
type stream struct {
	id        string
	requestID string
	request   api.CompletionRequest
	priority  int
	arrived   time.Time
	// prefill is prompt tokens left for this engine to do.
	prefill float64
	prompt  int
	// next is the offset of the next answer token.
	next int
	// lastToken is when a token was last made.
	lastToken time.Time
	// tag marks the answer as that of this prompt.
	tag    string
	events chan api.CompletionChunk
	// done is closed when the stream ends before its answer does.
	done chan struct{}
}

type hold struct {
	api.EngineHold
	touched time.Time
	// share is the part of a group's prefill that this engine does.
	share *stream
}

// Batcher is the engine's scheduler: continuous batching with a budget for
// prefill. It is not safe for concurrent use.
type Batcher struct {
	config  Config
	load    api.EngineLoad
	holds   map[string]*hold
	streams map[string]*stream
	last    time.Time
	reports []report
	loading time.Time
	pending *api.EngineOrder
	cache   []string
	events  []api.EngineCacheEvent
	// ran counts the streams started, by request.
	ran map[string]int
	// afterLeaving counts streams started after the engine was leaving, and
	// lateAfterLeaving those more than leavingGrace after.
	afterLeaving     int
	lateAfterLeaving int
	leavingAt        time.Time
}

type report struct {
	at   time.Time
	load api.EngineLoad
}

// NewBatcher returns an idle engine.
func NewBatcher(now time.Time, c Config) *Batcher {
	b := &Batcher{config: c, holds: map[string]*hold{}, streams: map[string]*stream{}, ran: map[string]int{}, last: now}
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
	made := &hold{EngineHold: h, touched: now}
	if h.Kind == api.HoldGroup {
		made.share = &stream{id: h.ID, arrived: now, prefill: float64(h.Tokens)}
	}
	b.holds[h.ID] = made
	return nil
}

// Holds lists what is held.
func (b *Batcher) Holds(now time.Time) []api.EngineHold {
	out := make([]api.EngineHold, 0, len(b.holds))
	for _, h := range b.holds {
		line := h.EngineHold
		line.AgeSeconds = now.Sub(h.touched).Seconds()
		out = append(out, line)
	}
	slices.SortFunc(out, func(x, y api.EngineHold) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// RenewHolds resets the age of holds and returns the ids that are not held.
func (b *Batcher) RenewHolds(now time.Time, ids []string) []string {
	var gone []string
	for _, id := range ids {
		h, ok := b.holds[id]
		if !ok {
			gone = append(gone, id)
			continue
		}
		h.touched = now
	}
	return gone
}

// FreeHold gives up a hold that is at least olderThan old, and ends its stream.
func (b *Batcher) FreeHold(now time.Time, id string, olderThan time.Duration) bool {
	h, ok := b.holds[id]
	if !ok || now.Sub(h.touched) < olderThan {
		return false
	}
	delete(b.holds, id)
	if s, running := b.streams[id]; running {
		close(s.done)
		delete(b.streams, id)
	}
	return true
}

// start is what a stream is started with.
type start struct {
	requestID, attemptID, owner string
	incarnation                 uint64
	priority, resumeFrom        int
	group                       []string
	request                     api.CompletionRequest
}

// Start begins a stream. Nothing is started when it returns an error.
func (b *Batcher) Start(now time.Time, st start) (*stream, error) {
	if b.pending != nil {
		return nil, RefusedError{503, "loading"}
	}
	if st.request.Model != b.load.Model {
		return nil, RefusedError{404, "model is not loaded"}
	}
	prompt := api.EstimatePromptTokens(len(st.request.Prompt))
	need := prompt + st.request.MaxTokens
	if len(st.group) > 0 {
		need = 0
	}
	err := b.AddHold(now, api.EngineHold{ID: st.attemptID, Owner: st.owner, Incarnation: st.incarnation, Kind: api.HoldStream, Tokens: need})
	if err != nil {
		return nil, err
	}
	s := &stream{
		id: st.attemptID, requestID: st.requestID, request: st.request, priority: st.priority,
		arrived: now, prefill: float64(prompt + st.resumeFrom), prompt: prompt, next: st.resumeFrom,
		tag:    AnswerTag(st.request),
		events: make(chan api.CompletionChunk, eventBuffer), done: make(chan struct{}),
	}
	b.takeShare(s, st.group)
	b.useCache(s)
	b.streams[s.id] = s
	b.ran[s.requestID]++
	if b.load.Leaving {
		b.afterLeaving++
	}
	if b.load.Leaving && now.Sub(b.leavingAt) > leavingGrace {
		b.lateAfterLeaving++
	}
	return s, nil
}

// takeShare leaves the stream of a group only this engine's part of the
// prefill; the others do theirs under their own holds.
func (b *Batcher) takeShare(s *stream, group []string) {
	for _, id := range group {
		if h, ok := b.holds[id]; ok && h.share != nil {
			s.prefill, h.share = h.share.prefill, nil
		}
	}
}

func (b *Batcher) useCache(s *stream) {
	if b.config.MaxCachedPrefixes == 0 || len(s.request.Prompt) < CachedPrefixBytes {
		return
	}
	prefix := s.request.Prompt[:CachedPrefixBytes]
	if at := slices.Index(b.cache, prefix); at >= 0 {
		s.prefill -= float64(api.EstimatePromptTokens(CachedPrefixBytes))
		b.cache = slices.Delete(b.cache, at, at+1)
	} else {
		b.event(prefix, false)
	}
	b.cache = append(b.cache, prefix)
	if len(b.cache) > b.config.MaxCachedPrefixes {
		b.event(b.cache[0], true)
		b.cache = b.cache[1:]
	}
}

func (b *Batcher) event(prefix string, dropped bool) {
	h := fnv.New64a()
	h.Write([]byte(prefix))
	b.events = append(b.events, api.EngineCacheEvent{
		Sequence: uint64(len(b.events) + 1), Prefix: fmt.Sprintf("%016x", h.Sum64()),
		Tokens: api.EstimatePromptTokens(CachedPrefixBytes), Dropped: dropped,
	})
}

// Advance lets the engine work until now.
func (b *Batcher) Advance(now time.Time) {
	b.finishOrder(now)
	budget := now.Sub(b.last).Seconds() * float64(b.config.PrefillRate)
	b.last = now
	for _, s := range b.byPriority() {
		if s.prefill > 0 {
			budget = s.takePrefill(budget, now)
			continue
		}
		if s.events != nil {
			b.decode(now, s)
		}
	}
	b.record(now)
}

func (s *stream) takePrefill(budget float64, now time.Time) float64 {
	work := min(budget, s.prefill)
	s.prefill -= work
	if s.prefill < 0.5 {
		s.prefill = 0
		s.lastToken = now
	}
	return budget - work
}

func (b *Batcher) byPriority() []*stream {
	out := make([]*stream, 0, len(b.streams))
	for _, s := range b.streams {
		out = append(out, s)
	}
	for _, h := range b.holds {
		if h.share != nil && h.share.prefill > 0 {
			out = append(out, h.share)
		}
	}
	slices.SortFunc(out, func(x, y *stream) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), x.arrived.Compare(y.arrived), cmp.Compare(x.id, y.id))
	})
	return out
}

// decode makes the tokens that are due.
func (b *Batcher) decode(now time.Time, s *stream) {
	for now.Sub(s.lastToken) >= b.config.TokenTime && len(s.events) < cap(s.events) {
		s.lastToken = s.lastToken.Add(b.config.TokenTime)
		if s.next < s.request.MaxTokens {
			s.events <- s.chunk(AnswerToken(s.tag, s.next), 1, "", nil)
			s.next++
			continue
		}
		usage := &api.CompletionUsage{PromptTokens: s.prompt, CompletionTokens: s.next}
		s.events <- s.chunk("", 0, "stop", usage)
		close(s.events)
		delete(b.streams, s.id)
		delete(b.holds, s.id)
		return
	}
}

func (s *stream) chunk(text string, tokens int, finish string, usage *api.CompletionUsage) api.CompletionChunk {
	return api.CompletionChunk{
		ID: s.requestID, AttemptID: s.id, Offset: s.next, Usage: usage,
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

func (b *Batcher) record(now time.Time) {
	b.load.UsedTokens, b.load.QueuedTokens, b.load.Streams = b.UsedTokens(), 0, len(b.streams)
	for _, s := range b.byPriority() {
		b.load.QueuedTokens += int(s.prefill)
	}
	b.reports = append(b.reports, report{at: now, load: b.load})
	for len(b.reports) > 1 && now.Sub(b.reports[1].at) >= b.config.ReportLag {
		b.reports = b.reports[1:]
	}
}

// LoadReport is the load report, which lags; identity and leaving do not.
func (b *Batcher) LoadReport() api.EngineLoad {
	if len(b.reports) == 0 {
		return b.load
	}
	out := b.reports[0].load
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
	b.pending, b.loading = &o, now.Add(b.config.WeightLoadTime)
	b.finishOrder(now)
	return nil
}

func (b *Batcher) finishOrder(now time.Time) {
	if b.pending == nil || now.Before(b.loading) {
		return
	}
	b.load.Model, b.load.Version = b.pending.Model, b.pending.Version
	b.load.Adapters, b.load.Role = b.pending.Adapters, b.pending.Role
	b.pending = nil
}
