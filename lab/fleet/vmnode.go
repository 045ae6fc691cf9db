package fleet

import (
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/vm"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/core"
)

// vmNode is one VM: the real service "core" over fakes of the others.
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

// sender is the fake of the services "udp" and "peers".
type sender struct {
	name string
	node *vmNode
}

func (s *sender) Name() string                   { return s.name }
func (s *sender) Dependencies() []string         { return nil }
func (s *sender) Setup(*kernel.Kernel) error     { return nil }
func (s *sender) Connect(k *kernel.Kernel) error { return nil }

// Send implements core.Output.
func (s *sender) Send(m message.Message) {
	from := message.VMAddress(s.node.member.ID, s.node.member.Data)
	s.node.fleet.net.send(s.node.domain, from, m)
}

// platform is the fake of the services "storewatch", "vmlist" and "healthcheck".
type platform struct {
	node   *vmNode
	gate   *kernel.Gate
	listed time.Duration // next poll of the VM list
	health time.Duration // next health check of the owned targets
}

// Intervals of the platform's fakes.
const (
	platformInterval = 100 * time.Millisecond
	listInterval     = 2 * time.Second
	healthInterval   = time.Second
)

func (p *platform) Name() string               { return "platform" }
func (p *platform) Dependencies() []string     { return []string{core.Name} }
func (p *platform) Setup(*kernel.Kernel) error { return nil }

func (p *platform) Connect(k *kernel.Kernel) error {
	p.gate = kernel.NewGate()
	k.AddDuty(kernel.Duty{Name: "platform", Gate: p.gate, Step: p.step})
	return nil
}

// step asks the core duty what it needs from the platform.
func (p *platform) step(now time.Duration) time.Duration {
	_ = p.node.core.Do(func(now time.Duration, m core.Machine) []message.Message {
		p.watchStore(p.node.machine)
		p.pollList(now, p.node.machine)
		p.checkHealth(now, p.node.machine)
		return nil
	})
	return now + platformInterval
}

func (p *platform) put(body message.Body) {
	_ = p.node.core.Put(message.Message{From: message.Address{Kind: message.PeerPlatform}, Body: body})
}

// watchStore delivers new table entries to a relay, unless the store is away.
func (p *platform) watchStore(machine *vm.VM) {
	f := p.node.fleet
	if f.storeDown || f.net.cut[p.node.domain] || !machine.IsRelay() {
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

// pollList delivers the platform's VM list as it was some time ago.
func (p *platform) pollList(now time.Duration, machine *vm.VM) {
	f := p.node.fleet
	if now < p.listed || f.net.cut[p.node.domain] || (machine.HasPeers() && !machine.IsRelay()) {
		return
	}
	p.listed = now + listInterval
	p.put(&message.VMList{Members: f.list.at(now - f.options.ListLag)})
}

func (p *platform) checkHealth(now time.Duration, machine *vm.VM) {
	if now < p.health {
		return
	}
	p.health = now + healthInterval
	f := p.node.fleet
	machine.HealthTargets(func(id message.TargetID, _ netip.AddrPort) bool {
		p.put(f.healthOf(p.node.domain, id))
		return true
	})
}

// newVMNode returns a VM that knows the platform's VM list only.
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
		&sender{name: core.UDPName, node: n},
		&sender{name: core.PeersName, node: n},
		n.core,
		&platform{node: n},
	}
	for _, s := range services {
		f.must(n.kernel.Register(s))
	}
	return n
}

func (n *vmNode) endpoint() *endpoint {
	return &endpoint{domain: n.domain, put: func(m message.Message) { _ = n.core.Put(m) }}
}
