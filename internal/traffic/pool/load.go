package pool

import "time"

// AdmissionLoad is the load of an instance as its admission queue sees it.
type AdmissionLoad struct {
	// Running and Waiting are the numbers of requests that were admitted and that wait.
	Running, Waiting int
	// Service is the time that a request occupies a slot, and DatabaseService that of the requests of one
	// database, as queue.Queue.CurrentServiceTime and CallerServiceTime tell them.
	Service, DatabaseService time.Duration
}

// AdmissionLoad returns the present load for a request of a database. It returns false if admission control
// is off, as this host then doesn't see the instance's load.
func (p *Pool) AdmissionLoad(database string) (AdmissionLoad, bool) {
	a := p.admissionControl()
	if a == nil {
		return AdmissionLoad{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now, load := a.now(), a.queue.Load()
	running := min(load, a.queue.Slots)
	return AdmissionLoad{running, load - running, a.queue.CurrentServiceTime(now), a.queue.CallerServiceTime(now, database)}, true
}

// Busy reports whether admission control is on and all slots of the instance are in use, so that another
// request would wait.
func (p *Pool) Busy() bool {
	load, ok := p.AdmissionLoad("")
	return ok && load.Running+load.Waiting >= p.Slots
}
