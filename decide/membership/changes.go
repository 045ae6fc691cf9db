package membership

import "github.com/gypsumspan/gypsumspan/decide/message"

// maxChanges bounds the changes between two calls of TakeChanges. Beyond it they
// are lost: they are for reports only.
const maxChanges = 256

// Change is a change of another VM's state. From is 0 for a VM without a state.
type Change struct {
	VM       message.VMID
	From, To message.MemberState
}

// noteChange remembers a change of a record's state for TakeChanges.
func (v *View) noteChange(r *record, from, to message.MemberState) {
	if r != v.self && from != to && len(v.noted) < maxChanges {
		v.noted = append(v.noted, Change{VM: r.member.ID, From: from, To: to})
	}
}

// TakeChanges calls yield for the changes since the last call, oldest first.
func (v *View) TakeChanges(yield func(Change)) {
	for _, c := range v.noted {
		yield(c)
	}
	v.noted = v.noted[:0]
}
