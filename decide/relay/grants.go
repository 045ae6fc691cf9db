package relay

import (
	"maps"
	"slices"
	"time"
)

// maxGrants bounds the grants in one heartbeat, so that it fits into one datagram. Further
// ones follow in another heartbeat.
const maxGrants = 24

// Process identifies one process of a VM.
type Process struct {
	VM   string
	Boot uint64
}

// Poller is a process of the own failure domain that polls this VM.
type Poller struct {
	Process
	// VMs is the number of VMs that it stands for: about those that poll it, if it is a
	// branch, and itself.
	VMs int
}

// grants is what a machine knows of the grants of the VMs that poll it, by key of the VM.
type grants struct {
	boots map[string]uint64 // of the VM's last poll
	lists map[string]grantList
	due   map[string]bool // VMs to send their list to
}

// grantList holds the grants of one process.
type grantList struct {
	boot   uint64
	grants []Grant
}

func newGrants() grants {
	return grants{boots: make(map[string]uint64), lists: make(map[string]grantList), due: make(map[string]bool)}
}

// forget drops the state of a VM that no longer polls this one.
func (g *grants) forget(key string) {
	delete(g.boots, key)
	delete(g.lists, key)
	delete(g.due, key)
}

// handleGrants handles the part of a heartbeat that concerns grants. They are passed on if they
// are those of this process. A poll is answered with the sender's grants, since the heartbeat
// that carried them before may be lost.
func (m *Machine) handleGrants(p *peer, b Heartbeat) {
	if p == nil || p.Domain != m.config.Self.Domain {
		return
	}
	if b.Reply {
		if m.config.Boot != 0 && b.Grantee == m.config.Boot {
			m.out.Grants = append(m.out.Grants, b.Grants...)
		}
		return
	}
	m.grants.boots[p.key] = b.Boot
	if list := m.grants.lists[p.key]; list.boot == b.Boot && len(list.grants) > 0 {
		m.grants.due[p.key] = true
	}
}

// DomainSize returns the number of VMs of the own failure domain that have an entry in the
// store, this one included.
func (m *Machine) DomainSize() int { return len(m.members.byDomain[m.config.Self.Domain]) + 1 }

// Pollers returns the processes that can be granted tokens, by rank of the VM: those that poll
// this VM and state their random number.
func (m *Machine) Pollers(now time.Duration) []Poller {
	branches := m.upstreamCount() - 1 // the highest-ranked VMs that poll the relay
	if !m.isRelay {
		branches = 0
	}
	ownScore := scoreOf(m.config.Self.Domain, m.config.Self.Name)
	var list []Poller
	for _, p := range m.members.byDomain[m.config.Self.Domain] {
		at, subscribed := m.subscribers[p.key]
		if !subscribed || now-at >= m.intervals.subscriberTimeout {
			continue
		}
		vms := 1
		if branches > 0 && p.score < ownScore {
			branches--
			vms = max(1, m.DomainSize()/m.upstreamCount())
		}
		if boot := m.grants.boots[p.key]; boot != 0 {
			list = append(list, Poller{Process: Process{VM: p.Name, Boot: boot}, VMs: vms})
		}
	}
	return list
}

// SetGrants replaces the grants of a process that polls this VM. Changed ones are sent with
// the next Tick, and again in reply to each of its polls.
func (m *Machine) SetGrants(process Process, list []Grant) {
	key := Member{Name: process.VM, Domain: m.config.Self.Domain}.Key(m.config.MemberPrefix)
	previous := m.grants.lists[key]
	if previous.boot == process.Boot && slices.Equal(previous.grants, list) {
		return
	}
	if len(list) == 0 {
		delete(m.grants.lists, key)
		delete(m.grants.due, key)
		return
	}
	m.grants.lists[key] = grantList{boot: process.Boot, grants: list}
	m.grants.due[key] = true
}

// sendGrants sends the grants that are due. They do not wait for notifyInterval: a target is
// cold for a few seconds only, and few of them start at a time.
func (m *Machine) sendGrants(now time.Duration) {
	for _, key := range slices.Sorted(maps.Keys(m.grants.due)) {
		list, p := m.grants.lists[key], m.members.byKey[key]
		if !m.grants.due[key] || p == nil {
			continue
		}
		for chunk := range slices.Chunk(list.grants, maxGrants) {
			heartbeat := m.heartbeat(now, true, nil)
			heartbeat.Grantee, heartbeat.Grants = list.boot, chunk
			m.out.Heartbeats = append(m.out.Heartbeats, Outgoing{To: p.HeartbeatAddr, Heartbeat: heartbeat})
		}
	}
	clear(m.grants.due)
}
