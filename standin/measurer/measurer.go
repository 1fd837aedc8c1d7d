package measurer

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sapphireramp/sapphireramp/router"
)

const (
	// warmUp is the time at the start of a simulation that is excluded from the result, and
	// runTime the time after it that is measured. coolDown follows without new requests, so
	// that the last ones can end.
	warmUp   = 30 * time.Second
	runTime  = 5 * time.Minute
	coolDown = 5 * time.Minute
)

// classes lists the classes in the order of the table.
var classes = []router.LengthClass{router.Short, router.Medium, router.Long, router.Longest}

// classNames are the names of the classes in the table: their ranges of prompt tokens.
var classNames = map[router.LengthClass]string{router.Short: "1k-4k", router.Medium: "4k-32k", router.Long: "32k-128k", router.Longest: "128k-1M"}

// ClassResult holds the request counts and latencies of one class of requests.
type ClassResult struct {
	// Sent is the number of requests; Answered, Refused and Late count them by outcome.
	// Late includes the requests that have no other outcome.
	Sent, Answered, Refused, Late int
	// FirstToken holds the times to first token of answered requests, in microseconds,
	// as their callers see them.
	FirstToken *hdrhistogram.Histogram
}

// Result holds what a simulation measured after the warm-up.
type Result struct {
	// Classes holds the result of every class.
	Classes map[router.LengthClass]*ClassResult
	// Goodput is the rate of prompt tokens in requests answered in time, in tokens per
	// second.
	Goodput float64
}

// Run measures a policy on a deployment. The load is the rate of prompt tokens as a
// fraction of the prefill rate of all engines together. If withLongClasses is false, the
// requests of the two longest classes are left out and the others are the same.
func Run(d Deployment, o Options, load float64, withLongClasses bool, seed uint64) Result {
	f := newFleet(d, o, seed)
	f.start()
	for _, spec := range sampleRequests(d, load, warmUp+runTime, seed) {
		if withLongClasses || spec.class <= router.Medium {
			f.schedule(spec.arrivalOffset, func() { f.sendFirst(spec) })
		}
	}
	start := f.now
	f.advance(warmUp + runTime + coolDown)
	return f.summarise(start)
}

// summarise returns the result for the requests that were sent after the warm-up, which
// began at start.
func (f *fleet) summarise(start time.Time) Result {
	const maxMicros, digits = 600_000_000, 3
	out := Result{Classes: map[router.LengthClass]*ClassResult{}}
	for _, c := range classes {
		out.Classes[c] = &ClassResult{FirstToken: hdrhistogram.New(1, maxMicros, digits)}
	}
	tokens := 0
	for _, r := range f.requests {
		if r.sentAt.Sub(start) < warmUp {
			continue
		}
		c := out.Classes[r.class]
		c.Sent++
		switch r.outcome {
		case answered:
			c.Answered++
			tokens += r.promptTokens
			_ = c.FirstToken.RecordValue(r.firstTokenAt.Sub(r.sentAt).Microseconds())
		case refused:
			c.Refused++
		default:
			c.Late++
		}
	}
	out.Goodput = float64(tokens) / runTime.Seconds()
	return out
}

// FirstTokenQuantile returns a percentile, from 0 to 100, of the time to first token of
// a class, in milliseconds.
func (r Result) FirstTokenQuantile(c router.LengthClass, percentile float64) float64 {
	return float64(r.Classes[c].FirstToken.ValueAtQuantile(percentile)) / 1000
}

// Window holds the counts and the goodput of the requests sent in one interval of a
// simulation.
type Window struct {
	// Start is the time from the start of the simulation to that of the interval.
	Start time.Duration
	// Sent is the number of requests; Answered, Refused and Late count them by outcome.
	// Late includes the requests that have no other outcome.
	Sent, Answered, Refused, Late int
	// Goodput is the rate of prompt tokens in requests answered in time, in tokens per
	// second.
	Goodput float64
}

// RunBurst measures how a policy recovers from overload: the load, as a fraction of the
// prefill rate of all engines together, is peak during the second minute and base
// otherwise. It returns a window for every half minute, including the first.
func RunBurst(d Deployment, o Options, base, peak float64, seed uint64) []Window {
	const (
		windowLength = 30 * time.Second
		peakStart    = time.Minute
		peakEnd      = 2 * time.Minute
		totalLength  = 6 * time.Minute
	)
	f := newFleet(d, o, seed)
	f.start()
	start := f.now
	for _, spec := range sampleRequests(d, base, totalLength, seed) {
		f.schedule(spec.arrivalOffset, func() { f.sendFirst(spec) })
	}
	for _, spec := range sampleRequests(d, peak-base, peakEnd-peakStart, seed+1) {
		f.schedule(peakStart+spec.arrivalOffset, func() { f.sendFirst(spec) })
	}
	f.advance(totalLength + coolDown)
	windows := make([]Window, totalLength/windowLength)
	for _, r := range f.requests {
		n := int(r.sentAt.Sub(start) / windowLength)
		if n >= len(windows) {
			continue
		}
		w := &windows[n]
		w.Start = time.Duration(n) * windowLength
		w.add(r, windowLength)
	}
	return windows
}

// add counts a request that was sent in the window.
func (w *Window) add(r *request, windowLength time.Duration) {
	w.Sent++
	switch r.outcome {
	case answered:
		w.Answered++
		w.Goodput += float64(r.promptTokens) / windowLength.Seconds()
	case refused:
		w.Refused++
	default:
		w.Late++
	}
}

// Print writes a result to w as a table with a title line.
func (r Result) Print(w io.Writer, title string) {
	_, _ = fmt.Fprintf(w, "%s goodput=%.0f tokens/s\n", title, r.Goodput)
	_, _ = fmt.Fprintf(w, "  %-9s %6s %8s %7s %5s %9s %9s %9s\n", "tokens", "sent", "answered", "refused", "late", "p50_ms", "p95_ms", "p99_ms")
	for _, c := range classes {
		t := r.Classes[c]
		_, _ = fmt.Fprintf(w, "  %-9s %6d %8d %7d %5d %9.0f %9.0f %9.0f\n", classNames[c], t.Sent, t.Answered, t.Refused, t.Late,
			r.FirstTokenQuantile(c, 50), r.FirstTokenQuantile(c, 95), r.FirstTokenQuantile(c, 99))
	}
}

// Policies lists the policies to compare, with their names: first simple baselines, then
// the product's policy with one more of its features in each step.
var Policies = []struct {
	Name    string
	Options Options
}{
	{"random", Options{Policy: router.RandomOrder}},
	{"round-robin", Options{Policy: router.RoundRobin}},
	{"fewest-own", Options{Policy: router.FewestOwn}},
	{"power-of-two", Options{Policy: router.PowerOfTwo}},
	{"predicted", Options{Policy: router.Predicted}},
	{"predicted+ask", Options{Policy: router.Predicted, AskKeepers: true}},
	{"predicted+ask+refuse", Options{Policy: router.Predicted, AskKeepers: true, RefusesLate: true}},
	{"predicted+ask+refuse+priority", Options{Policy: router.Predicted, AskKeepers: true, RefusesLate: true, SchedulesByPriority: true}},
	{"classes-2", Options{Policy: router.Predicted, AskKeepers: true, RefusesLate: true, SchedulesByPriority: true, QueuesByClass: true, PriorityLevels: 2}},
	{"classes-3", Options{Policy: router.Predicted, AskKeepers: true, RefusesLate: true, SchedulesByPriority: true, QueuesByClass: true, PriorityLevels: 3}},
	{"classes-4", Options{Policy: router.Predicted, AskKeepers: true, RefusesLate: true, SchedulesByPriority: true, QueuesByClass: true}},
	{"classes-4+pace", Options{Policy: router.Predicted, AskKeepers: true, RefusesLate: true, SchedulesByPriority: true, QueuesByClass: true, MeasuresTokenTime: true}},
}
