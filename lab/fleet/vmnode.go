package fleet

import (
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/vm"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/core"
)

// vmNode is a VM: the real service "core" with fakes of all other services.
type vmNode struct {
	fleet   *Fleet
	member  message.Member
	domain  string
	machine *vm.VM
	core    *core.Service
	kernel  *kernel.Kernel
	paused  bool
	leaving bool
}

// fakeSender is a fake of the service "udp" or "peers".
type fakeSender struct {
	name string
	node *vmNode
}

func (s *fakeSender) Name() string                   { return s.name }
func (s *fakeSender) Dependencies() []string         { return nil }
func (s *fakeSender) Setup(*kernel.Kernel) error     { return nil }
func (s *fakeSender) Connect(k *kernel.Kernel) error { return nil }

// Send implements core.Output.
func (s *fakeSender) Send(m message.Message) {
	from := message.VMAddress(s.node.member.ID, s.node.member.Data)
	s.node.fleet.net.send(s.node.domain, from, m)
}

// fakePlatform is a fake of the services "storewatch", "vmlist" and "healthcheck".
type fakePlatform struct {
	node            *vmNode
	gate            *kernel.Gate
	nextListPoll    time.Duration // time of the next poll of the VM list
	nextHealthCheck time.Duration // time of the next health check of the owned targets
}

// Intervals of fakePlatform.
const (
	platformInterval = 100 * time.Millisecond
	listInterval     = 2 * time.Second
	healthInterval   = time.Second
)

func (p *fakePlatform) Name() string               { return "platform" }
func (p *fakePlatform) Dependencies() []string     { return []string{core.Name} }
func (p *fakePlatform) Setup(*kernel.Kernel) error { return nil }

func (p *fakePlatform) Connect(k *kernel.Kernel) error {
	p.gate = kernel.NewGate()
	k.AddDuty(kernel.Duty{Name: "platform", Gate: p.gate, Step: p.step})
	return nil
}

// step delivers the input of the platform that the VM's state asks for.
func (p *fakePlatform) step(now time.Duration) time.Duration {
	_ = p.node.core.Do(func(now time.Duration, m core.Machine) []message.Message {
		p.watchStore(p.node.machine)
		p.pollVMList(now, p.node.machine)
		p.checkHealth(now, p.node.machine)
		return nil
	})
	return now + platformInterval
}

func (p *fakePlatform) put(body message.Body) {
	_ = p.node.core.Put(message.Message{From: message.Address{Kind: message.PeerPlatform}, Body: body})
}

// watchStore delivers new table entries to a relay, unless the store is down or unreachable.
func (p *fakePlatform) watchStore(machine *vm.VM) {
	f := p.node.fleet
	if f.storeDown || f.net.partitioned[p.node.domain] || !machine.IsRelay() {
		return
	}
	var entries []message.TableEntry
	for _, e := range f.entries {
		if uint64(e.Revision) > machine.TableVersion() && f.visible(e.Revision) {
			entries = append(entries, e)
		}
	}
	if len(entries) > 0 {
		p.put(&message.TableDelta{Entries: entries})
	}
}

// pollVMList delivers the platform's VM list as of ListLag ago to a relay or to a VM without
// peers.
func (p *fakePlatform) pollVMList(now time.Duration, machine *vm.VM) {
	f := p.node.fleet
	if now < p.nextListPoll || f.net.partitioned[p.node.domain] || (machine.HasPeers() && !machine.IsRelay()) {
		return
	}
	p.nextListPoll = now + listInterval
	p.put(&message.VMList{Members: f.list.at(now - f.options.ListLag)})
}

func (p *fakePlatform) checkHealth(now time.Duration, machine *vm.VM) {
	if now < p.nextHealthCheck {
		return
	}
	p.nextHealthCheck = now + healthInterval
	f := p.node.fleet
	machine.HealthTargets(func(id message.TargetID, _ netip.AddrPort) bool {
		p.put(f.healthReport(p.node.domain, id))
		return true
	})
}

// newVMNode returns a VM without peers. It discovers them through the platform's VM list.
func newVMNode(f *Fleet, member message.Member, domain string) *vmNode {
	n := &vmNode{fleet: f, member: member, domain: domain}
	n.machine = vm.New(vm.Config{
		Self:        member,
		Seed:        f.rng.Uint64(),
		ExpectPeers: true,
	}, f.stepper.Now())
	n.core = core.New(n.machine)
	n.kernel = kernel.NewStepped(f.stepper)
	services := []kernel.Service{
		&fakeSender{name: core.UDPName, node: n},
		&fakeSender{name: core.PeersName, node: n},
		n.core,
		&fakePlatform{node: n},
	}
	for _, s := range services {
		f.must(n.kernel.Register(s))
	}
	return n
}

func (n *vmNode) endpoint() *endpoint {
	return &endpoint{domain: n.domain, put: func(m message.Message) { _ = n.core.Put(m) }}
}
