package relay

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/halfopen"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

// maxKeepers is the number of keepers of a flow, each in another failure domain, so that the loss of
// one domain or of two VMs leaves one.
const maxKeepers = 3

// self is the address that stands for this VM in a list of keepers.
var self netip.AddrPort

// keepersOf returns the keepers of a flow: the VM with the highest rendezvous score for the flow in
// each of the domains with the highest ones.
func (m *Machine) keepersOf(k flow.Key) []netip.AddrPort {
	hash := k.Hash()
	domains := m.members.domains()
	if !slices.Contains(domains, m.config.Self.Domain) {
		domains = append(domains, m.config.Self.Domain)
	}
	slices.SortFunc(domains, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Mix(hash, xxhash.Sum64String(b)), rendezvous.Mix(hash, xxhash.Sum64String(a))), cmp.Compare(a, b))
	})
	keepers := make([]netip.AddrPort, 0, maxKeepers)
	for _, domain := range domains[:min(len(domains), maxKeepers)] {
		keepers = append(keepers, m.keeperIn(domain, hash))
	}
	return keepers
}

// keeperIn returns the keeper in one domain of a flow with the given hash.
func (m *Machine) keeperIn(domain string, hash uint64) netip.AddrPort {
	best, score := self, uint64(0)
	if domain == m.config.Self.Domain {
		score = rendezvous.Mix(hash, scoreOf(domain, m.config.Self.Name))
	}
	for _, p := range m.members.byDomain[domain] {
		if s := rendezvous.Mix(hash, p.score); s > score {
			best, score = p.HeartbeatAddr, s
		}
	}
	return best
}

// flowsToKeep are flows for one keeper.
type flowsToKeep struct {
	unopened []halfopen.Unopened
	opened   []halfopen.Opened
}

// tellKeepers tells each keeper of the flows that it keeps.
func (m *Machine) tellKeepers(now time.Duration, a Announcement) {
	var keepers []netip.AddrPort // in the order of their first flow
	shares := make(map[netip.AddrPort]*flowsToKeep)
	sharesOf := func(k flow.Key) (list []*flowsToKeep) {
		for _, keeper := range m.keepersOf(k) {
			if shares[keeper] == nil {
				keepers = append(keepers, keeper)
				shares[keeper] = &flowsToKeep{}
			}
			list = append(list, shares[keeper])
		}
		return list
	}
	for _, u := range a.Unopened {
		for _, share := range sharesOf(u.Flow) {
			share.unopened = append(share.unopened, u)
		}
	}
	for _, o := range slices.Concat(a.Contested, a.ForKeepers) {
		for _, share := range sharesOf(o.Flow) {
			share.opened = append(share.opened, o)
		}
	}
	for _, keeper := range keepers {
		if keeper == self {
			m.keep(now, self, *shares[keeper])
			continue
		}
		m.sendFlows(now, keeper, *shares[keeper], true)
	}
}

// sendFlows sends flows in as many datagrams as they need. With keep the receiver is their keeper.
func (m *Machine) sendFlows(now time.Duration, to netip.AddrPort, flows flowsToKeep, keep bool) {
	for chunk := range slices.Chunk(flows.unopened, maxFlowsPerHeartbeat) {
		heartbeat := m.announcementHeartbeat(now)
		heartbeat.Unopened, heartbeat.Keep = chunk, keep
		m.send(to, heartbeat)
	}
	for chunk := range slices.Chunk(flows.opened, maxFlowsPerHeartbeat) {
		heartbeat := m.announcementHeartbeat(now)
		heartbeat.Opened, heartbeat.Keep = chunk, keep
		m.send(to, heartbeat)
	}
}

// keep keeps flows that the VM at an address has told of, and tells the VMs of each match of each
// other.
func (m *Machine) keep(now time.Duration, vm netip.AddrPort, flows flowsToKeep) {
	for _, u := range flows.unopened {
		m.tellMatches(now, m.matcher.AddUnopened(now, u, vm))
	}
	for _, o := range flows.opened {
		m.tellMatches(now, m.matcher.AddOpened(now, o, vm))
	}
}

// tellMatches tells the VM at which a flow has opened of the target that holds it half-open, and the VM
// that has sent that one a SYN of the target at which the flow has opened.
func (m *Machine) tellMatches(now time.Duration, matches []halfopen.Match) {
	for _, match := range matches {
		if match.OpenedAt == self {
			m.out.Unopened = append(m.out.Unopened, match.Unopened)
		} else {
			m.sendFlows(now, match.OpenedAt, flowsToKeep{unopened: []halfopen.Unopened{match.Unopened}}, false)
		}
		if match.UnopenedAt == self {
			m.out.Opened = append(m.out.Opened, match.Opened)
		} else {
			m.sendFlows(now, match.UnopenedAt, flowsToKeep{opened: []halfopen.Opened{match.Opened}}, false)
		}
	}
}

// receiveFlows handles the flows of a heartbeat that has waited at this VM for a time.
func (m *Machine) receiveFlows(now, waited time.Duration, from netip.AddrPort, b Heartbeat) {
	for i := range b.Unopened {
		b.Unopened[i].Age += waited
	}
	for i := range b.Opened {
		b.Opened[i].Age += waited
	}
	if b.Keep {
		m.keep(now, from, flowsToKeep{b.Unopened, b.Opened})
		return
	}
	m.out.Unopened = append(m.out.Unopened, b.Unopened...)
	m.out.Opened = append(m.out.Opened, b.Opened...)
}

// FlowsNotKept returns the number of flows that this VM did not keep for lack of room.
func (m *Machine) FlowsNotKept() uint64 { return m.matcher.Dropped() }
