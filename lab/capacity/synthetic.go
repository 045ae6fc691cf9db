package capacity

import (
	"fmt"
	"net/netip"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

const (
	// domainCount is the number of failure domains.
	domainCount = 8
	// fleetVMs, fleetTargets and fleetServices are the design size: that of the fleet planned
	// for in two years, see docs/design.md section 1.3.
	fleetVMs      = 15_000
	fleetTargets  = 160_000
	fleetServices = 18_000
	// rowsPerShard is the maximum number of rows in a shard of a service.
	rowsPerShard = 500
	// targetLimit is the number of slots of a target.
	targetLimit = 3
)

func domainName(i int) string {
	return fmt.Sprintf("region%d-domain%d", i%domainCount*3/domainCount, i%domainCount)
}

func domainID(i int) message.DomainID {
	return message.DomainIDOf(domainName(i))
}

// member returns the i-th VM of the fleet. VMs are spread evenly over the failure domains.
func member(i int) message.Member {
	name := fmt.Sprintf("entry-vm-%05d", i)
	ip := address(10, i)
	return message.Member{
		ID:          message.VMIDOf(name),
		Name:        name,
		Domain:      domainID(i),
		Data:        netip.AddrPortFrom(ip, 7100),
		Control:     netip.AddrPortFrom(ip, 7200),
		Incarnation: 1_764_000_000_000,
		State:       message.MemberAlive,
	}
}

func members(n int) []message.Member {
	all := make([]message.Member, n)
	for i := range all {
		all[i] = member(i)
	}
	return all
}

func address(network byte, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{network, byte(i >> 16), byte(i >> 8), byte(i)})
}

func serviceName(i int) string {
	return fmt.Sprintf("service-%05d", i)
}

// targetRow returns the table row of the i-th target of the fleet, for a service.
func targetRow(service string, i int) table.Target {
	ip := address(11, i)
	name := fmt.Sprintf("target-%06d", i)
	return table.Target{
		ID:       message.TargetIDOf(service, name),
		Name:     name,
		Domain:   domainName(i),
		DomainID: domainID(i),
		Addr:     netip.AddrPortFrom(ip, 8000),
		Health:   netip.AddrPortFrom(ip, 8001),
		Weight:   uint32(1 + i%3),
		Limit:    targetLimit,
		State:    table.Active,
	}
}

// service returns the n-th of count services, over which the targets are spread evenly.
func service(n, count, targets int) *table.Service {
	first, end := n*targets/count, (n+1)*targets/count
	s := &table.Service{
		ID:      message.ServiceIDOf(serviceName(n)),
		Name:    serviceName(n),
		Address: fmt.Sprintf("198.51.100.%d:443", n%250),
		Kinds: []table.Kind{
			{Name: "urgent", Urgency: table.Urgent, Share: 4},
			{Name: "bulk", Urgency: table.Bulk, Share: 1},
		},
	}
	for i := first; i < end; i++ {
		s.Targets = append(s.Targets, targetRow(s.Name, i))
	}
	return s
}

// entriesOf returns a service as entries of the store at a revision.
func entriesOf(s *table.Service, revision int64) []message.TableEntry {
	entries, err := table.EncodeService(s, 1+len(s.Targets)/rowsPerShard)
	if err != nil {
		panic(fmt.Sprintf("capacity: %v", err))
	}
	for i := range entries {
		entries[i].Revision = revision
	}
	return entries
}

// eachDelta yields a whole table, as one delta for each service.
func eachDelta(services, targets int, yield func(*message.TableDelta)) {
	for n := range services {
		entries := entriesOf(service(n, services, targets), int64(n+1))
		yield(&message.TableDelta{Entries: entries})
	}
}

// servicesFor returns the number of services for a number of targets, in the proportion of
// fleetServices to fleetTargets.
func servicesFor(targets int) int {
	return max(1, targets*fleetServices/fleetTargets)
}

func flowID(i int) message.FlowID {
	return message.FlowID{Hi: uint64(i) * 0x9e3779b97f4a7c15, Lo: uint64(i) + 1}
}

func platformMessage(body message.Body) message.Message {
	return message.Message{From: message.Address{Kind: message.PeerPlatform}, Body: body}
}
