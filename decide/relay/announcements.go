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
	// maxToldPeers is the number of other VMs up to which all of a failure domain, or of the fleet, are
	// told of flows and targets. Routers may have moved a flow to any of them, and each costs a datagram.
	maxToldPeers = 64
)

// Announcement is what a VM tells others of targets and flows.
type Announcement struct {
	UnansweredBy []uint32            // cookies of targets that have left a SYN of this VM unanswered
	Unopened     []halfopen.Unopened // flows that have not opened here
	Contested    []halfopen.Opened   // flows that have opened here, while another target may hold them
	ForKeepers   []halfopen.Opened   // further flows that have opened here, for keepers only
}

// Announce tells other VMs of an announcement: the VMs of the own failure domain of targets and unopened
// flows, those of all domains of contested flows, or of the own one in a large fleet, and the keepers of
// its flows. Unopened flows beyond one datagram are told to keepers only.
func (m *Machine) Announce(now time.Duration, a Announcement) {
	m.tellKeepers(now, a)
	if len(a.UnansweredBy)+len(a.Unopened) > 0 {
		first := m.announcementHeartbeat(now)
		first.UnansweredBy = a.UnansweredBy[:min(len(a.UnansweredBy), maxUnansweredBy)]
		first.Unopened = a.Unopened[:min(len(a.Unopened), maxFlowsPerHeartbeat)]
		m.sendToAll(m.domainPeers(), first)
	}
	for chunk := range slices.Chunk(a.Contested, maxFlowsPerHeartbeat) {
		heartbeat := m.announcementHeartbeat(now)
		heartbeat.Opened = chunk
		m.sendToAll(m.hintPeers(), heartbeat)
	}
}

// domainPeers returns the other VMs of the own failure domain, or none if there are too many to tell.
func (m *Machine) domainPeers() []*peer {
	peers := m.members.byDomain[m.config.Self.Domain]
	if len(peers) > maxToldPeers {
		return nil
	}
	return peers
}

// hintPeers returns the VMs that keep hints of this VM's contested flows: all others, since routers move
// flows to another failure domain when none of their own is in rotation, or in a large fleet those of the
// own domain.
func (m *Machine) hintPeers() (peers []*peer) {
	if len(m.members.byKey) > maxToldPeers {
		return m.domainPeers()
	}
	for _, domain := range m.members.domains() {
		peers = append(peers, m.members.byDomain[domain]...)
	}
	return peers
}

// announcementHeartbeat returns a heartbeat that carries nothing of its own.
func (m *Machine) announcementHeartbeat(now time.Duration) Heartbeat {
	heartbeat := m.heartbeat(now, true, nil)
	heartbeat.Samples = nil
	return heartbeat
}

func (m *Machine) sendToAll(peers []*peer, heartbeat Heartbeat) {
	for _, p := range peers {
		m.send(p.HeartbeatAddr, heartbeat)
	}
}

func (m *Machine) send(to netip.AddrPort, heartbeat Heartbeat) {
	m.out.Heartbeats = append(m.out.Heartbeats, Outgoing{To: to, Heartbeat: heartbeat})
}
