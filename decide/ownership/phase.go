package ownership

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// Times of taking over and handing over.
const (
	// JoinWait is how long a VM that just started, or resumed after a pause,
	// waits for a handover before it takes over by itself. It covers the gossip
	// of its arrival and the start of a handover.
	JoinWait = 3 * time.Second
	// LeaveWait is how long a VM waits for the handover of an owner that is
	// leaving but still answers.
	LeaveWait = 10 * time.Second
	// ResendInterval is the time between two tries of the same handover.
	ResendInterval = time.Second
	// ReturnWait is how long a VM keeps an ownership before it hands it back to the
	// VM that it came from. Two VMs whose views differ, because one is leaving,
	// would otherwise pass a target back and forth every few milliseconds. The
	// other VM may hold requests meanwhile: with 1 s, calls missed their deadline.
	ReturnWait = 200 * time.Millisecond
	// TransferTimeout is how long a VM tries to transfer state to one receiver.
	TransferTimeout = 10 * time.Second
)

// Phase is the state of one target's ownership at one VM.
type Phase uint8

// The phases.
const (
	// Idle: the VM does not own the target.
	Idle Phase = iota
	// Waiting: the VM is the owner by order, but an earlier owner may hand over.
	Waiting
	// Active: the VM owns the target.
	Active
	// Sending: the VM hands the ownership over and dispatches nothing.
	Sending
)

// String returns the phase's name as it appears in explanations.
func (p Phase) String() string {
	return [...]string{"idle", "waiting", "active", "sending"}[p]
}

// View is what a VM believes about one target at one moment.
type View struct {
	Self  message.VMID
	Owner message.VMID // the owner by order; 0 if no VM may own the target now
	// Settled: the VM has been live without a pause for JoinWait.
	Settled bool
	// NoPreviousOwner: no other VM can have owned the target before.
	NoPreviousOwner bool
	// PredecessorLeaving: a VM that is leaving, and still answers, comes before
	// Self in the order of the target.
	PredecessorLeaving bool
	// HasState: the VM has state of an earlier ownership of its own.
	HasState bool
	// ReceiverDead: the VM that a handover is sent to is no longer reachable.
	ReceiverDead bool
}

// Action is what the VM must do after a step.
type Action uint8

// The actions.
const (
	// None: nothing to do.
	None Action = iota
	// Activate: take the ownership. State that the VM kept stays valid; without
	// kept state it needs a new epoch.
	Activate
	// Send: send the whole state to Machine.Receiver, as a new transfer.
	Send
	// Resend: send the same transfer again.
	Resend
	// Revoke: the receiver may have accepted the transfer without confirming.
	// Give up all epochs, then go on with a new one.
	Revoke
	// Drop: forget the state; another VM owns the target.
	Drop
)

// Machine is the state machine of one target's ownership at one VM. The zero
// value is Idle.
type Machine struct {
	phase    Phase
	since    time.Duration
	resend   time.Duration
	receiver message.VMID
	complete bool         // the last chunk of the transfer was sent
	sender   message.VMID // VM that the ownership came from, in phase Active
}

// Phase returns the current phase.
func (m *Machine) Phase() Phase {
	return m.phase
}

// Receiver returns the VM that a handover is sent to, in phase Sending.
func (m *Machine) Receiver() message.VMID {
	return m.receiver
}

func (m *Machine) enter(now time.Duration, p Phase) {
	m.phase = p
	m.since = now
}

// Step applies the view of this moment and returns what to do.
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

// stopWaiting ends the wait of a VM that is not the owner by order any more.
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
	m.complete = false
	m.resend = now + ResendInterval
	return Send
}

func (m *Machine) stepSending(now time.Duration, v View) Action {
	lost := v.ReceiverDead || now-m.since >= TransferTimeout
	switch {
	case m.receiver == v.Owner && !lost:
		if now < m.resend {
			return None
		}
		m.resend = now + ResendInterval
		return Resend
	case m.complete && !lost:
		// The owner by order has changed, but the receiver may still confirm and
		// will then hand over itself.
		return None
	case m.complete:
		m.enter(now, Active)
		return Revoke
	case v.Owner == v.Self || v.Owner == 0:
		m.enter(now, Active)
		return None
	default:
		return m.send(now, v.Owner)
	}
}

// Pause stops an active ownership after the VM was paused: another VM may have
// taken over and will then hand over. The state stays.
func (m *Machine) Pause(now time.Duration) {
	if m.phase == Active {
		m.enter(now, Waiting)
	}
}

// LastChunkSent records that the last chunk of the transfer was sent.
func (m *Machine) LastChunkSent() {
	m.complete = true
}

// Confirmed notes that the receiver has accepted the whole transfer. It reports
// whether the VM has thereby given up the ownership.
func (m *Machine) Confirmed(now time.Duration) bool {
	if m.phase != Sending {
		return false
	}
	m.enter(now, Idle)
	return true
}

// Received notes that a whole handover was merged into the VM's state. It
// reports whether the VM has become the owner by it.
func (m *Machine) Received(now time.Duration, sender message.VMID) bool {
	if m.phase == Active || m.phase == Sending {
		return false
	}
	m.enter(now, Active)
	m.sender = sender
	return true
}
