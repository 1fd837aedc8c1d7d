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
	events      int
	pause, work time.Duration
	// plan, where not nil, takes the place of events and, for plain calls, work.
	plan *AnswerPlan

	lock  sync.Mutex
	fault Fault
	runs  []Execution
	// refused are requests that the worker was too full for; they are no runs.
	refused []Execution
	now     *incarnation
	// process counts the starts.
	process int
	// orders is the memory set aside by ticket, used the tickets that a request uses.
	orders map[string]int
	used   map[string]bool
	// crash is called when a request ends the process that runs it; nil where none does.
	crash func()
}

// incarnation is one run of the worker's process.
type incarnation struct {
	working int
	// crashed is true once a request has ended the process.
	crashed bool
	// leaving processes say so in all their answers.
	leaving bool
	// over is closed when the process has ended.
	over chan struct{}
}

func newIncarnation() *incarnation { return &incarnation{over: make(chan struct{})} }

// New returns a sound worker with an instance id, that answers after work and
// makes events with pauses.
func New(id string, work time.Duration, events int, pause time.Duration) *Worker {
	return &Worker{id: id, work: work, events: events, pause: pause, now: newIncarnation(), orders: map[string]int{}, used: map[string]bool{}}
}

// SetPlan has each request's answer last as a plan says. It is called before
// the first request.
func (w *Worker) SetPlan(p *AnswerPlan) { w.plan = p }

// crashAfter is how long a process runs a request that crashes it.
const crashAfter = 60 * time.Millisecond

// crashPart is what the paths contain of requests that crash what runs them.
const crashPart = "/crash"

// IsCrashPath reports whether a request to a path crashes whatever runs it.
func IsCrashPath(path string) bool { return strings.Contains(path, crashPart) }

// OnCrash has a function called when a request crashes the worker. It ends the
// worker's connections, keeps its address from answering for a while, and calls Restart.
func (w *Worker) OnCrash(crash func()) { w.crash = crash }

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
	w.now.leaving = true
}

// Executions returns all that ran.
func (w *Worker) Executions() []Execution {
	w.lock.Lock()
	defer w.lock.Unlock()
	return append([]Execution(nil), w.runs...)
}

// RefusedCount is how many requests the worker has turned away.
func (w *Worker) RefusedCount() int {
	w.lock.Lock()
	defer w.lock.Unlock()
	return len(w.refused)
}

// InProgress is how many requests are being worked on.
func (w *Worker) InProgress() int {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.now.working
}

// Restart ends the worker's process and starts it again under its id, as behind a
// partition: what it worked on is never answered and its connections say nothing more.
// The new run holds nothing.
func (w *Worker) Restart() {
	w.lock.Lock()
	defer w.lock.Unlock()
	close(w.now.over)
	w.now = newIncarnation()
	w.process++
	clear(w.orders)
}

// ExecutionsOf returns the runs of a request at all of the workers, the earliest first.
func ExecutionsOf(workers iter.Seq[*Worker], id string) []Execution {
	return runsOf(workers, id, func(w *Worker) []Execution { return w.runs })
}

// RefusalsOf returns when workers were too full for a request, the earliest first.
func RefusalsOf(workers iter.Seq[*Worker], id string) []Execution {
	return runsOf(workers, id, func(w *Worker) []Execution { return w.refused })
}

func runsOf(workers iter.Seq[*Worker], id string, of func(*Worker) []Execution) []Execution {
	var found []Execution
	for w := range workers {
		w.lock.Lock()
		for _, r := range of(w) {
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
	return maps.Clone(w.orders)
}

// AnswerBody is the answer to a plain request.
func AnswerBody(id string) string { return "answer to " + id }

// StreamEvent is one event of the answer to a stream.
func StreamEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// ServeHTTP answers one request.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/order":
		w.order(out, body)
		return
	case "/report":
		w.report(out)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != w.id {
		out.Header().Set("X-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.lock.Lock()
	fault := w.fault
	refuses, leaving := fault == FaultFull || fault == FaultBackoff, w.now.leaving
	if refuses {
		w.refused = append(w.refused, Execution{RequestID: id, WorkerID: w.id, Fault: fault, Began: time.Now(), Ended: time.Now(), Incarnation: w.process})
	}
	w.lock.Unlock()
	if leaving {
		out.Header().Set("Server-Leaving", "1")
	}
	if fault == FaultBackoff {
		out.Header().Set("Retry-After", strconv.FormatFloat(BackoffTime.Seconds(), 'f', -1, 64))
	}
	if refuses {
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	now, run := w.begin(r, id, string(body), fault)
	defer w.end(now, run)
	out.Header().Set("X-Attempt-Id", id)
	if fault == FaultForeignID {
		out.Header().Set("X-Attempt-Id", "another")
	}
	if fault != FaultUnsigned {
		out.Header().Set("X-Engine-Stamp", w.id)
	}
	if w.crash != nil && IsCrashPath(r.URL.Path) {
		w.beCrashed(r, now, run)
		return
	}
	work := w.workFor(r, id)
	if fault == FaultSlow {
		work += SlowWorkTime - w.work
	}
	if !now.sleep(r, work) {
		return
	}
	switch fault {
	case FaultServerError:
		out.WriteHeader(http.StatusInternalServerError)
	case FaultConnectionLost:
		panic(http.ErrAbortHandler)
	case FaultNoAnswer:
		<-r.Context().Done()
	default:
		w.answer(out, r, now, fault, id)
	}
}

// beCrashed runs a request that ends the process. Of two at a time the first does.
func (w *Worker) beCrashed(r *http.Request, now *incarnation, run int) {
	if !now.sleep(r, crashAfter) {
		return
	}
	w.lock.Lock()
	first := !now.crashed
	now.crashed, w.runs[run].Crashed = true, true
	w.lock.Unlock()
	if first {
		w.crash()
	}
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// workFor is how long a sound worker works before it answers.
func (w *Worker) workFor(r *http.Request, id string) time.Duration {
	if w.plan != nil && r.Header.Get("X-Token-Usage") == "" {
		return w.plan.CallDuration(id, r.URL.Path)
	}
	return w.work
}

// eventsFor is how many events the answer to a stream has.
func (w *Worker) eventsFor(id string) int {
	if w.plan != nil {
		return w.plan.EventCount(id)
	}
	return w.events
}

// begin notes a run, and returns its place among the runs.
func (w *Worker) begin(r *http.Request, id, body string, fault Fault) (*incarnation, int) {
	left, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	w.lock.Lock()
	defer w.lock.Unlock()
	w.now.working++
	w.runs = append(w.runs, Execution{
		RequestID: id, Organisation: r.Header.Get("X-Tenant"), Path: r.RequestURI, LastEventID: r.Header.Get("Last-Event-Id"),
		Helpers: r.Header.Get("X-Helpers"), Priority: r.Header.Get("X-Request-Priority"), Body: body, Remaining: time.Duration(left) * time.Millisecond,
		WorkerID: w.id, Fault: fault, Incarnation: w.process, Began: time.Now(),
	})
	return w.now, len(w.runs) - 1
}

func (w *Worker) end(now *incarnation, run int) {
	w.lock.Lock()
	defer w.lock.Unlock()
	now.working--
	w.runs[run].Ended = time.Now()
}

// sleep waits, and reports whether caller and process are still there after it.
func (i *incarnation) sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	case <-i.over:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

func (w *Worker) answer(out http.ResponseWriter, r *http.Request, now *incarnation, fault Fault, id string) {
	if r.Header.Get("X-Token-Usage") != "" {
		w.stream(out, r, now, fault, id)
		return
	}
	body := AnswerBody(id)
	switch fault {
	case FaultBrokenOff:
		out.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(out, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case FaultExtraAnswer:
		raw(out, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
	case FaultUnframed:
		raw(out, "\r\n"+body)
	default:
		_, _ = io.WriteString(out, body)
	}
}

// raw writes an answer as it stands, with the headers set, and closes the
// connection.
func raw(out http.ResponseWriter, rest string) {
	connection, buffer, err := http.NewResponseController(out).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\n")
	_ = out.Header().Write(buffer)
	_, _ = buffer.WriteString(rest)
	_ = buffer.Flush()
}

func (w *Worker) stream(out http.ResponseWriter, r *http.Request, now *incarnation, fault Fault, id string) {
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	out.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(out)
	events, began := w.eventsFor(id), time.Now()
	for n := first + 1; n <= events; n++ {
		event := StreamEvent(id, n)
		if half := first + (events-first+1)/2; n == half && (fault == FaultBrokenOff || fault == FaultEndsEarly) {
			_, _ = io.WriteString(out, event[:len(event)/2])
			_ = flusher.Flush()
			if fault == FaultBrokenOff {
				panic(http.ErrAbortHandler)
			}
			return
		}
		_, _ = io.WriteString(out, event)
		_ = flusher.Flush()
		// By the clock, so that a hundred events take no longer than their pauses.
		if !now.sleep(r, time.Until(began.Add(time.Duration(n-first)*w.pause))) {
			return
		}
	}
}
