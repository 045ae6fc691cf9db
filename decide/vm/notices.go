package vm

import (
	"github.com/gypsumspan/gypsumspan/decide/membership"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/notice"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// TakeNotices calls yield for the notices since the last call, oldest first.
func (v *VM) TakeNotices(yield func(notice.Notice)) {
	v.notices.Take(yield)
}

// addTargetNotice adds a notice about a target. peer is the other VM involved, or 0.
func (v *VM) addTargetNotice(kind notice.Kind, t *target, peer message.VMID, flows int) {
	n := notice.Notice{Kind: kind, Target: v.targetName(t.id), Flows: flows}
	if peer != 0 {
		n.VM = v.memberName(peer)
	}
	v.notices.Add(n)
}

// addMemberNotices adds a notice for each state change of another VM.
func (v *VM) addMemberNotices() {
	v.members.TakeChanges(func(c membership.Change) {
		if kind := memberNoticeKind(c); kind != 0 {
			v.notices.Add(notice.Notice{Kind: kind, VM: v.memberName(c.VM)})
		}
	})
}

// memberNoticeKind returns the kind of notice for a change, or 0 for none. The first state
// of a VM gives no notice, since a joining VM learns of the whole fleet at once.
func memberNoticeKind(c membership.Change) notice.Kind {
	if c.From == 0 {
		return 0
	}
	switch c.To {
	case message.MemberSuspect:
		return notice.MemberSuspect
	case message.MemberDead:
		return notice.MemberDead
	case message.MemberLeaving:
		return notice.MemberLeaving
	default:
		return notice.MemberBack
	}
}

func (v *VM) addRejectedNotices(rejected []table.EntryError) {
	for i := range rejected {
		r := &rejected[i]
		v.notices.Add(notice.Notice{Kind: notice.TableEntryRejected, Key: r.Key, Revision: uint64(max(r.Revision, 0)), Err: r.Err})
	}
}

// addMoveNotices adds a notice when the first flow starts to leave a leaving target, and
// when the last one has left.
func (v *VM) addMoveNotices(t *target) {
	flows := t.flows.Len()
	switch {
	case t.movesNoticed && flows == 0:
		v.addTargetNotice(notice.MovesFinished, t, 0, t.movedCount)
		t.movesNoticed = false
	case !t.movesNoticed && flows > 0:
		t.movesNoticed = true
		t.movedCount = 0
		v.addTargetNotice(notice.MovesStarted, t, 0, flows)
	}
}

func (v *VM) addLeaveStartedNotice() {
	v.leaveStartedAt = v.now
	flows := 0
	for _, t := range v.sortedTargets {
		flows += t.flows.Len()
	}
	v.notices.Add(notice.Notice{Kind: notice.LeaveStarted, Flows: flows})
}

// addLeaveFinishedNotice adds a notice at the end of the planned leave, once.
func (v *VM) addLeaveFinishedNotice() {
	if v.leaveFinishedNoticed || !v.HasLeft() {
		return
	}
	v.leaveFinishedNoticed = true
	v.notices.Add(notice.Notice{Kind: notice.LeaveFinished, Duration: v.now - v.leaveStartedAt})
}
