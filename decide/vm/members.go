package vm

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/notice"
	"github.com/gypsumspan/gypsumspan/decide/ownership"
)

// tickMembers runs the membership and follows its changes.
func (v *VM) tickMembers() {
	messages, event := v.members.Tick(v.now)
	v.emit(messages)
	if event.LeaveRequested {
		// The platform will take this VM away. It goes on answering until its
		// process is stopped.
		v.startLeave()
	}
	if event.Paused {
		v.pause()
		v.notices.Add(notice.Notice{Kind: notice.Paused, Gap: event.Gap})
	}
	v.followMembers()
}

// memberMessage passes a message to the membership and compares tables with the
// sender of a heartbeat.
func (v *VM) memberMessage(m message.Message) {
	v.emit(v.members.Receive(v.now, m))
	switch body := m.Body.(type) {
	case *message.Heartbeat:
		v.compareTables(body.Self.ID, body.TableVersion, body.TableHash)
	case *message.HeartbeatAck:
		v.compareTables(body.Self.ID, body.TableVersion, body.TableHash)
	}
	v.followMembers()
}

// leavingInterval is the time between two searches for leaving VMs that have
// died meanwhile. A VM that begins to leave is found at once.
const leavingInterval = time.Second

// followMembers updates the owners and the leaving VMs after a change of the
// live set.
func (v *VM) followMembers() {
	v.noteMembers()
	version := v.members.Version()
	if version == v.membersSeen && v.now < v.leavingDue {
		return
	}
	v.leavingDue = v.now + leavingInterval
	v.leavingVMs = v.leavingVMs[:0]
	for _, m := range v.members.Reachable() {
		if m.State == message.MemberLeaving && m.ID != v.config.Self.ID {
			v.leavingVMs = append(v.leavingVMs, m)
		}
	}
	if version == v.membersSeen {
		return
	}
	v.membersSeen = version
	v.owners.Update(v.now, v.members.Live())
	if seen := v.owners.Version(v.config.Self.Domain); seen != v.ownersSeen {
		v.ownersSeen = seen
		v.reconcile = min(v.reconcile, max(v.now, v.searched+searchInterval))
	}
}

// pause handles a pause of the whole VM: others may have taken over its targets,
// so it waits for their handovers before it dispatches again.
func (v *VM) pause() {
	v.started = v.now
	v.counters.Pauses++
	for _, t := range v.order {
		t.machine.Pause(v.now)
	}
}

// settled reports whether the VM has been live without a pause for long enough
// that earlier owners have heard of it.
func (v *VM) settled() bool {
	return v.now-v.started >= ownership.JoinWait
}

// ownerOf returns the owner of a target by this VM's view.
func (v *VM) ownerOf(target message.TargetID, domain message.DomainID) (message.VMID, bool) {
	return v.owners.Owner(v.now, target, domain)
}

// view returns what this VM believes about a target's ownership.
func (v *VM) view(t *target) ownership.View {
	owner, _ := v.ownerOf(t.id, t.row.DomainID)
	_, earlier := v.earlierLeaving(t)
	return ownership.View{
		Self:               v.config.Self.ID,
		Owner:              owner,
		Settled:            v.settled(),
		NoPreviousOwner:    v.alone(t),
		PredecessorLeaving: earlier,
		HasState:           len(t.epochs) > 0,
		ReceiverDead:       v.receiverDead(t),
	}
}

// alone reports whether no other VM can have owned the target before.
func (v *VM) alone(t *target) bool {
	if v.config.ExpectPeers && !v.settled() {
		return false
	}
	other := v.owners.HasOtherCandidate(t.row.DomainID, v.config.Self.ID)
	_, leaving := v.earlierLeaving(t)
	return !other && !leaving
}

// earlierLeaving returns a VM of the target's failure domain that is leaving and
// may still own the target.
func (v *VM) earlierLeaving(t *target) (message.VMID, bool) {
	for _, m := range v.leavingVMs {
		if m.Domain != t.row.DomainID {
			continue
		}
		if ownership.Before(t.id, m.ID, v.config.Self.ID) {
			return m.ID, true
		}
	}
	return 0, false
}

// receiverDead reports whether the receiver of a running handover is gone.
func (v *VM) receiverDead(t *target) bool {
	if t.machine.Phase() != ownership.Sending {
		return false
	}
	m, ok := v.members.Member(t.machine.Receiver())
	return !ok || m.State == message.MemberDead
}

const (
	// pullInterval bounds how often the VM asks neighbours for table entries.
	pullInterval = 200 * time.Millisecond
	// deltaBytes is the size from which a table delta is sent as its own message.
	deltaBytes = 64 << 10
	// answerBytes is the size from which an answer to a pull ends; the receiver
	// pulls the rest. A whole table of 160,000 targets has 19 MB and takes 0.6 s
	// to encode, in which the sender would neither answer heartbeats nor route.
	answerBytes = 2 << 20
)

// compareTables asks a neighbour for table entries that this VM does not have.
func (v *VM) compareTables(peer message.VMID, version, hash uint64) {
	mine := v.replica.Version()
	if version < mine || (version == mine && hash == v.replica.Hash()) {
		return
	}
	if v.tablePulled != 0 && v.now-v.tablePulled < pullInterval {
		return
	}
	v.tablePulled = v.now
	since := int64(mine)
	if version == mine {
		// Entries below the common version are missing on one side.
		since = 0
	}
	v.sendControl(peer, &message.TablePull{Since: since})
}

// tablePull answers with the entries in ascending order of revision, so that a
// receiver that gets only the first messages can ask for the rest. An answer ends
// only between two revisions, since the receiver asks by the last one it has.
func (v *VM) tablePull(from message.Address, m *message.TablePull) {
	delta := &message.TableDelta{}
	size, total := 0, 0
	last := m.Since
	v.replica.Since(m.Since, func(e message.TableEntry) bool {
		if total >= answerBytes && e.Revision != last {
			delta.More = true
			return false
		}
		last = e.Revision
		delta.Entries = append(delta.Entries, e)
		size += len(e.Key) + len(e.Value)
		if size >= deltaBytes {
			delta.More = true
			v.sendControl(from.VM, delta)
			delta = &message.TableDelta{}
			total += size
			size = 0
		}
		return true
	})
	if len(delta.Entries) > 0 {
		v.sendControl(from.VM, delta)
	}
}

// tableDelta merges table entries and tells the neighbours of a new version.
func (v *VM) tableDelta(m *message.TableDelta) {
	before := v.replica.Version()
	old := v.rowsOf(m)
	changed, rejected := v.replica.Merge(m.Entries)
	v.counters.TableRejected += uint64(len(rejected))
	v.noteRejected(rejected)
	for _, id := range changed {
		v.followService(id, old[id])
	}
	v.members.SetTable(v.replica.Version(), v.replica.Hash())
	if v.replica.Version() != before {
		if before == 0 {
			v.tableFirst = v.now
		}
		v.tableSince = v.now
		v.notices.Add(notice.Notice{Kind: notice.TableInForce, Revision: v.replica.Version()})
		v.members.RequestHeartbeats(v.now)
	}
}
