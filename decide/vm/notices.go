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

// noteTarget notes what happened to a target; peer is 0 if no other VM took part.
func (v *VM) noteTarget(kind notice.Kind, t *target, peer message.VMID, flows int) {
	n := notice.Notice{Kind: kind, Target: v.targetName(t.id), Flows: flows}
	if peer != 0 {
		n.VM = v.memberName(peer)
	}
	v.notices.Add(n)
}

// noteMembers notes the changes of other VMs' states.
func (v *VM) noteMembers() {
	v.members.TakeChanges(func(c membership.Change) {
		if kind := memberNotice(c); kind != 0 {
			v.notices.Add(notice.Notice{Kind: kind, VM: v.memberName(c.VM)})
		}
	})
}

// memberNotice returns the kind of notice for a change, or 0 for none. A VM that
// is heard of for the first time is not noticed, since a joining VM learns of the
// whole fleet at once.
func memberNotice(c membership.Change) notice.Kind {
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

func (v *VM) noteRejected(rejected []table.EntryError) {
	for i := range rejected {
		r := &rejected[i]
		v.notices.Add(notice.Notice{Kind: notice.TableRejected, Key: r.Key, Revision: uint64(max(r.Revision, 0)), Err: r.Err})
	}
}

// noteMoves notes the first and the last flow that leave a leaving target.
func (v *VM) noteMoves(t *target) {
	flows := t.flows.Len()
	switch {
	case t.departing && flows == 0:
		v.noteTarget(notice.MovesFinished, t, 0, t.departed)
		t.departing = false
	case !t.departing && flows > 0:
		t.departing = true
		t.departed = 0
		v.noteTarget(notice.MovesStarted, t, 0, flows)
	}
}

func (v *VM) noteLeaveStarted() {
	v.leaveFrom = v.now
	flows := 0
	for _, t := range v.order {
		flows += t.flows.Len()
	}
	v.notices.Add(notice.Notice{Kind: notice.LeaveStarted, Flows: flows})
}

// noteLeft notes the end of the planned leave once.
func (v *VM) noteLeft() {
	if v.leftNoted || !v.HasLeft() {
		return
	}
	v.leftNoted = true
	v.notices.Add(notice.Notice{Kind: notice.LeaveFinished, Gap: v.now - v.leaveFrom})
}
