package day

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/coldstart"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/forward"
	decide "github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/packets"
	"github.com/gypsumspan/gypsumspan/services/relay"
)

const (
	// socketBufferPackets is the size of a VM's socket buffer, in packets.
	socketBufferPackets = 800
	// redeliveryDelay is the time after which buffered packets that the process did not
	// accept are delivered again.
	redeliveryDelay = time.Millisecond
	// shutdownTime is the time from a stop signal to the end of the process. Routers take
	// the VM out of rotation meanwhile, so that no more packets arrive.
	shutdownTime = 2500 * time.Millisecond
	// coldOverage and coldSlack are the limit of new flows of cold targets, those of the
	// platform's settings file.
	coldOverage = 1.5
	coldSlack   = 5
	// seedCount is the number of VMs whose addresses are in every VM's settings.
	seedCount = 3
)

// vm is one VM. The services and their state are lost when its process ends.
type vm struct {
	fleet *fleet
	name  string
	ip    netip.Addr
	node  node
	// uplink and downlink carry answers to pulls and answers of the store.
	uplink, downlink *link

	started       bool // at least once
	up            bool
	paused        bool
	leaving       bool
	storeRefuses  bool // the store answers other VMs, but not this one
	removed       bool // permanently
	powerOffUntil time.Duration
	generation    int // number of starts
	failedChecks  int // of the routers, in a row
	disruption    disruptionState
	// appliedVersion is the last configuration that the process with number appliedBy applied.
	appliedVersion uint64
	appliedBy      int

	socketBuffer      []flow.Packet // received packets that the process has not read
	bufferEmptyAt     time.Duration // last time at which the running process has found it empty
	deliveryScheduled bool

	kernel    *kernel.Kernel
	packets   *packets.Service
	relay     *relay.Service
	client    *storeClient
	readiness *readySwitch
	baseline  *baseline // replaces the services under other policies

	heartbeatBytes int // sent to other VMs
}

func (v *vm) rendezvousID() uint64 {
	ip := v.ip.As4()
	return uint64(binary.BigEndian.Uint32(ip[:]))
}

func (v *vm) address(port uint16) netip.AddrPort { return netip.AddrPortFrom(v.ip, port) }

func (v *vm) reaches(n *node) bool { return v.fleet.network.reaches(&v.node, n) }

// start starts the VM's process.
func (v *vm) start() {
	if v.up || v.removed || v.fleet.timeline.now() < v.powerOffUntil {
		return
	}
	v.started, v.up, v.leaving, v.paused = true, true, false, false
	v.generation++
	v.socketBuffer, v.bufferEmptyAt = nil, v.fleet.timeline.now()
	v.readiness = newReadySwitch()
	if v.fleet.policy != Gypsumspan {
		v.baseline = newBaseline(v)
		return
	}
	v.startServices()
}

// startServices builds the VM's kernel with the real services, and fakes for those that
// block in the operating system.
func (v *vm) startServices() {
	f := v.fleet
	seed := f.rng.Uint64()
	times := f.site.catalogSettings()
	v.packets = packets.New(packets.Config{
		Listen:        v.address(vmPort),
		Socket:        packetSocket{vm: v},
		Codec:         codec{},
		Headroom:      prefixSize,
		MaxPacketSize: headerSize,
		Forward:       forward.Config{Domain: f.site.Domains[v.node.domain], Seed: seed, ApplyWithin: times.ApplyWithin, Policy: f.balance},
	})
	v.relay = relay.New(relay.Config{
		Machine: decide.Config{
			Self: decide.Member{
				Name:          v.name,
				Domain:        f.site.Domains[v.node.domain],
				HeartbeatAddr: v.address(heartbeatPort),
				PullAddr:      v.address(pullPort),
			},
			MemberPrefix: memberPrefix,
			MaxAge:       times.MaxAge(),
			Seeds:        f.seeds(),
			Boot:         seed | 1,
			NoReports:    f.knowledgeAge > 0,
		},
		PermitPrefix: permitPrefix,
		ColdLimit:    coldstart.Limit{Overage: coldOverage, Slack: coldSlack},
		Decoder:      decoder{},
		Socket:       heartbeatSocket{vm: v},
	})
	v.client = newStoreClient(v, seed)
	v.kernel = kernel.NewStepped(f.stepper)
	services := []kernel.Service{
		v.packets, v.relay, v.client, v.readiness,
		&puller{baseService: baseService{pullsName}, vm: v},
		controlStub{baseService{controlName}}, &eventCounter{baseService: baseService{logsName}, vm: v},
	}
	for _, s := range services {
		if err := v.kernel.Register(s); err != nil {
			panic(err) // the names are constants
		}
	}
	if err := f.stepper.Add(v.kernel); err != nil {
		panic(err) // no service here has a blocker
	}
	v.client.scheduleCall(0)
}

// seeds returns the pull addresses of the first VMs.
func (f *fleet) seeds() (list []netip.AddrPort) {
	for _, v := range f.vms[:min(seedCount, len(f.vms))] {
		list = append(list, v.address(pullPort))
	}
	return list
}

// kill ends the VM's process immediately.
func (v *vm) kill() {
	if !v.up {
		return
	}
	v.up, v.paused = false, false
	v.socketBuffer = nil
	if v.kernel != nil {
		v.fleet.stepper.Remove(v.kernel)
	}
	v.kernel, v.packets, v.relay, v.client, v.baseline = nil, nil, nil, nil, nil
}

// restart starts the process after the restart delay, as the platform does when a
// process has ended.
func (v *vm) restart() {
	v.fleet.timeline.after(v.fleet.site.Bounds.RestartDelay.D(), v.start)
}

// stop shuts the process down gracefully, and then calls after.
func (v *vm) stop(after func()) {
	if !v.up || v.leaving {
		return
	}
	v.leaving = true
	v.readiness.Leave()
	if v.packets != nil {
		v.packets.StartLeaving()
	}
	generation := v.generation
	v.fleet.timeline.after(shutdownTime, func() {
		if v.generation == generation {
			v.kill()
			after()
		}
	})
}

// setPaused freezes or resumes the process.
func (v *vm) setPaused(paused bool) {
	v.paused = paused
	if v.kernel != nil {
		v.fleet.stepper.SetPaused(v.kernel, paused)
	}
}

// isReady reports whether a readiness check by the routers succeeds.
func (v *vm) isReady() bool {
	if !v.up || v.paused || v.leaving {
		return false
	}
	if v.baseline != nil {
		return v.baseline.view.Ready(v.fleet.timeline.now())
	}
	return v.readiness.isReady()
}

// checkReadiness emulates one readiness check by the routers.
func (v *vm) checkReadiness() {
	if v.isReady() {
		v.failedChecks = 0
		return
	}
	v.failedChecks++
}

// receive adds a packet to the socket buffer, or drops it if the buffer is full.
func (v *vm) receive(p flow.Packet) {
	if !v.up || len(v.socketBuffer) >= socketBufferPackets {
		return
	}
	v.socketBuffer = append(v.socketBuffer, p)
	v.deliverBuffered()
}

// deliverBuffered delivers buffered packets until the process does not accept one.
func (v *vm) deliverBuffered() {
	for len(v.socketBuffer) > 0 {
		if !v.deliver(v.socketBuffer[0]) {
			v.scheduleDelivery()
			return
		}
		v.socketBuffer = v.socketBuffer[1:]
	}
	v.bufferEmptyAt = v.fleet.timeline.now()
}

func (v *vm) scheduleDelivery() {
	if v.deliveryScheduled {
		return
	}
	v.deliveryScheduled = true
	v.fleet.timeline.after(redeliveryDelay, func() {
		v.deliveryScheduled = false
		v.deliverBuffered()
	})
}

func (v *vm) deliver(p flow.Packet) bool {
	if v.paused {
		return false
	}
	if v.baseline == nil {
		return v.packets.Deliver(encode(p), v.bufferEmptyAt)
	}
	if !v.isReady() && !v.leaving {
		return false
	}
	v.baseline.receive(v.fleet.timeline.now(), p)
	return true
}

// forward sends a packet to the target at an address. The target drops it if its number
// differs.
func (v *vm) forward(p flow.Packet, number uint64, to netip.AddrPort) {
	t := v.fleet.targets.byAddress[to]
	if t == nil {
		return
	}
	generation := v.generation
	v.fleet.network.send(&v.node, &t.node, func() { v.fleet.targets.receive(t, p, number, sender{vm: v, generation: generation}) })
}

// sendReset sends an RST to a caller.
func (v *vm) sendReset(p flow.Packet) {
	v.fleet.network.send(&v.node, callerNode(p.Flow), func() { v.fleet.callers.handleVMReset(v, p) })
}
