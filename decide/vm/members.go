package vm

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/notice"
	"github.com/gypsumspan/gypsumspan/decide/ownership"
)

// tickMembers runs the membership protocol and applies its changes.
func (v *VM) tickMembers() {
	messages, event := v.members.Tick(v.now)
	v.emit(messages)
	if event.LeaveRequested {
		// The platform is about to remove this VM. It still serves until its process is
		// stopped.
		v.startLeave()
	}
	if event.Paused {
		v.handlePause()
		v.notices.Add(notice.Notice{Kind: notice.VMPaused, Duration: event.Gap})
	}
	v.applyMemberChanges()
}

// handleMemberMessage passes a message to the membership protocol and compares table
// versions with the sender of a heartbeat.
func (v *VM) handleMemberMessage(m message.Message) {
	v.emit(v.members.Receive(v.now, m))
	switch body := m.Body.(type) {
	case *message.Heartbeat:
		v.compareTables(body.Self.ID, body.TableVersion, body.TableHash)
	case *message.HeartbeatAck:
		v.compareTables(body.Self.ID, body.TableVersion, body.TableHash)
	}
	v.applyMemberChanges()
}

// leavingCheckInterval is the time between two checks whether leaving VMs have died since.
// A VM that begins to leave is found at once.
const leavingCheckInterval = time.Second

// applyMemberChanges updates the owners and the leaving VMs after a change of the live
// set.
func (v *VM) applyMemberChanges() {
	v.addMemberNotices()
	version := v.members.Version()
	if version == v.membersVersion && v.now < v.nextLeavingCheck {
		return
	}
	v.nextLeavingCheck = v.now + leavingCheckInterval
	v.leavingVMs = v.leavingVMs[:0]
	for _, m := range v.members.Reachable() {
		if m.State == message.MemberLeaving && m.ID != v.config.Self.ID {
			v.leavingVMs = append(v.leavingVMs, m)
		}
	}
	if version == v.membersVersion {
		return
	}
	v.membersVersion = version
	v.owners.Update(v.now, v.members.Live())
	if seen := v.owners.Version(v.config.Self.Domain); seen != v.ownersVersion {
		v.ownersVersion = seen
		v.nextFullSearch = min(v.nextFullSearch, max(v.now, v.lastFullSearch+minSearchInterval))
	}
}

// handlePause handles a pause of the whole VM. Others may have taken over its targets, so
// it waits for their handovers before it dispatches again.
func (v *VM) handlePause() {
	v.started = v.now
	v.counters.Pauses++
	for _, t := range v.sortedTargets {
		t.machine.Pause(v.now)
	}
}

// settled reports whether the VM has been live without a pause for long enough that
// earlier owners have learned of it.
func (v *VM) settled() bool {
	return v.now-v.started >= ownership.JoinWait
}

// ownerOf returns the designated owner of a target in this VM's view.
func (v *VM) ownerOf(target message.TargetID, domain message.DomainID) (message.VMID, bool) {
	return v.owners.Owner(v.now, target, domain)
}

// view returns the input of the target's ownership state machine.
func (v *VM) view(t *target) ownership.View {
	owner, _ := v.ownerOf(t.id, t.row.DomainID)
	_, predecessorLeaving := v.leavingPredecessor(t)
	return ownership.View{
		Self:               v.config.Self.ID,
		Owner:              owner,
		Settled:            v.settled(),
		NoPreviousOwner:    v.noPreviousOwner(t),
		PredecessorLeaving: predecessorLeaving,
		HasState:           len(t.epochs) > 0,
		ReceiverDead:       v.receiverDead(t),
	}
}

// noPreviousOwner reports whether no other VM can have owned the target before.
func (v *VM) noPreviousOwner(t *target) bool {
	if v.config.ExpectPeers && !v.settled() {
		return false
	}
	other := v.owners.HasOtherCandidate(t.row.DomainID, v.config.Self.ID)
	_, leaving := v.leavingPredecessor(t)
	return !other && !leaving
}

// leavingPredecessor returns a leaving VM of the target's failure domain that ranks before
// this VM in the target's rendezvous order and may still own the target.
func (v *VM) leavingPredecessor(t *target) (message.VMID, bool) {
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

// receiverDead reports whether the receiver of the outgoing handover is dead.
func (v *VM) receiverDead(t *target) bool {
	if t.machine.Phase() != ownership.Sending {
		return false
	}
	m, ok := v.members.Member(t.machine.Receiver())
	return !ok || m.State == message.MemberDead
}

const (
	// pullInterval is the shortest time between two requests for table entries.
	pullInterval = 200 * time.Millisecond
	// deltaBytes is the size at which a table delta is sent and a new one begins.
	deltaBytes = 64 << 10
	// maxPullAnswerBytes is the size at which the answer to a pull ends; the receiver
	// pulls the rest. A whole table of 160,000 targets has 19 MB and takes 0.6 s to
	// encode, during which the sender would neither answer heartbeats nor route.
	maxPullAnswerBytes = 2 << 20
)

// compareTables requests table entries from a neighbour whose table is newer, or has the
// same version but another hash.
func (v *VM) compareTables(peer message.VMID, version, hash uint64) {
	mine := v.replica.Version()
	if version < mine || (version == mine && hash == v.replica.Hash()) {
		return
	}
	if v.lastTablePull != 0 && v.now-v.lastTablePull < pullInterval {
		return
	}
	v.lastTablePull = v.now
	since := int64(mine)
	if version == mine {
		// Entries below the common version are missing at one of the two VMs.
		since = 0
	}
	v.sendControl(peer, &message.TablePull{Since: since})
}

// handleTablePull answers with the entries in ascending order of revision, so that a
// receiver that gets only the first messages can request the rest. An answer ends only
// between two revisions, since the receiver asks for entries after its last one.
func (v *VM) handleTablePull(from message.Address, m *message.TablePull) {
	delta := &message.TableDelta{}
	size, total := 0, 0
	last := m.Since
	v.replica.Since(m.Since, func(e message.TableEntry) bool {
		if total >= maxPullAnswerBytes && e.Revision != last {
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

// handleTableDelta merges table entries and notifies the neighbours of a new version.
func (v *VM) handleTableDelta(m *message.TableDelta) {
	before := v.replica.Version()
	old := v.currentRows(m)
	changed, rejected := v.replica.Merge(m.Entries)
	v.counters.TableRejected += uint64(len(rejected))
	v.addRejectedNotices(rejected)
	for _, id := range changed {
		v.applyServiceRows(id, old[id])
	}
	v.members.SetTable(v.replica.Version(), v.replica.Hash())
	if v.replica.Version() != before {
		if before == 0 {
			v.firstTableAt = v.now
		}
		v.tableChangedAt = v.now
		v.notices.Add(notice.Notice{Kind: notice.TableInForce, Revision: v.replica.Version()})
		v.members.RequestHeartbeats(v.now)
	}
}
