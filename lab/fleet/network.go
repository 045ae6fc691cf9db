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
	// networkRing is the number of packets that may wait for the network duty.
	networkRing = 1 << 20
	// localLatency is the one-way latency inside a failure domain.
	localLatency = 100 * time.Microsecond
)

// outside is the place of callers: no failure domain, never cut.
const outside = ""

// endpoint receives messages from the network.
type endpoint struct {
	domain string
	put    func(m message.Message)
}

// packet is one message on its way.
type packet struct {
	from   string // failure domain of the sender
	sender message.Address
	m      message.Message
	due    time.Duration
	order  uint64 // of sending, so that equal times keep their order
}

// network is the fake of everything between the processes. Datagrams may be
// lost, repeated and reordered; control messages only break by cuts and deaths.
type network struct {
	options *Options
	rng     *rand.Rand
	gate    *kernel.Gate
	in      *kernel.Ring[packet]
	queue   packetQueue
	sent    uint64
	cut     map[string]bool // failure domains that reach only themselves and callers
	vms     map[message.VMID]*endpoint
	targets map[message.TargetID]*endpoint
	callers map[message.Address]*endpoint
	trace   *Trace
	// drop discards the messages that it accepts; nil discards none.
	drop func(message.Message) bool
	// controlBytes counts encoded control messages by sender.
	controlBytes map[message.VMID]uint64
}

func newNetwork(o *Options, rng *rand.Rand) *network {
	return &network{
		options:      o,
		rng:          rng,
		cut:          make(map[string]bool),
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
	n.in = kernel.NewRing[packet](k, "network.in", networkRing, kernel.DropNewest, n.gate)
	return nil
}

// Connect implements kernel.Service.
func (n *network) Connect(k *kernel.Kernel) error {
	k.AddDuty(kernel.Duty{Name: "network", Gate: n.gate, Step: n.step})
	return nil
}

// send takes a message from a node of a failure domain.
func (n *network) send(domain string, sender message.Address, m message.Message) {
	_ = n.in.Put(packet{from: domain, sender: sender, m: m})
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

// schedule sets the times at which copies of a packet arrive.
func (n *network) schedule(now time.Duration, p packet) {
	to := n.find(p.m.To)
	if to == nil || n.separated(p.from, to.domain) {
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
		n.push(p, now+n.latency(p.from, to.domain))
		return
	}
	if p.m.To.Kind == message.PeerTarget || p.sender.Kind == message.PeerTarget {
		// Targets drop copies by the contract of the datagram format, and share a
		// failure domain's network with their owner.
		n.push(p, now+n.latency(p.from, to.domain)+n.jitter())
		return
	}
	if n.rng.Float64() < n.options.Loss {
		return
	}
	n.push(p, now+n.latency(p.from, to.domain)+n.jitter())
	if n.rng.Float64() < n.options.Duplicate {
		n.push(p, now+n.latency(p.from, to.domain)+n.options.DuplicateDelay+n.jitter())
	}
}

func (n *network) push(p packet, due time.Duration) {
	n.sent++
	p.order = n.sent
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
	case a == outside || b == outside:
		return n.options.CallerLatency
	case a == b:
		return localLatency
	default:
		return n.options.DomainLatency
	}
}

// separated reports whether a cut lies between two places.
func (n *network) separated(a, b string) bool {
	if a == outside || b == outside || a == b {
		return false
	}
	return n.cut[a] || n.cut[b]
}

func (n *network) find(to message.Address) *endpoint {
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
	to := n.find(p.m.To)
	if to == nil || n.separated(p.from, to.domain) {
		return
	}
	to.put(message.Message{From: p.sender, To: p.m.To, Body: n.copyBody(p.m.Body)})
}

// copyBody passes a body through the codec, so that nodes share no memory and
// see what a real datagram carries.
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

// packetQueue is a heap by due time.
type packetQueue []packet

func (q packetQueue) Len() int      { return len(q) }
func (q packetQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q packetQueue) Less(i, j int) bool {
	if q[i].due != q[j].due {
		return q[i].due < q[j].due
	}
	return q[i].order < q[j].order
}

// Push implements heap.Interface.
func (q *packetQueue) Push(x any) { *q = append(*q, x.(packet)) }

// Pop implements heap.Interface.
func (q *packetQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
