package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
)

// advanceInterval is the time between two calls of Batcher.Advance.
const advanceInterval = 2 * time.Millisecond

// Cache events are published late, and some of them never.
const (
	// cacheEventDelay is the time from a change of the cache to the
	// publication of its event.
	cacheEventDelay = 500 * time.Millisecond
	// lostCacheEventInterval is the interval at which events are lost: those
	// whose sequence number it divides are never published.
	lostCacheEventInterval = 7
)

// Server serves the HTTP interface of an emulated engine.
type Server struct {
	// lock guards batcher and cacheEvents.
	lock    sync.Mutex
	batcher *Batcher
	// sendsStrayChunks adds chunks that entries must drop to every stream, as
	// described at sendStrayChunks.
	sendsStrayChunks bool
	// cacheEvents holds all cache events since the start, oldest first.
	cacheEvents []timedCacheEvent
}

// timedCacheEvent is a cache event and the time at which it was collected.
type timedCacheEvent struct {
	at    time.Time
	event api.EngineCacheEvent
}

// NewServer returns a Server for a new engine configured by c. If sendsStrayChunks
// is true, every stream also carries chunks that entries must drop: chunks of another
// request, chunks of another attempt, and chunks that were sent before.
func NewServer(c Config, sendsStrayChunks bool) *Server {
	return &Server{batcher: NewBatcher(time.Now(), c), sendsStrayChunks: sendsStrayChunks}
}

// Run emulates the engine's work in real time until the context ends.
func (s *Server) Run(ctx context.Context) {
	tick := time.NewTicker(advanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.withBatcher(func(b *Batcher) {
				b.Advance(now)
				s.collectCacheEvents(now, b)
			})
		}
	}
}

// collectCacheEvents moves the Batcher's new cache events to the server. The lock
// must be held.
func (s *Server) collectCacheEvents(now time.Time, b *Batcher) {
	for _, e := range b.cacheEvents {
		s.cacheEvents = append(s.cacheEvents, timedCacheEvent{at: now, event: e})
	}
	b.cacheEvents = b.cacheEvents[:0]
}

// withBatcher calls f with the Batcher while it holds the lock.
func (s *Server) withBatcher(f func(*Batcher)) {
	s.lock.Lock()
	defer s.lock.Unlock()
	f(s.batcher)
}

// Drain marks the engine as leaving and waits until no stream is in progress or
// the context ends.
func (s *Server) Drain(ctx context.Context) {
	s.withBatcher(func(b *Batcher) { b.SetLeaving(time.Now()) })
	idle := false
	for !idle && ctx.Err() == nil {
		time.Sleep(advanceInterval)
		s.withBatcher(func(b *Batcher) { idle = b.IsIdle() })
	}
}

// Handler returns the engine's HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathCompletions, s.serveCompletion)
	mux.HandleFunc("GET "+api.PathLoad, s.serveLoad)
	mux.HandleFunc("GET "+api.PathHolds, s.serveHolds)
	mux.HandleFunc("POST "+api.PathHolds, s.serveAddHold)
	mux.HandleFunc("POST "+api.PathHolds+"/renew", s.serveRenewHolds)
	mux.HandleFunc("DELETE "+api.PathHolds+"/{id}", s.serveFreeHold)
	mux.HandleFunc("DELETE "+api.PathStreams+"{id}", s.serveFreeHold)
	mux.HandleFunc("POST "+api.PathOrders, s.serveOrder)
	mux.HandleFunc("GET "+api.PathCacheEvents, s.serveCacheEvents)
	mux.HandleFunc("POST "+api.PathKVTransfer+"{prefix}/{direction}", s.serveKVTransfer)
	mux.HandleFunc("POST /control/leave", s.serveLeave)
	mux.HandleFunc("GET /control/ran", s.serveStartCounts)
	return mux
}

// writeRefusal responds with the status of a RefusedError, or 400 for any other
// error, and states that nothing was started.
func writeRefusal(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var refused RefusedError
	if errors.As(err, &refused) {
		status = refused.StatusCode
	}
	w.Header().Set(api.HeaderStarted, "false")
	w.WriteHeader(status)
	_, _ = fmt.Fprintln(w, err)
}

// writeJSON responds with v encoded as JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// readStartParams reads the parameters of an attempt from the headers and the
// body of r. Numbers that can't be parsed are read as 0.
func readStartParams(r *http.Request) (startParams, error) {
	params := startParams{
		requestID: r.Header.Get(api.HeaderRequestID),
		attemptID: r.Header.Get(api.HeaderAttemptID),
		owner:     r.Header.Get(api.HeaderOwner),
	}
	params.incarnation, _ = strconv.ParseUint(r.Header.Get(api.HeaderOwnerIncarnation), 10, 64)
	params.priority, _ = strconv.Atoi(r.Header.Get(api.HeaderPriority))
	params.resumeFrom, _ = strconv.Atoi(r.Header.Get(api.HeaderResumeFrom))
	if group := r.Header.Get(api.HeaderGroupHolds); group != "" {
		params.group = strings.Split(group, ",")
	}
	return params, json.NewDecoder(r.Body).Decode(&params.request)
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	params, err := readStartParams(r)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	var stream *stream
	s.withBatcher(func(b *Batcher) { stream, err = b.Start(time.Now(), params) })
	if err != nil {
		writeRefusal(w, err)
		return
	}
	defer s.withBatcher(func(b *Batcher) { b.FreeHold(time.Now(), stream.attemptID, 0) })
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	s.streamChunks(w, r, stream)
}

// streamChunks sends the chunks of a stream as server-sent events until the
// answer ends, the stream is aborted or the client disconnects. Only a complete
// answer is followed by api.DoneMarker.
func (s *Server) streamChunks(w http.ResponseWriter, r *http.Request, stream *stream) {
	for {
		select {
		case <-r.Context().Done():
			return
		case <-stream.aborted:
			return
		case chunk, open := <-stream.chunks:
			if !open {
				sendEvent(w, api.DoneMarker)
				return
			}
			if s.sendsStrayChunks {
				s.sendStrayChunks(w, chunk)
			}
			sendChunk(w, chunk)
		}
	}
}

// sendStrayChunks sends three chunks that a faulty engine might send: one of
// another request, one of another attempt, and one at an offset sent before. The
// third is left out at offset 0 and with the final chunk.
func (s *Server) sendStrayChunks(w http.ResponseWriter, chunk api.CompletionChunk) {
	foreign := chunk
	foreign.ID = "00000000-0000-4000-8000-000000000000"
	foreign.Choices = []api.CompletionChoice{{Text: "FOREIGN ", Tokens: 1}}
	sendChunk(w, foreign)
	staleAttempt := chunk
	staleAttempt.AttemptID = "00000000-0000-4000-8000-000000000001"
	staleAttempt.Choices = []api.CompletionChoice{{Text: "LATE ", Tokens: 1}}
	sendChunk(w, staleAttempt)
	if chunk.Offset > 0 && chunk.Choices[0].FinishReason == "" {
		repeated := chunk
		repeated.Offset--
		repeated.Choices = []api.CompletionChoice{{Text: "AGAIN ", Tokens: 1}}
		sendChunk(w, repeated)
	}
}

func sendChunk(w http.ResponseWriter, chunk api.CompletionChunk) {
	data, _ := json.Marshal(chunk)
	sendEvent(w, string(data))
}

// sendEvent sends a server-sent event and flushes it.
func sendEvent(w http.ResponseWriter, data string) {
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	var load api.EngineLoad
	s.withBatcher(func(b *Batcher) { load = b.LoadReport() })
	writeJSON(w, load)
}

func (s *Server) serveHolds(w http.ResponseWriter, _ *http.Request) {
	var holds api.EngineHolds
	s.withBatcher(func(b *Batcher) { holds.Holds = b.Holds(time.Now()) })
	writeJSON(w, holds)
}

func (s *Server) serveAddHold(w http.ResponseWriter, r *http.Request) {
	var h api.EngineHold
	err := json.NewDecoder(r.Body).Decode(&h)
	if err == nil {
		s.withBatcher(func(b *Batcher) { err = b.AddHold(time.Now(), h) })
	}
	if err != nil {
		writeRefusal(w, err)
		return
	}
	w.WriteHeader(http.StatusCreated)
}

func (s *Server) serveRenewHolds(w http.ResponseWriter, r *http.Request) {
	var renewal, missing api.EngineHoldRenewal
	if err := json.NewDecoder(r.Body).Decode(&renewal); err != nil {
		writeRefusal(w, err)
		return
	}
	s.withBatcher(func(b *Batcher) { missing.IDs = b.RenewHolds(time.Now(), renewal.IDs) })
	writeJSON(w, missing)
}

func (s *Server) serveFreeHold(w http.ResponseWriter, r *http.Request) {
	olderThan, _ := api.ParseSeconds(r.URL.Query().Get("older_than"))
	freed := false
	s.withBatcher(func(b *Batcher) { freed = b.FreeHold(time.Now(), r.PathValue("id"), olderThan) })
	if !freed {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o api.EngineOrder
	err := json.NewDecoder(r.Body).Decode(&o)
	if err == nil {
		s.withBatcher(func(b *Batcher) { err = b.HandleOrder(time.Now(), o) })
	}
	if err != nil {
		writeRefusal(w, err)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (s *Server) serveCacheEvents(w http.ResponseWriter, _ *http.Request) {
	out := []api.EngineCacheEvent{}
	now := time.Now()
	s.withBatcher(func(*Batcher) {
		for _, e := range s.cacheEvents {
			if now.Sub(e.at) >= cacheEventDelay && e.event.Sequence%lostCacheEventInterval != 0 {
				out = append(out, e.event)
			}
		}
	})
	writeJSON(w, out)
}

// serveKVTransfer starts an export or import of a cached prefix. No data moves:
// it only reserves the memory of one prefix, under the ID of the attempt, until
// the client frees the hold.
func (s *Server) serveKVTransfer(w http.ResponseWriter, r *http.Request) {
	kind := map[string]string{"export": api.HoldExport, "import": api.HoldImport}[r.PathValue("direction")]
	if kind == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	incarnation, _ := strconv.ParseUint(r.Header.Get(api.HeaderOwnerIncarnation), 10, 64)
	reservation := api.EngineHold{
		ID: r.Header.Get(api.HeaderAttemptID), Owner: r.Header.Get(api.HeaderOwner),
		Incarnation: incarnation, Kind: kind, Tokens: api.EstimatePromptTokens(CachedPrefixBytes),
	}
	var err error
	s.withBatcher(func(b *Batcher) { err = b.AddHold(time.Now(), reservation) })
	if err != nil {
		writeRefusal(w, err)
		return
	}
	w.WriteHeader(http.StatusCreated)
}

func (s *Server) serveLeave(w http.ResponseWriter, _ *http.Request) {
	s.withBatcher(func(b *Batcher) { b.SetLeaving(time.Now()) })
	w.WriteHeader(http.StatusNoContent)
}

// serveStartCounts responds with counts for tests: starts by request ID, starts
// after leaving began and after the grace period, and the tokens held.
func (s *Server) serveStartCounts(w http.ResponseWriter, _ *http.Request) {
	var out struct {
		Requests         map[string]int
		AfterLeaving     int
		LateAfterLeaving int
		UsedTokens       int
	}
	s.withBatcher(func(b *Batcher) {
		out.Requests = map[string]int{}
		for id, n := range b.startsByRequest {
			out.Requests[id] = n
		}
		out.AfterLeaving, out.LateAfterLeaving = b.startsAfterLeaving, b.startsAfterGrace
		out.UsedTokens = b.UsedTokens()
	})
	writeJSON(w, out)
}
