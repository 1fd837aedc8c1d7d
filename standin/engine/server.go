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

// stepTime is how often the engine works.
const stepTime = 2 * time.Millisecond

// cacheEventDelay is how late cache events are published; every
// cacheEventGap-th one never is.
const (
	cacheEventDelay = 500 * time.Millisecond
	cacheEventGap   = 7
)

// Server serves a Batcher over HTTP.
type Server struct {
	lock    sync.Mutex
	batcher *Batcher
	// crossed makes every stream carry chunks that are not its own.
	crossed bool
	events  []timedEvent
}

type timedEvent struct {
	at    time.Time
	event api.EngineCacheEvent
}

// NewServer returns a server for a new engine.
func NewServer(c Config, crossed bool) *Server {
	return &Server{batcher: NewBatcher(time.Now(), c), crossed: crossed}
}

// Run lets the engine work until the context ends.
func (s *Server) Run(ctx context.Context) {
	tick := time.NewTicker(stepTime)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.with(func(b *Batcher) {
				b.Advance(now)
				s.collect(now, b)
			})
		}
	}
}

func (s *Server) collect(now time.Time, b *Batcher) {
	for _, e := range b.events {
		s.events = append(s.events, timedEvent{at: now, event: e})
	}
	b.events = b.events[:0]
}

func (s *Server) with(f func(*Batcher)) {
	s.lock.Lock()
	defer s.lock.Unlock()
	f(s.batcher)
}

// Drain makes the engine leave and waits until nothing runs.
func (s *Server) Drain(ctx context.Context) {
	s.with(func(b *Batcher) { b.SetLeaving(time.Now()) })
	idle := false
	for !idle && ctx.Err() == nil {
		time.Sleep(stepTime)
		s.with(func(b *Batcher) { idle = b.IsIdle() })
	}
}

// Handler returns the engine's HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathCompletions, s.completions)
	mux.HandleFunc("GET "+api.PathLoad, s.report)
	mux.HandleFunc("GET "+api.PathHolds, s.listHolds)
	mux.HandleFunc("POST "+api.PathHolds, s.makeHold)
	mux.HandleFunc("POST "+api.PathHolds+"/renew", s.renewHolds)
	mux.HandleFunc("DELETE "+api.PathHolds+"/{id}", s.freeHold)
	mux.HandleFunc("DELETE "+api.PathStreams+"{id}", s.freeHold)
	mux.HandleFunc("POST "+api.PathOrders, s.order)
	mux.HandleFunc("GET "+api.PathCacheEvents, s.cacheEvents)
	mux.HandleFunc("POST "+api.PathKVTransfer+"{prefix}/{direction}", s.kv)
	mux.HandleFunc("POST /control/leave", s.leave)
	mux.HandleFunc("GET /control/ran", s.ran)
	return mux
}

func refuse(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var refused RefusedError
	if errors.As(err, &refused) {
		status = refused.StatusCode
	}
	w.Header().Set(api.HeaderStarted, "false")
	w.WriteHeader(status)
	_, _ = fmt.Fprintln(w, err)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func readStart(r *http.Request) (start, error) {
	st := start{
		requestID: r.Header.Get(api.HeaderRequestID),
		attemptID: r.Header.Get(api.HeaderAttemptID),
		owner:     r.Header.Get(api.HeaderOwner),
	}
	st.incarnation, _ = strconv.ParseUint(r.Header.Get(api.HeaderOwnerIncarnation), 10, 64)
	st.priority, _ = strconv.Atoi(r.Header.Get(api.HeaderPriority))
	st.resumeFrom, _ = strconv.Atoi(r.Header.Get(api.HeaderResumeFrom))
	if group := r.Header.Get(api.HeaderGroupHolds); group != "" {
		st.group = strings.Split(group, ",")
	}
	return st, json.NewDecoder(r.Body).Decode(&st.request)
}

func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	st, err := readStart(r)
	if err != nil {
		refuse(w, err)
		return
	}
	var stream *stream
	s.with(func(b *Batcher) { stream, err = b.Start(time.Now(), st) })
	if err != nil {
		refuse(w, err)
		return
	}
	defer s.with(func(b *Batcher) { b.FreeHold(time.Now(), stream.id, 0) })
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	s.pump(w, r, stream)
}

func (s *Server) pump(w http.ResponseWriter, r *http.Request, stream *stream) {
	for {
		select {
		case <-r.Context().Done():
			return
		case <-stream.done:
			return
		case chunk, more := <-stream.events:
			if !more {
				send(w, api.DoneMarker)
				return
			}
			if s.crossed {
				s.sendCrossed(w, chunk)
			}
			sendChunk(w, chunk)
		}
	}
}

// sendCrossed sends what a faulty engine might: a chunk of another request,
// one of another attempt, and one sent before.
func (s *Server) sendCrossed(w http.ResponseWriter, chunk api.CompletionChunk) {
	foreign := chunk
	foreign.ID = "00000000-0000-4000-8000-000000000000"
	foreign.Choices = []api.CompletionChoice{{Text: "FOREIGN ", Tokens: 1}}
	sendChunk(w, foreign)
	late := chunk
	late.AttemptID = "00000000-0000-4000-8000-000000000001"
	late.Choices = []api.CompletionChoice{{Text: "LATE ", Tokens: 1}}
	sendChunk(w, late)
	if chunk.Offset > 0 && chunk.Choices[0].FinishReason == "" {
		again := chunk
		again.Offset--
		again.Choices = []api.CompletionChoice{{Text: "AGAIN ", Tokens: 1}}
		sendChunk(w, again)
	}
}

func sendChunk(w http.ResponseWriter, chunk api.CompletionChunk) {
	data, _ := json.Marshal(chunk)
	send(w, string(data))
}

func send(w http.ResponseWriter, data string) {
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	var load api.EngineLoad
	s.with(func(b *Batcher) { load = b.LoadReport() })
	reply(w, load)
}

func (s *Server) listHolds(w http.ResponseWriter, _ *http.Request) {
	var holds api.EngineHolds
	s.with(func(b *Batcher) { holds.Holds = b.Holds(time.Now()) })
	reply(w, holds)
}

func (s *Server) makeHold(w http.ResponseWriter, r *http.Request) {
	var h api.EngineHold
	err := json.NewDecoder(r.Body).Decode(&h)
	if err == nil {
		s.with(func(b *Batcher) { err = b.AddHold(time.Now(), h) })
	}
	if err != nil {
		refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusCreated)
}

func (s *Server) renewHolds(w http.ResponseWriter, r *http.Request) {
	var renewal, gone api.EngineHoldRenewal
	if err := json.NewDecoder(r.Body).Decode(&renewal); err != nil {
		refuse(w, err)
		return
	}
	s.with(func(b *Batcher) { gone.IDs = b.RenewHolds(time.Now(), renewal.IDs) })
	reply(w, gone)
}

func (s *Server) freeHold(w http.ResponseWriter, r *http.Request) {
	olderThan, _ := api.ParseSeconds(r.URL.Query().Get("older_than"))
	freed := false
	s.with(func(b *Batcher) { freed = b.FreeHold(time.Now(), r.PathValue("id"), olderThan) })
	if !freed {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o api.EngineOrder
	err := json.NewDecoder(r.Body).Decode(&o)
	if err == nil {
		s.with(func(b *Batcher) { err = b.HandleOrder(time.Now(), o) })
	}
	if err != nil {
		refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (s *Server) cacheEvents(w http.ResponseWriter, _ *http.Request) {
	out := []api.EngineCacheEvent{}
	now := time.Now()
	s.with(func(*Batcher) {
		for _, e := range s.events {
			if now.Sub(e.at) >= cacheEventDelay && e.event.Sequence%cacheEventGap != 0 {
				out = append(out, e.event)
			}
		}
	})
	reply(w, out)
}

// kv exports or imports the cache of a prefix; each holds memory meanwhile.
func (s *Server) kv(w http.ResponseWriter, r *http.Request) {
	kind := map[string]string{"export": api.HoldExport, "import": api.HoldImport}[r.PathValue("direction")]
	if kind == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	incarnation, _ := strconv.ParseUint(r.Header.Get(api.HeaderOwnerIncarnation), 10, 64)
	h := api.EngineHold{
		ID: r.Header.Get(api.HeaderAttemptID), Owner: r.Header.Get(api.HeaderOwner),
		Incarnation: incarnation, Kind: kind, Tokens: api.EstimatePromptTokens(CachedPrefixBytes),
	}
	var err error
	s.with(func(b *Batcher) { err = b.AddHold(time.Now(), h) })
	if err != nil {
		refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusCreated)
}

func (s *Server) leave(w http.ResponseWriter, _ *http.Request) {
	s.with(func(b *Batcher) { b.SetLeaving(time.Now()) })
	w.WriteHeader(http.StatusNoContent)
}

// ran tells tests what the engine did.
func (s *Server) ran(w http.ResponseWriter, _ *http.Request) {
	var out struct {
		Requests         map[string]int
		AfterLeaving     int
		LateAfterLeaving int
		UsedTokens       int
	}
	s.with(func(b *Batcher) {
		out.Requests = map[string]int{}
		for id, n := range b.ran {
			out.Requests[id] = n
		}
		out.AfterLeaving, out.LateAfterLeaving = b.afterLeaving, b.lateAfterLeaving
		out.UsedTokens = b.UsedTokens()
	})
	reply(w, out)
}
