package ownership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

const (
	self   message.VMID = 1
	other  message.VMID = 2
	third  message.VMID = 3
	noOne  message.VMID = 0
	second              = time.Second
)

// step is one step of a machine with the expected action and phase.
type step struct {
	at     time.Duration
	view   View
	event  func(m *Machine, now time.Duration)
	action Action
	phase  Phase
}

func settled(owner message.VMID) View {
	return View{Self: self, Owner: owner, Settled: true}
}

// Guards against two owners that accept the same epochs, against a target without an
// owner, and against takeovers that interrupt a handover in progress.
func TestPhases(t *testing.T) {
	confirm := func(m *Machine, now time.Duration) { m.Confirmed(now) }
	receive := func(m *Machine, now time.Duration) { m.Received(now, other) }
	sent := func(m *Machine, _ time.Duration) { m.LastChunkSent() }
	pause := func(m *Machine, now time.Duration) { m.Pause(now) }
	cases := []struct {
		name  string
		steps []step
	}{
		{"a settled VM takes over at once", []step{
			{at: 0, view: settled(self), action: Activate, phase: Active},
		}},
		{"a VM that just started waits for a handover", []step{
			{at: 0, view: View{Self: self, Owner: self}, phase: Waiting},
			{at: JoinWait - 1, view: View{Self: self, Owner: self}, phase: Waiting},
			{at: JoinWait, view: settled(self), action: Activate, phase: Active},
		}},
		{"a VM that is alone does not wait", []step{
			{at: 0, view: View{Self: self, Owner: self, NoPreviousOwner: true}, action: Activate, phase: Active},
		}},
		{"a wait that began late ends when the VM is settled", []step{
			{at: 0, view: View{Self: self, Owner: other}, phase: Idle},
			{at: JoinWait - 1, view: View{Self: self, Owner: self}, phase: Waiting},
			{at: JoinWait, view: settled(self), action: Activate, phase: Active},
		}},
		{"the successor of a leaving VM waits longer", []step{
			{at: 0, view: View{Self: self, Owner: self, Settled: true, PredecessorLeaving: true}, phase: Waiting},
			{at: JoinWait, view: View{Self: self, Owner: self, Settled: true, PredecessorLeaving: true}, phase: Waiting},
			{at: LeaveWait, view: View{Self: self, Owner: self, Settled: true, PredecessorLeaving: true}, action: Activate, phase: Active},
		}},
		{"the successor takes over when the leaving VM is gone", []step{
			{at: 0, view: View{Self: self, Owner: self, Settled: true, PredecessorLeaving: true}, phase: Waiting},
			{at: JoinWait, view: settled(self), action: Activate, phase: Active},
		}},
		{"a handover ends the wait", []step{
			{at: 0, view: View{Self: self, Owner: self}, phase: Waiting},
			{at: second, event: receive, view: View{Self: self, Owner: self}, phase: Active},
		}},
		{"an ownership is not handed back at once", []step{
			{at: 0, event: receive, view: settled(other), phase: Active},
			{at: ReturnWait - 1, view: settled(other), phase: Active},
			{at: ReturnWait, view: settled(other), action: Send, phase: Sending},
		}},
		{"an ownership is handed on to a third VM at once", []step{
			{at: 0, event: receive, view: settled(third), action: Send, phase: Sending},
		}},
		{"a waiting VM that is no longer the designated owner drops the target", []step{
			{at: 0, view: View{Self: self, Owner: self}, phase: Waiting},
			{at: second, view: View{Self: self, Owner: other}, action: Drop, phase: Idle},
		}},
		{"a VM that ranks higher gets a handover", []step{
			{at: 0, view: settled(self), action: Activate, phase: Active},
			{at: second, view: settled(other), action: Send, phase: Sending},
			{at: second, event: sent, view: settled(other), phase: Sending},
			{at: second + ResendInterval, view: settled(other), action: Resend, phase: Sending},
			{at: 2 * second, event: confirm, view: settled(other), phase: Idle},
		}},
		{"without a designated owner the active owner continues", []step{
			{at: 0, view: settled(self), action: Activate, phase: Active},
			{at: second, view: settled(noOne), phase: Active},
		}},
		{"a receiver that died after the last chunk may have accepted", []step{
			{at: 0, view: settled(self), action: Activate, phase: Active},
			{at: second, view: settled(other), action: Send, phase: Sending},
			{at: second, event: sent, view: View{Self: self, Owner: self, ReceiverDead: true}, action: Revoke, phase: Active},
		}},
		{"a receiver that died before the last chunk can't have accepted", []step{
			{at: 0, view: settled(self), action: Activate, phase: Active},
			{at: second, view: settled(other), action: Send, phase: Sending},
			{at: 2 * second, view: View{Self: self, Owner: self, ReceiverDead: true}, phase: Active},
		}},
		{"the owner changes again during a handover", []step{
			{at: 0, view: settled(self), action: Activate, phase: Active},
			{at: second, view: settled(other), action: Send, phase: Sending},
			{at: 2 * second, view: settled(third), action: Send, phase: Sending},
		}},
		{"the owner changes after the last chunk: the receiver still confirms", []step{
			{at: 0, view: settled(self), action: Activate, phase: Active},
			{at: second, view: settled(other), action: Send, phase: Sending},
			{at: second, event: sent, view: settled(third), phase: Sending},
			{at: 2 * second, event: confirm, view: settled(third), phase: Idle},
		}},
		{"a handover without confirmation ends in a new epoch", []step{
			{at: 0, view: settled(self), action: Activate, phase: Active},
			{at: second, view: settled(other), action: Send, phase: Sending},
			{at: second + TransferTimeout, event: sent, view: settled(other), action: Revoke, phase: Active},
		}},
		{"a paused owner waits, then continues with its state", []step{
			{at: 0, view: settled(self), action: Activate, phase: Active},
			{at: second, event: pause, view: View{Self: self, Owner: self, HasState: true}, phase: Waiting},
			{at: second + JoinWait, view: settled(self), action: Activate, phase: Active},
		}},
		{"a paused owner hands its state to the VM that is the designated owner now", []step{
			{at: 0, view: settled(self), action: Activate, phase: Active},
			{at: second, event: pause, view: View{Self: self, Owner: other, HasState: true}, action: Send, phase: Sending},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var m Machine
			for _, s := range c.steps {
				if s.event != nil {
					s.event(&m, s.at)
				}
				is.Equal(m.Step(s.at, s.view), s.action)
				is.Equal(m.Phase(), s.phase)
			}
		})
	}
}
