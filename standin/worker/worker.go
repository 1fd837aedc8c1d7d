// Package worker is a stand-in for the upstreams of the users' platform: plain
// services and engines that answer with streams of events. It counts what ran,
// and fails in the ways that tests order.
package worker

import (
	"fmt"
	"io"
	"iter"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is how a worker answers.
type Fault int

// The faults.
const (
	// FaultNone answers.
	FaultNone Fault = iota
	// FaultFull answers 503 and states that it did not run the request.
	FaultFull
	// FaultServerError runs the request and answers 500.
	FaultServerError
	// FaultConnectionLost runs the request and breaks the connection instead of answering.
	FaultConnectionLost
	// FaultNoAnswer runs the request and says nothing.
	FaultNoAnswer
	// FaultBrokenOff breaks off in the middle of the answer, streams within an event.
	FaultBrokenOff
	// FaultEndsEarly ends a stream as if it were whole, in the middle of an event.
	FaultEndsEarly
	// FaultForeignID answers with another request's id.
	FaultForeignID
	// FaultExtraAnswer sends a second answer after the first.
	FaultExtraAnswer
	// FaultUnsigned answers without the signature.
	FaultUnsigned
	// FaultUnframed ends its answer with the connection.
	FaultUnframed
	// FaultSlow takes SlowWork before it answers.
	FaultSlow
	// FaultBackoff answers 503, states that it did not run the request, and wants none for PauseTime.
	FaultBackoff
)

// BackoffTime is for how long a worker that is Pausing wants no requests from an entry that it
// has told so.
const BackoffTime = 3 * time.Second

// SlowWorkTime is how long a worker that is Slow takes.
const SlowWorkTime = 1900 * time.Millisecond

// AllFaults lists all faults.
var AllFaults = []Fault{FaultNone, FaultFull, FaultServerError, FaultConnectionLost, FaultNoAnswer, FaultBrokenOff, FaultEndsEarly, FaultForeignID, FaultExtraAnswer, FaultUnsigned, FaultUnframed, FaultSlow, FaultBackoff}

// Execution is one request that a worker began to work on.
type Execution struct {
	RequestID    string
	Organisation string
	Path         string
	LastEventID  string
	Helpers      string
	Priority     string
	Body         string
	Remaining    time.Duration
	// WorkerID is the worker's id, Fault how it answered. Process counts the worker's starts.
	WorkerID    string
	Fault       Fault
	Incarnation int
	// Crashed is true where the run ended its worker's process.
	Crashed bool
	// Began and Ended are when the worker took the run and let it go; Ended is
	// zero while it works.
	Began, Ended time.Time
}

// Worker is one upstream.
type Worker struct {
	id string
	// Events and Pause are those of its streams; Work is the time before an
	// answer.
	eventCount         int
	eventGap, workTime time.Duration
	// plan, where not nil, takes the place of events and, for plain calls, work.
	plan *AnswerPlan

	lock       sync.Mutex
	fault      Fault
	executions []Execution
	// refusals are requests that the worker was too full for; they are no runs.
	refusals []Execution
	current  *incarnation
	// restarts counts the starts.
	restarts int
	// reservations is the memory set aside by ticket, used the tickets that a request uses.
	reservations map[string]int
	usedTickets  map[string]bool
	// onCrash is called when a request ends the process that runs it; nil where none does.
	onCrash func()
}

// incarnation is one run of the worker's process.
type incarnation struct {
	inProgress int
	// crashed is true once a request has ended the process.
	crashed bool
	// leaving processes say so in all their answers.
	leaving bool
	// ended is closed when the process has ended.
	ended chan struct{}
}

func newIncarnation() *incarnation { return &incarnation{ended: make(chan struct{})} }

// New returns a sound worker with an instance id, that answers after work and
// makes events with pauses.
func New(id string, workTime time.Duration, eventCount int, eventGap time.Duration) *Worker {
	return &Worker{id: id, workTime: workTime, eventCount: eventCount, eventGap: eventGap, current: newIncarnation(), reservations: map[string]int{}, usedTickets: map[string]bool{}}
}

// SetPlan has each request's answer last as a plan says. It is called before
// the first request.
func (w *Worker) SetPlan(p *AnswerPlan) { w.plan = p }

// crashDelay is how long a process runs a request that crashes it.
const crashDelay = 60 * time.Millisecond

// crashPathSegment is what the paths contain of requests that crash what runs them.
const crashPathSegment = "/crash"

// IsCrashPath reports whether a request to a path crashes whatever runs it.
func IsCrashPath(path string) bool { return strings.Contains(path, crashPathSegment) }

// OnCrash has a function called when a request crashes the worker. It ends the
// worker's connections, keeps its address from answering for a while, and calls Restart.
func (w *Worker) OnCrash(onCrash func()) { w.onCrash = onCrash }

// SetFault changes how the worker answers.
func (w *Worker) SetFault(f Fault) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.fault = f
}

// SetLeaving has the worker say in all its answers that it leaves, until it is started again. It goes
// on serving.
func (w *Worker) SetLeaving() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.current.leaving = true
}

// Executions returns all that ran.
func (w *Worker) Executions() []Execution {
	w.lock.Lock()
	defer w.lock.Unlock()
	return append([]Execution(nil), w.executions...)
}

// RefusedCount is how many requests the worker has turned away.
func (w *Worker) RefusedCount() int {
	w.lock.Lock()
	defer w.lock.Unlock()
	return len(w.refusals)
}

// InProgress is how many requests are being worked on.
func (w *Worker) InProgress() int {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.current.inProgress
}

// Restart ends the worker's process and starts it again under its id, as behind a
// partition: what it worked on is never answered and its connections say nothing more.
// The new run holds nothing.
func (w *Worker) Restart() {
	w.lock.Lock()
	defer w.lock.Unlock()
	close(w.current.ended)
	w.current = newIncarnation()
	w.restarts++
	clear(w.reservations)
}

// ExecutionsOf returns the runs of a request at all of the workers, the earliest first.
func ExecutionsOf(workers iter.Seq[*Worker], id string) []Execution {
	return recordsOf(workers, id, func(w *Worker) []Execution { return w.executions })
}

// RefusalsOf returns when workers were too full for a request, the earliest first.
func RefusalsOf(workers iter.Seq[*Worker], id string) []Execution {
	return recordsOf(workers, id, func(w *Worker) []Execution { return w.refusals })
}

func recordsOf(workers iter.Seq[*Worker], id string, records func(*Worker) []Execution) []Execution {
	var found []Execution
	for w := range workers {
		w.lock.Lock()
		for _, r := range records(w) {
			if r.RequestID == id {
				found = append(found, r)
			}
		}
		w.lock.Unlock()
	}
	slices.SortFunc(found, func(a, b Execution) int { return a.Began.Compare(b.Began) })
	return found
}

// ExecutionCount is how often a request ran at all of the workers.
func ExecutionCount(workers iter.Seq[*Worker], id string) int { return len(ExecutionsOf(workers, id)) }

// ReservedTokens returns the memory set aside, by ticket.
func (w *Worker) ReservedTokens() map[string]int {
	w.lock.Lock()
	defer w.lock.Unlock()
	return maps.Clone(w.reservations)
}

// AnswerBody is the answer to a plain request.
func AnswerBody(id string) string { return "answer to " + id }

// StreamEvent is one event of the answer to a stream.
func StreamEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// ServeHTTP answers one request.
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
	}
	id := r.Header.Get("X-Attempt-Id")
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != w.id {
		response.Header().Set("X-Instance-Id", w.id)
		response.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.lock.Lock()
	fault := w.fault
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
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	current, index := w.beginExecution(r, id, string(body), fault)
	defer w.endExecution(current, index)
	response.Header().Set("X-Attempt-Id", id)
	if fault == FaultForeignID {
		response.Header().Set("X-Attempt-Id", "another")
	}
	if fault != FaultUnsigned {
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
	switch fault {
	case FaultServerError:
		response.WriteHeader(http.StatusInternalServerError)
	case FaultConnectionLost:
		panic(http.ErrAbortHandler)
	case FaultNoAnswer:
		<-r.Context().Done()
	default:
		w.writeAnswer(response, r, current, fault, id)
	}
}

// serveCrash runs a request that ends the process. Of two at a time the first does.
func (w *Worker) serveCrash(r *http.Request, current *incarnation, index int) {
	if !current.wait(r, crashDelay) {
		return
	}
	w.lock.Lock()
	first := !current.crashed
	current.crashed, w.executions[index].Crashed = true, true
	w.lock.Unlock()
	if first {
		w.onCrash()
	}
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// workTimeOf is how long a sound worker works before it answers.
func (w *Worker) workTimeOf(r *http.Request, id string) time.Duration {
	if w.plan != nil && r.Header.Get("X-Token-Usage") == "" {
		return w.plan.CallDuration(id, r.URL.Path)
	}
	return w.workTime
}

// eventCountOf is how many events the answer to a stream has.
func (w *Worker) eventCountOf(id string) int {
	if w.plan != nil {
		return w.plan.EventCount(id)
	}
	return w.eventCount
}

// beginExecution notes a run, and returns its place among the runs.
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

func (w *Worker) endExecution(current *incarnation, index int) {
	w.lock.Lock()
	defer w.lock.Unlock()
	current.inProgress--
	w.executions[index].Ended = time.Now()
}

// wait waits, and reports whether caller and process are still there after it.
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

func (w *Worker) writeAnswer(response http.ResponseWriter, r *http.Request, current *incarnation, fault Fault, id string) {
	if r.Header.Get("X-Token-Usage") != "" {
		w.writeStream(response, r, current, fault, id)
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

// writeRawAnswer writes an answer as it stands, with the headers set, and closes the
// connection.
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

func (w *Worker) writeStream(response http.ResponseWriter, r *http.Request, current *incarnation, fault Fault, id string) {
	lastEventID, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	response.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(response)
	events, began := w.eventCountOf(id), time.Now()
	for n := lastEventID + 1; n <= events; n++ {
		event := StreamEvent(id, n)
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
		// By the clock, so that a hundred events take no longer than their pauses.
		if !current.wait(r, time.Until(began.Add(time.Duration(n-lastEventID)*w.eventGap))) {
			return
		}
	}
}
