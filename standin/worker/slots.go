package worker

import (
	"net/http"
	"time"
)

// SetSlots limits the requests that the worker executes at the same time, and those that wait for a slot. It answers
// others 503 and states in X-Not-Executed that it did not execute them. It must be called before the first request.
func (w *Worker) SetSlots(slots, queue int) {
	w.slots, w.queueLength = make(chan struct{}, slots), slots+queue
}

// enter waits for a slot, and returns the function that frees it. It returns nil if the worker is full, or the client
// disconnects first.
func (w *Worker) enter(r *http.Request, id string) (leave func()) {
	if w.slots == nil {
		return func() {}
	}
	w.lock.Lock()
	isFull := w.admitted >= w.queueLength
	if isFull {
		w.refusals = append(w.refusals, Execution{RequestID: id, WorkerID: w.id, Fault: FaultFull, Began: time.Now(), Ended: time.Now(), Incarnation: w.restarts})
	} else {
		w.admitted++
	}
	w.lock.Unlock()
	if isFull {
		return nil
	}
	withdraw := func() {
		w.lock.Lock()
		w.admitted--
		w.lock.Unlock()
	}
	select {
	case w.slots <- struct{}{}:
		return func() { <-w.slots; withdraw() }
	case <-r.Context().Done():
		withdraw()
		return nil
	}
}
