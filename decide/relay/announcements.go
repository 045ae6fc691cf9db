package relay

import (
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/halfopen"
)

const (
	// maxFlowsPerHeartbeat and maxUnansweredBy bound the flows and the targets in one heartbeat, so that
	// it fits into one datagram.
	maxFlowsPerHeartbeat = 20
	maxUnansweredBy      = 64
	// maxToldPeers is the number of other VMs of a failure domain up to which they tell each other of
	// flows and targets. Routers may have moved a flow to any of them, and each costs a datagram.
	maxToldPeers = 64
)

// Announcement is what a VM tells others of targets and flows.
type Announcement struct {
	UnansweredBy []uint32            // cookies of targets that have left a SYN of this VM unanswered
	Unopened     []halfopen.Unopened // flows that have not opened here
	Contested    []halfopen.Opened   // flows that have opened here, while another target may hold them
	ForKeepers   []halfopen.Opened   // further flows that have opened here, for keepers only
}

// Announce tells the VMs of the own failure domain of an announcement, unless there are too many, and
// the keepers of its flows. Unopened flows beyond one datagram are told to keepers only.
func (m *Machine) Announce(now time.Duration, a Announcement) {
	m.tellKeepers(now, a)
	if len(m.members.byDomain[m.config.Self.Domain]) > maxToldPeers {
		return
	}
	if len(a.UnansweredBy)+len(a.Unopened) > 0 {
		first := m.announcementHeartbeat(now)
		first.UnansweredBy = a.UnansweredBy[:min(len(a.UnansweredBy), maxUnansweredBy)]
		first.Unopened = a.Unopened[:min(len(a.Unopened), maxFlowsPerHeartbeat)]
		m.tellDomain(first)
	}
	for chunk := range slices.Chunk(a.Contested, maxFlowsPerHeartbeat) {
		heartbeat := m.announcementHeartbeat(now)
		heartbeat.Opened = chunk
		m.tellDomain(heartbeat)
	}
}

// announcementHeartbeat returns a heartbeat that carries nothing of its own.
func (m *Machine) announcementHeartbeat(now time.Duration) Heartbeat {
	heartbeat := m.heartbeat(now, true, nil)
	heartbeat.Samples = nil
	return heartbeat
}

// tellDomain sends a heartbeat to the other VMs of the own failure domain.
func (m *Machine) tellDomain(heartbeat Heartbeat) {
	for _, p := range m.members.byDomain[m.config.Self.Domain] {
		m.send(p.HeartbeatAddr, heartbeat)
	}
}

func (m *Machine) send(to netip.AddrPort, heartbeat Heartbeat) {
	m.out.Heartbeats = append(m.out.Heartbeats, Outgoing{To: to, Heartbeat: heartbeat})
}
