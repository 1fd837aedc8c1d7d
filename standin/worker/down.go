package worker

import "sync"

// DownSet is the set of the workers whose process has ended and has not been
// started again. Its zero value is an empty set, ready to use; it is safe for
// concurrent use.
type DownSet struct {
	// lock guards downIDs.
	lock    sync.Mutex
	downIDs map[string]bool
	// downCount counts the workers in the set, so that WaitAllUp can wait for 0.
	downCount sync.WaitGroup
}

// MarkDown adds a worker by its instance ID and returns true. It returns false if
// the worker is in the set already.
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
	d.downCount.Add(1)
	return true
}

// MarkUp removes a worker by its instance ID. The worker must be in the set.
func (d *DownSet) MarkUp(id string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	delete(d.downIDs, id)
	d.downCount.Done()
}

// WaitAllUp waits until the set is empty.
func (d *DownSet) WaitAllUp() { d.downCount.Wait() }
