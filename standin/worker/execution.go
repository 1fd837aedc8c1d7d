package worker

import (
	"iter"
	"slices"
	"time"
)

// Execution is the record of one request that a worker began to execute, or that it
// refused because of FaultFull or FaultBackoff. The record of a refusal has only
// RequestID, WorkerID, Fault, Incarnation, Began and Ended.
type Execution struct {
	// RequestID is the value of X-Attempt-Id, which is the same in all attempts
	// at a request.
	RequestID string
	// Organisation is the value of X-Tenant.
	Organisation string
	// Path is the path of the request with its query.
	Path string
	// LastEventID is the value of Last-Event-Id: the ID of the event after which
	// a stream is resumed; empty for a new stream.
	LastEventID string
	// Helpers is the value of X-Helpers: the addresses of the other engines that
	// hold memory for the request, each with the ticket of its reservation.
	Helpers string
	// Priority is the value of X-Request-Priority.
	Priority string
	// Body is the body of the request.
	Body string
	// Remaining is the time left until the deadline when the request arrived,
	// from X-Deadline-Ms; 0 without that header.
	Remaining time.Duration
	// WorkerID is the worker's instance ID.
	WorkerID string
	// Fault is the fault that the worker had when the request arrived.
	Fault Fault
	// Incarnation is the number of the worker's restarts before the execution.
	Incarnation int
	// Crashed is true if the request crashed the worker's incarnation.
	Crashed bool
	// Began is the time at which the worker began to execute the request or refused
	// it. Ended is the time at which the execution ended; zero while it is in
	// progress.
	Began, Ended time.Time
}

// ExecutionsOf returns the executions of the request with the given ID at all of
// the workers, earliest start first.
func ExecutionsOf(workers iter.Seq[*Worker], id string) []Execution {
	return recordsOf(workers, id, func(w *Worker) []Execution { return w.executions })
}

// RefusalsOf returns the refusals of the request with the given ID because of
// FaultFull or FaultBackoff at all of the workers, earliest first.
func RefusalsOf(workers iter.Seq[*Worker], id string) []Execution {
	return recordsOf(workers, id, func(w *Worker) []Execution { return w.refusals })
}

// recordsOf returns those of the workers' records that have the given request ID,
// earliest first. The function records is called with the worker's lock held.
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

// ExecutionCount returns how many times the workers began to execute the request
// with the given ID.
func ExecutionCount(workers iter.Seq[*Worker], id string) int { return len(ExecutionsOf(workers, id)) }
