package core

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/notice"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/logs"
)

// noting is a machine whose ticks leave one notice of every kind.
type noting struct{ list notice.List }

func (*noting) Receive(time.Duration, message.Message) []message.Message { return nil }
func (*noting) Leave(time.Duration) []message.Message                    { return nil }
func (*noting) HasLeft() bool                                            { return true }
func (n *noting) TakeNotices(yield func(notice.Notice))                  { n.list.Take(yield) }
func (n *noting) Tick(time.Duration) []message.Message {
	for kind := notice.TargetTakenOver; kind < notice.NumKinds; kind++ {
		n.list.Add(notice.Notice{Kind: kind, Target: "a/t", VM: "vm2"})
	}
	return nil
}

// output is a stand-in for "udp" and "peers".
type output string

func (o output) Name() string                 { return string(o) }
func (output) Needs() []string                { return nil }
func (output) Setup(*kernel.Kernel) error     { return nil }
func (output) Connect(k *kernel.Kernel) error { return nil }
func (output) Send(message.Message)           {}

func advance(t *testing.T, further ...kernel.Service) *noting {
	t.Helper()
	machine := &noting{}
	stepper := kernel.NewStepper(1)
	k := kernel.NewStepped(stepper)
	for _, s := range append(further, output(UDPName), output(PeersName), New(machine)) {
		if err := k.Register(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := stepper.Add(k); err != nil {
		t.Fatal(err)
	}
	stepper.Advance(tickInterval / 2)
	return machine
}

// Guards against notices without an event, or with fields that the event does not
// declare: the recorder panics for those.
func TestEveryNoticeIsLogged(t *testing.T) {
	is := is.New(t)
	recorder, logger := events.NewRecorder(nil)
	advance(t, logs.New(logger))
	lines := recorder.Lines()
	is.Equal(len(lines), int(notice.NumKinds)-1)
	for i, line := range lines {
		is.Equal(line.Event, eventOf[i+1])
		for _, f := range line.Fields {
			if f.Name != "error" { // the notices have none
				is.True(f.Value != nil)
			}
		}
	}
}

// Guards against a fleet without a log that keeps every notice.
func TestNoticesAreDiscardedWithoutLog(t *testing.T) {
	machine := advance(t)
	machine.list.Take(func(notice.Notice) { t.Error("a notice was kept") })
}
