package vm

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/admission"
	"github.com/gypsumspan/gypsumspan/decide/flowtable"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/notice"
)

const (
	// chunkRecords is the number of flow and log records in one handover chunk.
	chunkRecords = 400
	// chunkRequests is the number of queued requests in one handover chunk. With
	// 64 parts of 1,200 bytes each a chunk stays below 1 MiB.
	chunkRequests = 8
	// keptMessages bounds the messages that wait for a handover of one target or
	// the move of one group of flows.
	keptMessages = 1024
)

// outgoing is a handover that is being sent.
type outgoing struct {
	transfer uint64
	chunks   []*message.Handover
}

// incoming is a handover that is being received.
type incoming struct {
	from     message.VMID
	transfer uint64
	chunks   map[uint32]*message.Handover
	count    int // number of chunks, 0 until the last one has arrived
	kept     []*message.Forward
}

// keep stores a message until the handover is whole. It returns false when too
// many wait.
func (in *incoming) keep(f *message.Forward) bool {
	if len(in.kept) >= keptMessages {
		return false
	}
	in.kept = append(in.kept, f)
	return true
}

// startHandover stops dispatching and sends the whole state to the owner by order.
func (v *VM) startHandover(t *target) {
	t.outgoing = &outgoing{transfer: v.rng.Uint64()}
	t.outgoing.chunks = v.exportTarget(t, t.outgoing.transfer)
	v.counters.HandoversSent++
	v.trace.add(v, decision{action: actionHandover, target: t.id, vm: t.machine.Receiver()})
	v.sendHandover(t)
}

// sendHandover sends all chunks, the first time or again.
func (v *VM) sendHandover(t *target) {
	if t.outgoing == nil {
		return
	}
	for _, chunk := range t.outgoing.chunks {
		v.sendControl(t.machine.Receiver(), chunk)
	}
	t.machine.LastChunkSent()
}

// exportTarget returns the target's state in chunks.
func (v *VM) exportTarget(t *target, transfer uint64) []*message.Handover {
	b := chunkBuilder{target: t, transfer: transfer, reply: v.config.Self.Control}
	b.current().Epochs = slices.Clone(t.epochs)
	for _, f := range sortedFlows(t.flows) {
		record := f.Export(v.now, slices.Clone(f.Epochs))
		record.Floor = t.log.Floor(f.ID)
		b.addFlow(record)
	}
	for _, record := range t.log.Export(v.now, anyFlow) {
		b.addLog(record)
	}
	t.queue.Drain(func(item admission.Item) {
		if p := t.pending[item.Key]; p != nil {
			b.addQueued(queuedRequest(v.now, p))
		}
	})
	for _, p := range t.sortedPending() {
		if p.dispatched {
			b.addInFlight(message.InFlightRecord{
				Key: p.key, Attempt: p.attempt, Caller: p.caller, EndsIn: p.deadline - v.now,
			})
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(t.moved), compareFlows) {
		m := t.moved[id]
		b.addMoved(message.MovedRecord{Flow: id, To: m.to, EndsIn: m.until - v.now})
	}
	return b.finish()
}

func sortedFlows(flows *flowtable.Table) []*flowtable.Flow {
	list := make([]*flowtable.Flow, 0, flows.Len())
	flows.All(func(f *flowtable.Flow) bool {
		list = append(list, f)
		return true
	})
	slices.SortFunc(list, func(a, b *flowtable.Flow) int { return compareFlows(a.ID, b.ID) })
	return list
}

// queuedRequest returns a whole waiting request with the time it has left.
func queuedRequest(now time.Duration, p *pending) message.QueuedRequest {
	q := message.QueuedRequest{Caller: p.caller, Ingress: p.ingress}
	for _, part := range p.parts {
		copied := *part
		copied.Deadline = p.deadline - now
		q.Parts = append(q.Parts, copied)
	}
	return q
}

// chunkBuilder splits a handover into chunks of bounded size.
type chunkBuilder struct {
	target   *target
	transfer uint64
	reply    netip.AddrPort
	chunks   []*message.Handover
}

func (b *chunkBuilder) current() *message.Handover {
	if len(b.chunks) == 0 {
		b.open()
	}
	return b.chunks[len(b.chunks)-1]
}

func (b *chunkBuilder) open() {
	b.chunks = append(b.chunks, &message.Handover{
		Target:   b.target.id,
		Reply:    b.reply,
		Service:  b.target.service,
		Domain:   b.target.row.DomainID,
		Addr:     b.target.row.Addr,
		Limit:    b.target.row.Limit,
		Transfer: b.transfer,
		Chunk:    uint32(len(b.chunks)),
	})
}

// room returns the current chunk, or a new one if it is full.
func (b *chunkBuilder) room() *message.Handover {
	c := b.current()
	if len(c.Flows)+len(c.Log)+len(c.InFlight)+len(c.Moved) >= chunkRecords || len(c.Queue) >= chunkRequests {
		b.open()
	}
	return b.current()
}

func (b *chunkBuilder) addFlow(r message.FlowRecord) {
	c := b.room()
	c.Flows = append(c.Flows, r)
}

func (b *chunkBuilder) addLog(r message.LogRecord) {
	c := b.room()
	c.Log = append(c.Log, r)
}

func (b *chunkBuilder) addQueued(q message.QueuedRequest) {
	c := b.room()
	c.Queue = append(c.Queue, q)
}

func (b *chunkBuilder) addInFlight(r message.InFlightRecord) {
	c := b.room()
	c.InFlight = append(c.InFlight, r)
}

func (b *chunkBuilder) addMoved(r message.MovedRecord) {
	c := b.room()
	c.Moved = append(c.Moved, r)
}

func (b *chunkBuilder) finish() []*message.Handover {
	b.current().Last = true
	return b.chunks
}

// handoverAck handles the receiver's word on a transfer.
func (v *VM) handoverAck(m *message.HandoverAck) {
	if move := v.moves[m.Transfer]; move != nil {
		v.moveAck(move, m.Accepted)
		return
	}
	t := v.targets[m.Target]
	if t == nil || t.outgoing == nil || t.outgoing.transfer != m.Transfer || !m.Accepted {
		return
	}
	if !t.machine.Confirmed(v.now) {
		return
	}
	v.noteTarget(notice.TargetHandedOver, t, t.machine.Receiver(), t.flows.Len())
	v.keepInFlight(t, t.machine.Receiver())
	v.passOnParts(t)
	v.passOnAnswers(t, t.machine.Receiver(), t.id, anyFlow)
	v.handed[t.id] = handedTarget{to: t.machine.Receiver(), until: v.now + handedRetention}
	v.dropTarget(t)
}

// passOnParts sends the parts of unfinished answers that have already arrived to
// the new owner, which can't tell a whole answer without them.
func (v *VM) passOnParts(t *target) {
	for _, p := range t.sortedPending() {
		t.log.PartialAnswer(p.key, func(part *message.Answer) bool {
			v.passOnPart(v.handedInFlight[p.key], part)
			return true
		})
	}
}

// passOnAnswers sends the recorded answers of some flows to their new owner, which
// answers copies of the requests with them. Without them a caller that lost a part
// would learn that its request may have run.
func (v *VM) passOnAnswers(t *target, to message.VMID, at message.TargetID, filter func(message.FlowID) bool) {
	t.log.CompleteAnswers(filter, func(part *message.Answer) bool {
		released := &message.Released{Target: at, Answer: part}
		if to == v.config.Self.ID {
			v.restore(released)
			return true
		}
		v.sendControl(to, released)
		return true
	})
}

func anyFlow(message.FlowID) bool {
	return true
}

// handedRetention is how long a VM passes the packets of a target that it handed
// over to the receiver. Until then all VMs agree on the owner again.
const handedRetention = 5 * time.Second

// handedTarget is the VM that a target was handed over to.
type handedTarget struct {
	to    message.VMID
	until time.Duration
}

// keepInFlight remembers the requests in flight, so that what the target says about
// them reaches the new owner.
func (v *VM) keepInFlight(t *target, to message.VMID) {
	for key, p := range t.pending {
		if p.dispatched {
			v.handedInFlight[key] = handedRequest{target: t.id, to: to, addr: t.row.Addr, until: p.deadline + time.Second}
		}
	}
}
