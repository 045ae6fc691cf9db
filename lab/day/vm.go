package day

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/forward"
	decide "github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/packets"
	"github.com/gypsumspan/gypsumspan/services/relay"
)

const (
	// socketPackets is the number of packets that the buffer of a VM's socket holds.
	socketPackets = 800
	// retryDelay is the time after which waiting packets are offered again.
	retryDelay = time.Millisecond
	// leaveTime is the time between a stop signal and the end of a process: routers
	// notice, and packets stop.
	leaveTime = 2500 * time.Millisecond
	// seeds is the number of VMs whose addresses a VM has from its settings.
	seeds = 3
)

// vm is one VM. Its state but for the name is lost with its process.
type vm struct {
	fleet *fleet
	name  string
	ip    netip.Addr
	end   end

	started bool // at least once
	up      bool
	paused  bool
	leaving bool
	refused bool // the store answers others only
	removed bool // for good
	dark    time.Duration
	boots   int
	misses  int // checks of the routers
	trouble disturbance

	waiting  []flow.Packet // in the socket's buffer
	draining bool

	kernel   *kernel.Kernel
	packets  *packets.Service
	relay    *relay.Service
	client   *storeClient
	ready    *readySwitch
	baseline *baseline // instead of the services, for other policies

	beatBytes int // sent to other VMs
}

func (v *vm) number() uint64 {
	ip := v.ip.As4()
	return uint64(binary.BigEndian.Uint32(ip[:]))
}

func (v *vm) address(port uint16) netip.AddrPort { return netip.AddrPortFrom(v.ip, port) }

func (v *vm) reaches(e *end) bool { return v.fleet.network.reaches(&v.end, e) }

// start starts the VM's process.
func (v *vm) start() {
	if v.up || v.removed || v.fleet.timeline.now() < v.dark {
		return
	}
	v.started, v.up, v.leaving, v.paused = true, true, false, false
	v.boots++
	v.waiting = nil
	v.ready = newReadySwitch()
	if v.fleet.policy != Gypsumspan {
		v.baseline = newBaseline(v)
		return
	}
	v.startServices()
}

// startServices builds the VM's kernel with the real services and fakes of those
// that wait in the operating system.
func (v *vm) startServices() {
	f := v.fleet
	seed := f.rng.Uint64()
	times := f.site.catalog()
	v.packets = packets.New(packets.Config{
		Listen:    v.address(vmPort),
		Socket:    packetSocket{vm: v},
		Codec:     codec{},
		Headroom:  prefixSize,
		MaxPacket: headerSize,
		Forward:   forward.Config{Domain: f.site.Domains[v.end.domain], Seed: seed, ApplyWithin: times.ApplyWithin},
	})
	v.relay = relay.New(relay.Config{
		Machine: decide.Config{
			Self: decide.Member{
				Name:          v.name,
				Domain:        f.site.Domains[v.end.domain],
				HeartbeatAddr: v.address(beatsPort),
				PullAddr:      v.address(pullsPort),
			},
			MemberPrefix: memberPrefix,
			MaxAge:       times.MaxAge(),
			Seeds:        f.seeds(),
		},
		Decoder: decoder{},
		Socket:  beatSocket{vm: v},
	})
	v.client = newStoreClient(v, seed)
	v.kernel = kernel.NewStepped(f.stepper)
	services := []kernel.Service{
		v.packets, v.relay, v.client, v.ready,
		&puller{part: part{pullsName}, vm: v},
		muted{part{controlName}}, &eventCounter{part: part{logsName}, vm: v},
	}
	for _, s := range services {
		if err := v.kernel.Register(s); err != nil {
			panic(err) // the names are constants
		}
	}
	if err := f.stepper.Add(v.kernel); err != nil {
		panic(err) // no service here waits for anything outside
	}
	v.client.next(0)
}

// seeds returns the addresses for pulls of the first VMs.
func (f *fleet) seeds() (list []netip.AddrPort) {
	for _, v := range f.vms[:min(seeds, len(f.vms))] {
		list = append(list, v.address(pullsPort))
	}
	return list
}

// kill ends the VM's process at once.
func (v *vm) kill() {
	if !v.up {
		return
	}
	v.up, v.paused = false, false
	v.waiting = nil
	if v.kernel != nil {
		v.fleet.stepper.Remove(v.kernel)
	}
	v.kernel, v.packets, v.relay, v.client, v.baseline = nil, nil, nil, nil, nil
}

// restart starts the process again, as the platform does with one that has ended.
func (v *vm) restart() {
	v.fleet.timeline.after(v.fleet.site.Bounds.RestartDelay.D(), v.start)
}

// stop ends the process as planned, and then calls after.
func (v *vm) stop(after func()) {
	if !v.up || v.leaving {
		return
	}
	v.leaving = true
	v.ready.Leave()
	boot := v.boots
	v.fleet.timeline.after(leaveTime, func() {
		if v.boots == boot {
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

// isReady is the answer to a check of the routers.
func (v *vm) isReady() bool {
	if !v.up || v.paused || v.leaving {
		return false
	}
	if v.baseline != nil {
		return v.baseline.view.Ready(v.fleet.timeline.now())
	}
	return v.ready.isReady()
}

// check plays one check of the routers.
func (v *vm) check() {
	if v.isReady() {
		v.misses = 0
		return
	}
	v.misses++
}

// receive takes a packet into the socket's buffer.
func (v *vm) receive(p flow.Packet) {
	if !v.up || len(v.waiting) >= socketPackets {
		return
	}
	v.waiting = append(v.waiting, p)
	v.drain()
}

// drain hands waiting packets to the process.
func (v *vm) drain() {
	for len(v.waiting) > 0 {
		if !v.deliver(v.waiting[0]) {
			v.drainLater()
			return
		}
		v.waiting = v.waiting[1:]
	}
}

func (v *vm) drainLater() {
	if v.draining {
		return
	}
	v.draining = true
	v.fleet.timeline.after(retryDelay, func() {
		v.draining = false
		v.drain()
	})
}

func (v *vm) deliver(p flow.Packet) bool {
	if v.paused {
		return false
	}
	if v.baseline == nil {
		return v.packets.Deliver(encode(p))
	}
	if !v.isReady() && !v.leaving {
		return false
	}
	v.baseline.receive(v.fleet.timeline.now(), p)
	return true
}

// forward sends a packet to the target at an address.
func (v *vm) forward(p flow.Packet, number uint64, to netip.AddrPort) {
	t := v.fleet.targets.byAddress[to]
	if t == nil {
		return
	}
	boot := v.boots
	v.fleet.network.send(&v.end, &t.end, func() { v.fleet.targets.receive(t, p, number, sender{vm: v, boot: boot}) })
}

// reset sends a reset to a caller.
func (v *vm) reset(p flow.Packet) {
	v.fleet.network.send(&v.end, pathOf(p.Flow), func() { v.fleet.callers.resetBy(v, p) })
}
