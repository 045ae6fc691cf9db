package fleet

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// vmList is the fake of the platform's VM list with its history, so that a
// reader can see it as it was some time ago.
type vmList struct {
	history []listState
}

type listState struct {
	from    time.Duration
	members []message.Member
}

// set replaces a VM's entry from now on.
func (l *vmList) set(now time.Duration, m message.Member) {
	members := l.without(m.ID)
	l.history = append(l.history, listState{from: now, members: append(members, m)})
}

func (l *vmList) remove(now time.Duration, id message.VMID) {
	l.history = append(l.history, listState{from: now, members: l.without(id)})
}

func (l *vmList) without(id message.VMID) []message.Member {
	members := slices.Clone(l.latest())
	return slices.DeleteFunc(members, func(m message.Member) bool { return m.ID == id })
}

func (l *vmList) latest() []message.Member {
	if len(l.history) == 0 {
		return nil
	}
	return l.history[len(l.history)-1].members
}

// at returns the list as it was at a time.
func (l *vmList) at(t time.Duration) []message.Member {
	for i := len(l.history) - 1; i >= 0; i-- {
		if l.history[i].from <= t {
			return l.history[i].members
		}
	}
	if len(l.history) == 0 {
		return nil
	}
	return l.history[0].members
}
