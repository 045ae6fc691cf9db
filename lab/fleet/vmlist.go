package fleet

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// vmList is a fake of the platform's VM list. It keeps its history, so that readers can be
// given a stale list.
type vmList struct {
	history []vmListVersion
}

// vmListVersion is the content of the list from a time on.
type vmListVersion struct {
	validFrom time.Duration
	members   []message.Member
}

// set adds or replaces a VM's entry from now on.
func (l *vmList) set(now time.Duration, m message.Member) {
	members := l.without(m.ID)
	l.history = append(l.history, vmListVersion{validFrom: now, members: append(members, m)})
}

func (l *vmList) remove(now time.Duration, id message.VMID) {
	l.history = append(l.history, vmListVersion{validFrom: now, members: l.without(id)})
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

// at returns the list as of a time, or the first version for an earlier time.
func (l *vmList) at(t time.Duration) []message.Member {
	for i := len(l.history) - 1; i >= 0; i-- {
		if l.history[i].validFrom <= t {
			return l.history[i].members
		}
	}
	if len(l.history) == 0 {
		return nil
	}
	return l.history[0].members
}
