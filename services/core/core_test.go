package core

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/kernel"
)

// Guards against a panic when the planned leave is asked for again after it has ended, as by
// a second signal.
func TestSecondLeave(t *testing.T) {
	is := is.New(t)
	stepper := kernel.NewStepper(1)
	k := kernel.NewStepped(stepper)
	s := New(&noticeMachine{})
	for _, service := range []kernel.Service{output(UDPName), output(PeersName), s} {
		is.NoErr(k.Register(service))
	}
	is.NoErr(stepper.Add(k))
	for range 3 {
		is.NoErr(s.BeginLeave())
		stepper.Advance(2 * tickInterval)
	}
	is.NoErr(s.Stop(t.Context()))
}
