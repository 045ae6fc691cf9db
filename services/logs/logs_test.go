package logs

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
)

// Guards against queued lines that are lost when the process ends.
func TestStopWritesWaitingLines(t *testing.T) {
	is := is.New(t)
	recorder, logger := events.NewRecorder(nil)
	k := kernel.New(kernel.NewClock())
	s := New(logger)
	is.NoErr(k.Register(s))
	is.NoErr(k.Assemble())
	for range 200 {
		s.Log(events.DaemonStopped, events.F("vm", "v1"))
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(k.Run(ctx, time.Minute))
	is.Equal(recorder.Count(events.DaemonStopped), 200)
}

// Guards against lines that are dropped without a report.
func TestFullRingIsReported(t *testing.T) {
	is := is.New(t)
	recorder, logger := events.NewRecorder(nil)
	stepper := kernel.NewStepper(1)
	k := kernel.NewStepped(stepper)
	s := New(logger)
	is.NoErr(k.Register(s))
	is.NoErr(stepper.Add(k))
	for range ringCapacity + 7 {
		s.Log(events.DaemonStopped, events.F("vm", "v1"))
	}
	stepper.Advance(time.Second)
	is.Equal(recorder.Count(events.DaemonStopped), ringCapacity)
	is.Equal(recorder.Lines()[0].Event, events.LinesDropped)
	is.Equal(recorder.Lines()[0].Fields[0].Value, uint64(7))
}
