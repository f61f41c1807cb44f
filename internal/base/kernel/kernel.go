// Package kernel runs the services of a process: it starts them in order of registration, lets them
// find each other by name, and drains and stops them in reverse order.
package kernel

import (
	"context"
	"fmt"
	"time"

	"github.com/samber/oops"
)

// Service is one component that the kernel starts, drains and stops.
type Service struct {
	// Name is the name that Find looks up.
	Name string
	// Value is the value that Find returns.
	Value any
	// Start starts the service. It returns a channel on which the service sends one value when it
	// ends: its error or nil. A service without goroutines returns a nil channel.
	Start func(ctx context.Context) (<-chan error, error)
	// Drain, if set, waits until the work in flight has ended or ctx is done. It runs before any
	// service is stopped.
	Drain func(ctx context.Context)
}

// Kernel runs services. The exported fields are set before Run.
type Kernel struct {
	// DrainLimit bounds the draining of all services together; zero means 30 s.
	DrainLimit time.Duration
	// StopLimit bounds the wait for each service to stop; zero means 5 s.
	StopLimit time.Duration
	// Ready, if set, is called once all services have started.
	Ready func()
	// Ended, if set, is called when a service ends before it is stopped, with its error or nil, and when a
	// service does not stop in time. It may be called from several goroutines at once.
	Ended func(service string, err error)

	services []Service
	running  []runningService
}

// runningService is a started service with what is needed to stop it.
type runningService struct {
	name   string
	drain  func(context.Context)
	ctx    context.Context
	cancel context.CancelFunc
	done   <-chan error
}

// Defaults for the limits of a Kernel.
const (
	defaultDrainLimit = 30 * time.Second
	defaultStopLimit  = 5 * time.Second
)

// Register adds services. They start in order of registration.
func (k *Kernel) Register(services ...Service) {
	k.services = append(k.services, services...)
}

// Find returns the value of the named service. It fails if no such service is registered.
func (k *Kernel) Find(name string) (any, error) {
	for _, s := range k.services {
		if s.Name == name {
			return s.Value, nil
		}
	}
	return nil, fmt.Errorf("service %q is not registered", name)
}

// Run starts the services and waits until ctx is done or a service fails. Then it drains and stops them
// in reverse order. It returns the error of the service that failed first, or else the first error
// from stopping.
func (k *Kernel) Run(ctx context.Context) error {
	failures := make(chan error, len(k.services))
	err := k.start(failures)
	if err == nil {
		if k.Ready != nil {
			k.Ready()
		}
		select {
		case <-ctx.Done():
		case err = <-failures:
		}
	}
	stopErr := k.stop()
	if err != nil {
		return err
	}
	return stopErr
}

func (k *Kernel) start(failures chan<- error) error {
	for _, s := range k.services {
		ctx, cancel := context.WithCancel(context.Background())
		done, err := s.Start(ctx)
		if err != nil {
			cancel()
			return oops.In("kernel").Wrapf(err, "start service %s", s.Name)
		}
		serviceEnd := make(chan error, 1)
		r := runningService{s.Name, s.Drain, ctx, cancel, serviceEnd}
		k.running = append(k.running, r)
		go k.supervise(r, done, serviceEnd, failures)
	}
	return nil
}

// supervise waits for a service to end and passes its result to stop, and an error also to Run.
func (k *Kernel) supervise(r runningService, done <-chan error, serviceEnd, failures chan<- error) {
	if done == nil {
		serviceEnd <- nil
		return
	}
	err := <-done
	if r.ctx.Err() == nil {
		k.reportEnd(r.name, err)
	}
	serviceEnd <- err
	if err != nil {
		failures <- oops.In("kernel").Wrapf(err, "service %s ended", r.name)
	}
}

func (k *Kernel) reportEnd(service string, err error) {
	if k.Ended != nil {
		k.Ended(service, err)
	}
}

func (k *Kernel) stop() error {
	k.drain()
	limit := k.StopLimit
	if limit == 0 {
		limit = defaultStopLimit
	}
	var first error
	for i := len(k.running) - 1; i >= 0; i-- {
		r := k.running[i]
		r.cancel()
		select {
		case err := <-r.done:
			if err != nil && first == nil {
				first = err
			}
		case <-time.After(limit):
			err := fmt.Errorf("service %s did not stop within %s", r.name, limit)
			k.reportEnd(r.name, err)
			if first == nil {
				first = err
			}
		}
	}
	return first
}

func (k *Kernel) drain() {
	limit := k.DrainLimit
	if limit == 0 {
		limit = defaultDrainLimit
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for i := len(k.running) - 1; i >= 0; i-- {
		if k.running[i].drain != nil {
			k.running[i].drain(ctx)
		}
	}
}
