// Package worker emulates the upstreams of the users' platform: plain services,
// and engines that answer with streams of server-sent events. A Worker is one
// upstream; it records every request that it executes and fails in the ways that
// a test sets.
package worker

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is the way in which a worker fails to answer requests correctly.
type Fault int

// The faults of a worker. With all but FaultFull and FaultBackoff, the worker
// executes the request.
const (
	// FaultNone makes the worker answer correctly.
	FaultNone Fault = iota
	// FaultFull makes the worker answer 503 and state in X-Not-Executed that
	// it did not execute the request. It refuses to reserve or release memory
	// too.
	FaultFull
	// FaultServerError makes the worker execute the request and answer 500.
	FaultServerError
	// FaultConnectionLost makes the worker execute the request and close the
	// connection instead of answering.
	FaultConnectionLost
	// FaultNoAnswer makes the worker execute the request and never answer; the
	// connection stays open until the client closes it.
	FaultNoAnswer
	// FaultBrokenOff makes the worker close the connection halfway through the
	// answer, which for streams is within an event.
	FaultBrokenOff
	// FaultEndsEarly makes the worker end a stream without an error halfway
	// through, within an event. It doesn't affect plain calls.
	FaultEndsEarly
	// FaultForeignID makes the worker answer with the ID of another request in
	// X-Attempt-Id.
	FaultForeignID
	// FaultExtraAnswer makes the worker send a second HTTP response after the
	// answer to a plain call. It doesn't affect streams.
	FaultExtraAnswer
	// FaultUnstamped makes the worker answer without X-Engine-Stamp, by which
	// entries recognise the answers of upstreams.
	FaultUnstamped
	// FaultUnframed makes the worker answer a plain call without a length, so
	// that only the closing connection marks the end. It doesn't affect
	// streams.
	FaultUnframed
	// FaultSlow makes the worker execute the request for SlowWorkTime before
	// it answers.
	FaultSlow
	// FaultBackoff makes the worker answer 503, state in X-Not-Executed that it
	// did not execute the request, and ask in Retry-After for a backoff of
	// BackoffTime.
	FaultBackoff
)

// BackoffTime is the time for which a worker with FaultBackoff asks the entry that
// it refuses to send it nothing.
const BackoffTime = 3 * time.Second

// SlowWorkTime is the time from the start of an execution to the answer of a
// worker with FaultSlow. A plain call whose duration is set by a plan takes that
// duration plus SlowWorkTime, less the work time passed to New.
const SlowWorkTime = 1900 * time.Millisecond

// AllFaults lists all values of Fault, FaultNone included.
var AllFaults = []Fault{FaultNone, FaultFull, FaultServerError, FaultConnectionLost, FaultNoAnswer, FaultBrokenOff, FaultEndsEarly, FaultForeignID, FaultExtraAnswer, FaultUnstamped, FaultUnframed, FaultSlow, FaultBackoff}

// Worker emulates one upstream. It is safe for concurrent use, except for SetPlan
// and OnCrash.
type Worker struct {
	// id is the instance ID.
	id string
	// eventCount is the number of events of a stream, unless there is a plan.
	eventCount int
	// eventGap is the time between two events of a stream. workTime is the time
	// before the answer or the first event; a plan replaces it for plain calls.
	eventGap, workTime time.Duration
	// plan determines the lengths of answers; nil if they are all alike.
	plan *AnswerPlan

	// lock guards the fields below, but for onCrash.
	lock  sync.Mutex
	fault Fault
	// faultShare is the fraction of requests that have fault; 0 for all.
	faultShare float64
	executions []Execution
	// refusals records the requests refused because of FaultFull or
	// FaultBackoff.
	refusals []Execution
	// current is the incarnation that executes new requests.
	current *incarnation
	// restarts is the number of calls of Restart.
	restarts int
	// reservations holds the tokens of reserved memory by ticket.
	reservations map[string]int
	// usedTickets holds the tickets passed to MarkTicketUsed.
	usedTickets map[string]bool
	// rateLimits are the periods in which responses state a rate limit, earliest first.
	rateLimits []RateLimitPeriod
	// garbledRateLimit is the text that responses state instead of the rate limit; empty for none.
	garbledRateLimit string
	// writeCrash determines which streams crash the worker as it writes them; nil if none does.
	writeCrash *WriteCrash
	// slots holds an element for each request that is executed, if SetSlots was called; nil otherwise. QueueLength is
	// the largest number of requests that are executed or wait for a slot, admitted that number now.
	slots                 chan struct{}
	queueLength, admitted int
	// onCrash is called when a request crashes the worker; if nil, requests
	// don't crash it.
	onCrash func()
}

// incarnation is one process lifetime of a worker, from start to exit. The
// worker's lock guards its fields.
type incarnation struct {
	// inProgress is the number of executions in progress.
	inProgress int
	// crashed is true once a request has crashed this incarnation.
	crashed bool
	// leaving makes all responses announce that the worker is leaving.
	leaving bool
	// ended is closed at the exit of the process.
	ended chan struct{}
}

// newIncarnation returns an incarnation that has just started.
func newIncarnation() *incarnation { return &incarnation{ended: make(chan struct{})} }

// New returns a worker without faults. It has the given instance ID, waits
// workTime before each answer, and sends streams of eventCount events, eventGap
// apart.
func New(id string, workTime time.Duration, eventCount int, eventGap time.Duration) *Worker {
	return &Worker{id: id, workTime: workTime, eventCount: eventCount, eventGap: eventGap, current: newIncarnation(), reservations: map[string]int{}, usedTickets: map[string]bool{}}
}

// SetPlan makes a plan determine the number of events of streams and the duration
// of plain calls. It must be called before the first request.
func (w *Worker) SetPlan(p *AnswerPlan) { w.plan = p }

// crashDelay is the time from the start of an execution to the crash that it
// causes.
const crashDelay = 60 * time.Millisecond

// crashPathSegment is contained in the paths of requests that crash the worker
// that executes them.
const crashPathSegment = "/crash"

// IsCrashPath reports whether a request with this path crashes the worker that
// executes it.
func IsCrashPath(path string) bool { return strings.Contains(path, crashPathSegment) }

// OnCrash sets the function that is called when a request crashes the worker; the
// function must close the worker's connections, keep its address unreachable for
// a while, and call Restart. If OnCrash is not called, requests don't crash the
// worker. It must be called before the first request.
func (w *Worker) OnCrash(onCrash func()) { w.onCrash = onCrash }

// ID returns the instance ID.
func (w *Worker) ID() string { return w.id }

// SetFault sets the fault with which the worker answers new requests.
func (w *Worker) SetFault(f Fault) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.fault, w.faultShare = f, 0
}

// SetFaultShare sets the fault with which the worker answers a fraction of new requests, chosen by hashes of their
// IDs and the worker's.
func (w *Worker) SetFaultShare(f Fault, share float64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.fault, w.faultShare = f, share
}

// faultOf returns the fault with which the worker answers a request. The lock must be held.
func (w *Worker) faultOf(requestID string) Fault {
	sum := sha256.Sum256([]byte(w.id + " " + requestID))
	if w.faultShare > 0 && float64(binary.BigEndian.Uint32(sum[:])) >= w.faultShare*math.MaxUint32 {
		return FaultNone
	}
	return w.fault
}

// SetLeaving makes all responses to new requests announce that the worker is
// leaving, until the next Restart. The worker still executes requests.
func (w *Worker) SetLeaving() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.current.leaving = true
}

// Executions returns the records of all executions since New, in the order of
// their start.
func (w *Worker) Executions() []Execution {
	w.lock.Lock()
	defer w.lock.Unlock()
	return append([]Execution(nil), w.executions...)
}

// RefusedCount returns the number of requests refused because of FaultFull or
// FaultBackoff.
func (w *Worker) RefusedCount() int {
	w.lock.Lock()
	defer w.lock.Unlock()
	return len(w.refusals)
}

// InProgress returns the number of requests that the current incarnation is
// executing.
func (w *Worker) InProgress() int {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.current.inProgress
}

// Restart ends the worker's incarnation and starts another one under the same
// instance ID. As behind a network partition, requests in progress are never
// answered and their connections stay open, but silent. The new incarnation has no
// reservations.
func (w *Worker) Restart() {
	w.lock.Lock()
	defer w.lock.Unlock()
	close(w.current.ended)
	w.current = newIncarnation()
	w.restarts++
	w.endRateLimit()
	clear(w.reservations)
}

// ReservedTokens returns the reserved memory in tokens, by ticket.
func (w *Worker) ReservedTokens() map[string]int {
	w.lock.Lock()
	defer w.lock.Unlock()
	return maps.Clone(w.reservations)
}

// AnswerBody returns the body of the correct answer to the plain call with the
// given ID.
func AnswerBody(id string) string { return "answer to " + id }

// StreamEvent returns the n-th event, counted from 1, of the correct answer to the
// streaming request with the given ID, as bytes of the event stream.
func StreamEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// ServeHTTP serves one HTTP request. Requests to /order reserve or release memory
// those to /report list the reservations, and those to /health are answered; all others are executed or refused as
// the fault determines, or refused with 421 if X-Expect-Instance names another
// instance.
func (w *Worker) ServeHTTP(response http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/order":
		w.serveOrder(response, body)
		return
	case "/report":
		w.serveReport(response)
		return
	case "/health":
		response.Header().Set("X-Instance-Id", w.id)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != w.id {
		response.Header().Set("X-Instance-Id", w.id)
		response.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.lock.Lock()
	fault := w.faultOf(id)
	refuses, leaving := fault == FaultFull || fault == FaultBackoff, w.current.leaving
	if refuses {
		w.refusals = append(w.refusals, Execution{RequestID: id, WorkerID: w.id, Fault: fault, Began: time.Now(), Ended: time.Now(), Incarnation: w.restarts})
	}
	w.lock.Unlock()
	if leaving {
		response.Header().Set("Server-Leaving", "1")
	}
	if fault == FaultBackoff {
		response.Header().Set("Retry-After", strconv.FormatFloat(BackoffTime.Seconds(), 'f', -1, 64))
	}
	if refuses {
		response.Header().Set("X-Not-Executed", "1")
		w.stateRateLimit(response.Header())
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	leave := w.enter(r, id)
	if leave == nil {
		response.Header().Set("X-Not-Executed", "1")
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer leave()
	current, index := w.beginExecution(r, id, string(body), fault)
	defer w.endExecution(current, index)
	response.Header().Set("X-Attempt-Id", id)
	if fault == FaultForeignID {
		response.Header().Set("X-Attempt-Id", "another")
	}
	if fault != FaultUnstamped {
		response.Header().Set("X-Engine-Stamp", w.id)
	}
	if w.onCrash != nil && IsCrashPath(r.URL.Path) {
		w.serveCrash(r, current, index)
		return
	}
	workTime := w.workTimeOf(r, id)
	if fault == FaultSlow {
		workTime += SlowWorkTime - w.workTime
	}
	if !current.wait(r, workTime) {
		return
	}
	w.stateRateLimit(response.Header())
	switch fault {
	case FaultServerError:
		response.WriteHeader(http.StatusInternalServerError)
	case FaultConnectionLost:
		panic(http.ErrAbortHandler)
	case FaultNoAnswer:
		<-r.Context().Done()
	default:
		w.writeAnswer(response, r, current, index, fault, id)
	}
}

// serveCrash executes a request that crashes the incarnation. Only the first such
// request of an incarnation calls onCrash, but all are recorded as crashed. None is
// answered.
func (w *Worker) serveCrash(r *http.Request, current *incarnation, index int) {
	w.crash(r, current, index, func() {})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// crash crashes the incarnation after crashDelay, unless the client disconnects before. It calls end first, which
// may close the connection of the request.
func (w *Worker) crash(r *http.Request, current *incarnation, index int, end func()) {
	if !current.wait(r, crashDelay) {
		return
	}
	end()
	time.Sleep(time.Millisecond) // until the client has read the end
	w.lock.Lock()
	first := !current.crashed
	current.crashed, w.executions[index].Crashed = true, true
	w.lock.Unlock()
	if first {
		w.onCrash()
	}
}

// workTimeOf returns the time before the answer to r, or before the first event
// of a stream, without faults.
func (w *Worker) workTimeOf(r *http.Request, id string) time.Duration {
	if w.plan != nil && r.Header.Get("X-Token-Usage") == "" {
		return w.plan.CallDuration(id, r.URL.Path)
	}
	return w.workTime
}

// eventCountOf returns the number of events of the stream with the given ID.
func (w *Worker) eventCountOf(id string) int {
	if w.plan != nil {
		return w.plan.EventCount(id)
	}
	return w.eventCount
}

// beginExecution records the start of an execution. It returns the incarnation
// that executes it and the index of the record in executions.
func (w *Worker) beginExecution(r *http.Request, id, body string, fault Fault) (*incarnation, int) {
	remaining, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	w.lock.Lock()
	defer w.lock.Unlock()
	w.current.inProgress++
	w.executions = append(w.executions, Execution{
		RequestID: id, Organisation: r.Header.Get("X-Tenant"), Path: r.RequestURI, LastEventID: r.Header.Get("Last-Event-Id"),
		Helpers: r.Header.Get("X-Helpers"), Priority: r.Header.Get("X-Request-Priority"), Body: body, Remaining: time.Duration(remaining) * time.Millisecond,
		WorkerID: w.id, Fault: fault, Incarnation: w.restarts, Began: time.Now(),
	})
	return w.current, len(w.executions) - 1
}

// endExecution records the end of the execution at index in executions, which the
// incarnation current began.
func (w *Worker) endExecution(current *incarnation, index int) {
	w.lock.Lock()
	defer w.lock.Unlock()
	current.inProgress--
	w.executions[index].Ended = time.Now()
}

// wait returns true after d, or false as soon as the client disconnects. If the
// incarnation ends first, wait blocks until the client disconnects and then
// aborts the handler by a panic.
func (i *incarnation) wait(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	case <-i.ended:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// writeAnswer writes the answer to a plain call or a stream, after the work time
// and with those faults that affect the answer itself.
func (w *Worker) writeAnswer(response http.ResponseWriter, r *http.Request, current *incarnation, index int, fault Fault, id string) {
	if r.Header.Get("X-Token-Usage") != "" {
		w.writeStream(response, r, current, index, fault, id)
		return
	}
	body := AnswerBody(id)
	switch fault {
	case FaultBrokenOff:
		response.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(response, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case FaultExtraAnswer:
		writeRawAnswer(response, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
	case FaultUnframed:
		writeRawAnswer(response, "\r\n"+body)
	default:
		_, _ = io.WriteString(response, body)
	}
}

// writeRawAnswer writes a status line, the headers set so far and rest to the
// connection, bypassing net/http's framing, and closes the connection.
func writeRawAnswer(response http.ResponseWriter, rest string) {
	connection, buffer, err := http.NewResponseController(response).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\n")
	_ = response.Header().Write(buffer)
	_, _ = buffer.WriteString(rest)
	_ = buffer.Flush()
}

// writeStream sends the events of a stream after Last-Event-Id, eventGap apart.
func (w *Worker) writeStream(response http.ResponseWriter, r *http.Request, current *incarnation, index int, fault Fault, id string) {
	lastEventID, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	response.Header().Set("Content-Type", "text/event-stream")
	crash, end := w.writeCrash.of(r), func() {}
	if crash != nil && crash.Unframed {
		response, r, end = newUnframedWriter(response, r)
		defer end()
	}
	flusher := http.NewResponseController(response)
	events, began := w.eventCountOf(id), time.Now()
	for n := lastEventID + 1; n <= events; n++ {
		event := StreamEvent(id, n)
		if crash != nil && n-lastEventID > crash.EventsBefore && crash.IsDue(r.Header.Get("X-Prompt-Prefix")) {
			if crash.EventsBefore > 0 || crash.Unframed {
				_, _ = io.WriteString(response, event[:len(event)/2])
				_ = flusher.Flush()
			}
			w.crash(r, current, index, end)
			return
		}
		if half := lastEventID + (events-lastEventID+1)/2; n == half && (fault == FaultBrokenOff || fault == FaultEndsEarly) {
			_, _ = io.WriteString(response, event[:len(event)/2])
			_ = flusher.Flush()
			if fault == FaultBrokenOff {
				panic(http.ErrAbortHandler)
			}
			return
		}
		_, _ = io.WriteString(response, event)
		_ = flusher.Flush()
		// Waits until a time counted from the start of the stream, so that
		// delays don't add up over many events.
		if !current.wait(r, time.Until(began.Add(time.Duration(n-lastEventID)*w.eventGap))) {
			return
		}
	}
}
