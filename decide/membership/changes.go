package membership

import "github.com/gypsumspan/gypsumspan/decide/message"

// maxChanges bounds the changes kept between two calls of TakeChanges. Further
// ones are dropped, since changes serve only for reports.
const maxChanges = 256

// Change is a change of another VM's state. From is 0 for a VM that had no state.
type Change struct {
	VM       message.VMID
	From, To message.MemberState
}

// recordChange records a change of a member's state for TakeChanges.
func (v *View) recordChange(r *record, from, to message.MemberState) {
	if r != v.self && from != to && len(v.pendingChanges) < maxChanges {
		v.pendingChanges = append(v.pendingChanges, Change{VM: r.member.ID, From: from, To: to})
	}
}

// TakeChanges calls yield for the changes since the last call, oldest first.
func (v *View) TakeChanges(yield func(Change)) {
	for _, c := range v.pendingChanges {
		yield(c)
	}
	v.pendingChanges = v.pendingChanges[:0]
}
