package kernel_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/kernel"
)

// eventLog records the starts and drains of services, in order.
type eventLog struct{ events []string }

func (l *eventLog) service(name string, end <-chan error, startErr error) kernel.Service {
	return kernel.Service{
		Name: name, Value: name + "'s value",
		Start: func(ctx context.Context) (<-chan error, error) {
			l.events = append(l.events, "start "+name)
			if startErr != nil {
				return nil, startErr
			}
			done := make(chan error, 1)
			go func() {
				select {
				case <-ctx.Done():
					done <- nil
				case err := <-end:
					done <- err
				}
			}()
			return done, nil
		},
		Drain: func(context.Context) { l.events = append(l.events, "drain "+name) },
	}
}

func TestKernel(t *testing.T) {
	Convey("Services start in order and drain in reverse order, and Find returns their values", t, func() {
		l := &eventLog{}
		ctx, cancel := context.WithCancel(t.Context())
		k := &kernel.Kernel{Ready: cancel}
		k.Register(l.service("a", nil, nil), l.service("b", nil, nil))
		So(k.Run(ctx), ShouldBeNil)
		So(l.events, ShouldResemble, []string{"start a", "start b", "drain b", "drain a"})
		v, err := k.Find("b")
		So(err, ShouldBeNil)
		So(v, ShouldEqual, "b's value")
		_, err = k.Find("c")
		So(err, ShouldNotBeNil)
	})
	Convey("If a service fails, the others stop and its error is returned", t, func() {
		l := &eventLog{}
		end := make(chan error, 1)
		end <- errors.New("disk is full")
		ended := make(chan string, 2)
		k := &kernel.Kernel{Ended: func(service string, err error) { ended <- service + ": " + err.Error() }}
		k.Register(l.service("a", nil, nil), l.service("b", end, nil))
		err := k.Run(t.Context())
		So(err, ShouldNotBeNil)
		So(<-ended, ShouldEqual, "b: disk is full")
		So(ended, ShouldBeEmpty)
		So(err.Error(), ShouldContainSubstring, "disk is full")
	})
	Convey("If a service does not start, those before it stop", t, func() {
		l := &eventLog{}
		k := &kernel.Kernel{}
		k.Register(l.service("a", nil, nil), l.service("b", nil, errors.New("address in use")), l.service("c", nil, nil))
		So(k.Run(t.Context()).Error(), ShouldContainSubstring, "address in use")
		So(l.events, ShouldResemble, []string{"start a", "start b", "drain a"})
	})
	Convey("A service that does not stop is reported", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan string, 1)
		k := &kernel.Kernel{StopLimit: 10 * time.Millisecond, Ready: cancel, Ended: func(service string, _ error) { ended <- service }}
		k.Register(kernel.Service{Name: "stuck", Start: func(context.Context) (<-chan error, error) { return make(chan error), nil }})
		So(k.Run(ctx).Error(), ShouldContainSubstring, "stuck")
		So(<-ended, ShouldEqual, "stuck")
	})
}
