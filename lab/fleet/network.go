package fleet

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/wire"
)

const (
	// networkRingSize is the capacity of the network's input ring, in packets.
	networkRingSize = 1 << 20
	// localLatency is the one-way latency within a failure domain.
	localLatency = 100 * time.Microsecond
)

// noDomain is the domain of callers. They are in no failure domain, so a partition never
// separates them from anything.
const noDomain = ""

// endpoint receives messages from the network.
type endpoint struct {
	domain string
	put    func(m message.Message)
}

// packet is a message in flight.
type packet struct {
	senderDomain string
	sender       message.Address
	m            message.Message
	due          time.Duration
	sequence     uint64 // order of sending, which breaks ties of due
}

// network is a fake of the network between the processes. Datagrams may be lost, duplicated
// and reordered; control messages are lost only by partitions and when a process dies.
type network struct {
	options      *Options
	rng          *rand.Rand
	gate         *kernel.Gate
	in           *kernel.Ring[packet]
	queue        packetQueue
	lastSequence uint64
	partitioned  map[string]bool // failure domains that reach only themselves and callers
	vms          map[message.VMID]*endpoint
	targets      map[message.TargetID]*endpoint
	callers      map[message.Address]*endpoint
	trace        *Trace
	// drop reports whether to discard a message; nil discards none.
	drop func(message.Message) bool
	// controlBytes is the encoded size of all control messages by sender.
	controlBytes map[message.VMID]uint64
}

func newNetwork(o *Options, rng *rand.Rand) *network {
	return &network{
		options:      o,
		rng:          rng,
		partitioned:  make(map[string]bool),
		vms:          make(map[message.VMID]*endpoint),
		targets:      make(map[message.TargetID]*endpoint),
		callers:      make(map[message.Address]*endpoint),
		controlBytes: make(map[message.VMID]uint64),
	}
}

// Name implements kernel.Service.
func (n *network) Name() string { return "network" }

// Dependencies implements kernel.Service.
func (n *network) Dependencies() []string { return nil }

// Setup implements kernel.Service.
func (n *network) Setup(k *kernel.Kernel) error {
	n.gate = kernel.NewGate()
	n.in = kernel.NewRing[packet](k, "network.in", networkRingSize, kernel.DropNewest, n.gate)
	return nil
}

// Connect implements kernel.Service.
func (n *network) Connect(k *kernel.Kernel) error {
	k.AddDuty(kernel.Duty{Name: "network", Gate: n.gate, Step: n.step})
	return nil
}

// send accepts a message from a process in a failure domain.
func (n *network) send(domain string, sender message.Address, m message.Message) {
	_ = n.in.Put(packet{senderDomain: domain, sender: sender, m: m})
}

func (n *network) step(now time.Duration) time.Duration {
	for {
		p, ok := n.in.Take()
		if !ok {
			break
		}
		n.schedule(now, p)
	}
	for len(n.queue) > 0 && n.queue[0].due <= now {
		n.deliver(heap.Pop(&n.queue).(packet))
	}
	if len(n.queue) == 0 {
		return kernel.Idle
	}
	return n.queue[0].due
}

// schedule queues a packet, and possibly a duplicate, at the time of its arrival. Loss,
// partitions and unknown receivers discard it.
func (n *network) schedule(now time.Duration, p packet) {
	to := n.findEndpoint(p.m.To)
	if to == nil || n.separated(p.senderDomain, to.domain) {
		return
	}
	if n.drop != nil && n.drop(p.m) {
		return
	}
	if n.trace != nil {
		n.trace.record(now, p.sender, p.m)
	}
	if message.IsControl(p.m.Body) {
		n.countControl(p)
		n.push(p, now+n.latency(p.senderDomain, to.domain))
		return
	}
	if p.m.To.Kind == message.PeerTarget || p.sender.Kind == message.PeerTarget {
		// Never lost or duplicated: targets discard duplicates as the datagram format
		// requires, and share the network of a failure domain with their owner.
		n.push(p, now+n.latency(p.senderDomain, to.domain)+n.jitter())
		return
	}
	if n.rng.Float64() < n.options.Loss {
		return
	}
	n.push(p, now+n.latency(p.senderDomain, to.domain)+n.jitter())
	if n.rng.Float64() < n.options.Duplicate {
		n.push(p, now+n.latency(p.senderDomain, to.domain)+n.options.DuplicateDelay+n.jitter())
	}
}

func (n *network) push(p packet, due time.Duration) {
	n.lastSequence++
	p.sequence = n.lastSequence
	p.due = due
	heap.Push(&n.queue, p)
}

func (n *network) jitter() time.Duration {
	if n.options.Jitter == 0 {
		return 0
	}
	return time.Duration(n.rng.Int64N(int64(n.options.Jitter)))
}

func (n *network) countControl(p packet) {
	data, err := wire.Append(nil, p.m.Body)
	if err != nil {
		panic(err)
	}
	n.controlBytes[p.sender.VM] += uint64(len(data))
}

func (n *network) latency(a, b string) time.Duration {
	switch {
	case a == noDomain || b == noDomain:
		return n.options.CallerLatency
	case a == b:
		return localLatency
	default:
		return n.options.DomainLatency
	}
}

// separated reports whether a partition separates two failure domains.
func (n *network) separated(a, b string) bool {
	if a == noDomain || b == noDomain || a == b {
		return false
	}
	return n.partitioned[a] || n.partitioned[b]
}

func (n *network) findEndpoint(to message.Address) *endpoint {
	switch to.Kind {
	case message.PeerVM:
		return n.vms[to.VM]
	case message.PeerTarget:
		return n.targets[to.Target]
	default:
		return n.callers[message.CallerAddress(to.Addr)]
	}
}

func (n *network) deliver(p packet) {
	to := n.findEndpoint(p.m.To)
	if to == nil || n.separated(p.senderDomain, to.domain) {
		return
	}
	to.put(message.Message{From: p.sender, To: p.m.To, Body: n.copyBody(p.m.Body)})
}

// copyBody encodes and decodes a body if Options.Codec is set, so that processes share no
// memory and receive exactly what a datagram carries.
func (n *network) copyBody(body message.Body) message.Body {
	if !n.options.Codec {
		return body
	}
	data, err := wire.Append(nil, body)
	if err != nil {
		panic(err)
	}
	decoded, err := wire.Decode(data)
	if err != nil {
		panic(err)
	}
	return decoded
}

// packetQueue is a min-heap by due time, then by order of sending.
type packetQueue []packet

func (q packetQueue) Len() int      { return len(q) }
func (q packetQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q packetQueue) Less(i, j int) bool {
	if q[i].due != q[j].due {
		return q[i].due < q[j].due
	}
	return q[i].sequence < q[j].sequence
}

// Push implements heap.Interface.
func (q *packetQueue) Push(x any) { *q = append(*q, x.(packet)) }

// Pop implements heap.Interface.
func (q *packetQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
