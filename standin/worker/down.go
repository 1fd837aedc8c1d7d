package worker

import "sync"

// Down is the workers that have ended and are not started again yet.
type Down struct {
	lock sync.Mutex
	ids  map[string]bool
	// pending counts them.
	pending sync.WaitGroup
}

// Begin notes that a worker has ended, and reports whether it was up.
func (d *Down) Begin(id string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.ids[id] {
		return false
	}
	if d.ids == nil {
		d.ids = map[string]bool{}
	}
	d.ids[id] = true
	d.pending.Add(1)
	return true
}

// End notes that it is up again.
func (d *Down) End(id string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	delete(d.ids, id)
	d.pending.Done()
}

// Await waits until all are up.
func (d *Down) Await() { d.pending.Wait() }
