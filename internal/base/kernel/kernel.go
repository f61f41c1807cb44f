// Package kernel provides the micro-kernel: services that find each other by name,
// start in order and stop in reverse.
package kernel

import (
	"context"
	"fmt"
	"time"

	"github.com/samber/oops"
)

// Service is one unit that the kernel starts, drains and stops.
type Service struct {
	// Name is what other services find it by.
	Name string
	// Value is what Find returns.
	Value any
	// Start readies the service and returns the channel on which its end is reported.
	// A service without goroutines returns a nil channel.
	Start func(ctx context.Context) (<-chan error, error)
	// Drain, where set, lets the work in flight end before the service is stopped.
	Drain func(ctx context.Context)
}

// Kernel runs services. The exported fields are set before Run.
type Kernel struct {
	// DrainLimit bounds the draining of all services together.
	DrainLimit time.Duration
	// StopLimit bounds the wait for the end of one service.
	StopLimit time.Duration
	// Ready, where set, is called once every service has started.
	Ready func()

	services []Service
	running  []runningService
}

type runningService struct {
	name   string
	drain  func(context.Context)
	cancel context.CancelFunc
	done   <-chan error
}

// Default limits of a kernel whose fields are zero.
const (
	defaultDrainLimit = 30 * time.Second
	defaultStopLimit  = 5 * time.Second
)

// Register adds services; they start in the order of registration.
func (k *Kernel) Register(services ...Service) {
	k.services = append(k.services, services...)
}

// Find returns the value of the named service, or an error that names it.
func (k *Kernel) Find(name string) (any, error) {
	for _, s := range k.services {
		if s.Name == name {
			return s.Value, nil
		}
	}
	return nil, fmt.Errorf("service %q is not registered", name)
}

// Run starts the services, waits until ctx ends or a service does, then drains and stops
// them in reverse. It returns the first error that a service reported.
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
		k.running = append(k.running, runningService{s.Name, s.Drain, cancel, serviceEnd})
		go supervise(s.Name, done, serviceEnd, failures)
	}
	return nil
}

// supervise passes the end of a service to the stopping side and to the kernel.
func supervise(name string, done <-chan error, serviceEnd, failures chan<- error) {
	if done == nil {
		serviceEnd <- nil
		return
	}
	err := <-done
	serviceEnd <- err
	if err != nil {
		failures <- oops.In("kernel").Wrapf(err, "service %s ended", name)
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
			if first == nil {
				first = fmt.Errorf("service %s did not stop within %s", r.name, limit)
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
