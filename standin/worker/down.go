package worker

import "sync"

// DownSet is the workers that have ended and are not started again yet.
type DownSet struct {
	lock    sync.Mutex
	downIDs map[string]bool
	// restarts counts them.
	restarts sync.WaitGroup
}

// MarkDown notes that a worker has ended, and reports whether it was up.
func (d *DownSet) MarkDown(id string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.downIDs[id] {
		return false
	}
	if d.downIDs == nil {
		d.downIDs = map[string]bool{}
	}
	d.downIDs[id] = true
	d.restarts.Add(1)
	return true
}

// MarkUp notes that it is up again.
func (d *DownSet) MarkUp(id string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	delete(d.downIDs, id)
	d.restarts.Done()
}

// WaitAllUp waits until all are up.
func (d *DownSet) WaitAllUp() { d.restarts.Wait() }
