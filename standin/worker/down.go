package worker

import "sync"

// DownSet is the workers that have ended and are not started again yet.
type DownSet struct {
	lock sync.Mutex
	ids  map[string]bool
	// pending counts them.
	pending sync.WaitGroup
}

// MarkDown notes that a worker has ended, and reports whether it was up.
func (d *DownSet) MarkDown(id string) bool {
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

// MarkUp notes that it is up again.
func (d *DownSet) MarkUp(id string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	delete(d.ids, id)
	d.pending.Done()
}

// WaitAllUp waits until all are up.
func (d *DownSet) WaitAllUp() { d.pending.Wait() }
