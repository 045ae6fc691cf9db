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

// noticeMachine is a machine that records a notice of every kind in each tick.
type noticeMachine struct{ notices notice.List }

func (*noticeMachine) Receive(time.Duration, message.Message) []message.Message { return nil }
func (*noticeMachine) Leave(time.Duration) []message.Message                    { return nil }
func (*noticeMachine) HasLeft() bool                                            { return true }
func (n *noticeMachine) TakeNotices(yield func(notice.Notice))                  { n.notices.Take(yield) }
func (n *noticeMachine) Tick(time.Duration) []message.Message {
	for kind := notice.TargetTakenOver; kind < notice.NumKinds; kind++ {
		n.notices.Add(notice.Notice{Kind: kind, Target: "a/t", VM: "vm2"})
	}
	return nil
}

// output is a fake of the services "udp" and "peers".
type output string

func (o output) Name() string                 { return string(o) }
func (output) Dependencies() []string         { return nil }
func (output) Setup(*kernel.Kernel) error     { return nil }
func (output) Connect(k *kernel.Kernel) error { return nil }
func (output) Send(message.Message)           {}

func runSteppedKernel(t *testing.T, extra ...kernel.Service) *noticeMachine {
	t.Helper()
	machine := &noticeMachine{}
	stepper := kernel.NewStepper(1)
	k := kernel.NewStepped(stepper)
	for _, s := range append(extra, output(UDPName), output(PeersName), New(machine)) {
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

// Guards against a kind of notice that has no event, or whose fields are not those that
// the event declares; the recorder panics in the latter case.
func TestEveryNoticeIsLogged(t *testing.T) {
	is := is.New(t)
	recorder, logger := events.NewRecorder(nil)
	runSteppedKernel(t, logs.New(logger))
	lines := recorder.Lines()
	is.Equal(len(lines), int(notice.NumKinds)-1)
	for i, line := range lines {
		is.Equal(line.Event, eventByKind[i+1])
		for _, f := range line.Fields {
			if f.Name != "error" { // not set in these notices
				is.True(f.Value != nil)
			}
		}
	}
}

// Guards against notices that accumulate in a machine if the kernel has no log.
func TestNoticesAreDiscardedWithoutLog(t *testing.T) {
	machine := runSteppedKernel(t)
	machine.notices.Take(func(notice.Notice) { t.Error("a notice was not discarded") })
}
