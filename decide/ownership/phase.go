package ownership

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// Times of takeover and handover.
const (
	// JoinWait is how long a VM that just started, or resumed after a pause, waits
	// for a handover before it takes over without one. It covers the gossip of its
	// join and the start of a handover.
	JoinWait = 3 * time.Second
	// LeaveWait is how long a VM waits for the handover from an owner that is
	// leaving but still responds.
	LeaveWait = 10 * time.Second
	// ResendInterval is the time between two transmissions of the same transfer.
	ResendInterval = time.Second
	// ReturnWait is how long a VM keeps an ownership before it hands it back to the
	// VM that it was received from. Otherwise two VMs whose views differ, because one
	// is leaving, would hand a target back and forth every few milliseconds. The
	// other VM may buffer requests meanwhile: with 1 s, calls missed their deadline.
	ReturnWait = 200 * time.Millisecond
	// TransferTimeout is how long a VM retries a transfer of state to one receiver.
	TransferTimeout = 10 * time.Second
)

// Phase is the state of one target's ownership at one VM.
type Phase uint8

// The phases.
const (
	// Idle: the VM does not own the target.
	Idle Phase = iota
	// Waiting: the VM is the designated owner, but a previous owner may hand over.
	Waiting
	// Active: the VM owns the target.
	Active
	// Sending: the VM is handing the ownership over and dispatches nothing.
	Sending
)

// String returns the phase's name as it appears in explanations.
func (p Phase) String() string {
	return [...]string{"idle", "waiting", "active", "sending"}[p]
}

// View is a VM's view of one target at one time.
type View struct {
	Self  message.VMID
	Owner message.VMID // the designated owner, see Owners; 0 if no VM may own the target now
	// Settled: the VM has been live without a pause for JoinWait.
	Settled bool
	// NoPreviousOwner: no other VM can have owned the target before.
	NoPreviousOwner bool
	// PredecessorLeaving: a VM of the target's failure domain that is leaving, but
	// still responds, ranks before Self in the rendezvous order of the target.
	PredecessorLeaving bool
	// HasState: the VM still has the state of its own previous ownership.
	HasState bool
	// ReceiverDead: the receiver of the current handover is no longer reachable.
	ReceiverDead bool
}

// Action is what the VM must do after a step.
type Action uint8

// The actions.
const (
	// None: nothing to do.
	None Action = iota
	// Activate: assume the ownership. State of a previous ownership stays valid;
	// without state a new epoch is needed.
	Activate
	// Send: start a new transfer of the whole state to Machine.Receiver.
	Send
	// Resend: retransmit the current transfer.
	Resend
	// Revoke: the receiver may have accepted the transfer without confirming it.
	// Abandon all epochs and continue with a new one.
	Revoke
	// Drop: discard the state; another VM owns the target.
	Drop
)

// Machine is the state machine of one target's ownership at one VM. The zero
// value is Idle.
type Machine struct {
	phase         Phase
	since         time.Duration // time at which the phase began
	resendAt      time.Duration // time of the next transmission, in phase Sending
	receiver      message.VMID
	lastChunkSent bool         // see LastChunkSent
	sender        message.VMID // VM of the last handover that was received; 0 if there was none
}

// Phase returns the current phase.
func (m *Machine) Phase() Phase {
	return m.phase
}

// Receiver returns the receiver of the current transfer, in phase Sending.
func (m *Machine) Receiver() message.VMID {
	return m.receiver
}

func (m *Machine) enter(now time.Duration, p Phase) {
	m.phase = p
	m.since = now
}

// Step applies the view at now and returns the action to take.
func (m *Machine) Step(now time.Duration, v View) Action {
	switch m.phase {
	case Idle:
		return m.stepIdle(now, v)
	case Waiting:
		return m.stepWaiting(now, v)
	case Active:
		return m.stepActive(now, v)
	default:
		return m.stepSending(now, v)
	}
}

func (m *Machine) stepIdle(now time.Duration, v View) Action {
	if v.Owner != v.Self {
		return None
	}
	if v.NoPreviousOwner || (v.Settled && !v.PredecessorLeaving) {
		m.enter(now, Active)
		return Activate
	}
	m.enter(now, Waiting)
	return None
}

func (m *Machine) stepWaiting(now time.Duration, v View) Action {
	if v.Owner != v.Self {
		return m.stopWaiting(now, v)
	}
	waited := now - m.since
	ready := v.NoPreviousOwner || waited >= LeaveWait || (!v.PredecessorLeaving && v.Settled)
	if !ready {
		return None
	}
	m.enter(now, Active)
	return Activate
}

// stopWaiting ends the wait of a VM that is no longer the designated owner.
func (m *Machine) stopWaiting(now time.Duration, v View) Action {
	if v.HasState && v.Owner != 0 {
		return m.send(now, v.Owner)
	}
	if v.HasState {
		return None
	}
	m.enter(now, Idle)
	return Drop
}

func (m *Machine) stepActive(now time.Duration, v View) Action {
	if v.Owner == v.Self || v.Owner == 0 {
		return None
	}
	if v.Owner == m.sender && now-m.since < ReturnWait {
		return None
	}
	return m.send(now, v.Owner)
}

func (m *Machine) send(now time.Duration, to message.VMID) Action {
	m.enter(now, Sending)
	m.receiver = to
	m.lastChunkSent = false
	m.resendAt = now + ResendInterval
	return Send
}

func (m *Machine) stepSending(now time.Duration, v View) Action {
	failed := v.ReceiverDead || now-m.since >= TransferTimeout
	switch {
	case m.receiver == v.Owner && !failed:
		if now < m.resendAt {
			return None
		}
		m.resendAt = now + ResendInterval
		return Resend
	case m.lastChunkSent && !failed:
		// The designated owner has changed, but the receiver may still confirm and
		// then hands over itself.
		return None
	case m.lastChunkSent:
		m.enter(now, Active)
		return Revoke
	case v.Owner == v.Self || v.Owner == 0:
		m.enter(now, Active)
		return None
	default:
		return m.send(now, v.Owner)
	}
}

// Pause suspends an active ownership after the VM was paused: another VM may have
// taken over and then hands over. The state is kept.
func (m *Machine) Pause(now time.Duration) {
	if m.phase == Active {
		m.enter(now, Waiting)
	}
}

// LastChunkSent records that the last chunk of the transfer was sent. From then on the
// receiver may have accepted the transfer.
func (m *Machine) LastChunkSent() {
	m.lastChunkSent = true
}

// Confirmed records that the receiver has accepted the whole transfer. It reports
// whether the VM has thereby released the ownership.
func (m *Machine) Confirmed(now time.Duration) bool {
	if m.phase != Sending {
		return false
	}
	m.enter(now, Idle)
	return true
}

// Received records that a complete handover was merged into the VM's state. It
// reports whether the VM has thereby become the owner.
func (m *Machine) Received(now time.Duration, sender message.VMID) bool {
	if m.phase == Active || m.phase == Sending {
		return false
	}
	m.enter(now, Active)
	m.sender = sender
	return true
}
