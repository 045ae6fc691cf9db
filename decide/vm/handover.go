package vm

import (
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/admission"
	"github.com/gypsumspan/gypsumspan/decide/flowtable"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/notice"
	"github.com/gypsumspan/gypsumspan/decide/ownership"
	"github.com/gypsumspan/gypsumspan/decide/table"
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
	t.machine.SentLast()
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
	if len(c.Flows)+len(c.Log)+len(c.InFlight) >= chunkRecords || len(c.Queue) >= chunkRequests {
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

func (b *chunkBuilder) finish() []*message.Handover {
	b.current().Last = true
	return b.chunks
}

// receiveHandover collects the chunks of a handover and merges it when it is whole.
func (v *VM) receiveHandover(from message.Address, m *message.Handover) {
	t := v.receivingTarget(m)
	if t == nil {
		v.acknowledge(from.VM, m, false)
		return
	}
	if t.machine.Phase() == ownership.Sending && !v.settleCrossing(t, from.VM, m) {
		// The sender tries again, at this VM or at the next owner.
		return
	}
	if t.lastTransfer == m.Transfer {
		// The confirmation was lost.
		v.acknowledge(from.VM, m, true)
		return
	}
	if m.Source != 0 {
		v.receiveFlows(t, from.VM, m)
		return
	}
	if t.incoming == nil || t.incoming.transfer != m.Transfer {
		t.incoming = &incoming{
			from:     from.VM,
			transfer: m.Transfer,
			chunks:   make(map[uint32]*message.Handover),
			kept:     t.takeKept(),
		}
	}
	in := t.incoming
	in.chunks[m.Chunk] = m
	if m.Last {
		in.count = int(m.Chunk) + 1
	}
	if in.count == 0 || len(in.chunks) < in.count {
		return
	}
	v.mergeHandover(t, in)
	v.acknowledge(from.VM, m, true)
	v.noteTarget(notice.Received, t, from.VM, t.flows.Len())
	v.trace.add(v, decision{action: actionActivate, target: t.id, vm: from.VM})
	v.replayIncoming(t)
	v.pump(t)
}

// settleCrossing ends this VM's own handover when its receiver sends the target
// back before it has confirmed. It reports whether the other handover may be
// merged.
func (v *VM) settleCrossing(t *target, from message.VMID, m *message.Handover) bool {
	if from != t.machine.Receiver() || m.Source != 0 {
		return false
	}
	if slices.Contains(m.Epochs, t.epochs[0]) {
		// Only a VM that has merged this VM's transfer knows its epoch. What waited
		// here comes back in the other handover.
		v.dropWaitingRequests(t)
		t.outgoing = nil
		t.machine.Confirmed(v.now)
		return true
	}
	if v.config.Self.ID > from {
		return false
	}
	// Both send at once. The lower id gives up its epochs, because a copy of its
	// transfer may still be merged, and takes the other's state.
	v.revoke(t)
	t.machine.Confirmed(v.now)
	return true
}

// dropWaitingRequests forgets the requests that were not dispatched.
func (v *VM) dropWaitingRequests(t *target) {
	for key, p := range t.pending {
		if !p.dispatched {
			delete(t.pending, key)
		}
	}
}

// takeKept returns the messages that wait for an earlier try of the handover.
func (t *target) takeKept() []*message.Forward {
	if t.incoming == nil {
		return nil
	}
	return t.incoming.kept
}

// receivingTarget returns the state that a handover is merged into, or nil if
// this VM can't take it now.
func (v *VM) receivingTarget(m *message.Handover) *target {
	t := v.targets[m.Target]
	if m.Source != 0 {
		// Flows of another target: only an active owner can take them.
		if t == nil || t.machine.Phase() != ownership.Active || t.row.State == table.Leaving {
			return nil
		}
		return t
	}
	if t != nil {
		return t
	}
	if row, s := v.table.Target(m.Target); row != nil {
		return v.addTarget(s, *row)
	}
	s := v.table.Service(m.Service)
	if s == nil {
		return nil
	}
	row := table.Target{ID: m.Target, DomainID: m.Domain, Addr: m.Addr, Limit: m.Limit, State: table.Leaving}
	v.removed[row.ID] = removedTarget{row: row, service: s.ID, until: v.now + removedRetention}
	return v.addTarget(s, row)
}

func (v *VM) acknowledge(to message.VMID, m *message.Handover, accepted bool) {
	v.send(message.VMAddress(to, m.Reply), &message.HandoverAck{Target: m.Target, Transfer: m.Transfer, Accepted: accepted})
}

// mergeHandover adds the state of another owner: its stamps with their log, its
// flows, its queue and its slots in use.
func (v *VM) mergeHandover(t *target, in *incoming) {
	v.counters.HandoversReceived++
	t.lastTransfer = in.transfer
	for i := range in.count {
		c := in.chunks[uint32(i)]
		t.addEpochs(c.Epochs)
		v.importFlows(t, c)
	}
	for i := range in.count {
		c := in.chunks[uint32(i)]
		for _, r := range c.InFlight {
			v.importInFlight(t, r)
		}
	}
	t.machine.Received(v.now, in.from)
	for i := range in.count {
		v.importQueue(t, in.chunks[uint32(i)])
	}
}

func (v *VM) importQueue(t *target, c *message.Handover) {
	for i := range c.Queue {
		v.importQueued(t, &c.Queue[i])
	}
}

// importFlows adds flows with their floors and log entries.
func (v *VM) importFlows(t *target, c *message.Handover) {
	for _, r := range c.Flows {
		delete(t.moved, r.Flow)
		t.flows.Import(v.now, r)
		t.log.RaiseFloor(r.Flow, r.Floor)
	}
	t.log.Import(v.now, c.Log)
}

// importInFlight notes a request that the previous owner has at the target.
func (v *VM) importInFlight(t *target, r message.InFlightRecord) {
	if t.pending[r.Key] != nil {
		return
	}
	deadline := v.now + r.EndsIn
	t.queue.Occupy(r.Key, deadline)
	t.pending[r.Key] = &pending{
		key:        r.Key,
		attempt:    r.Attempt,
		kind:       noKind,
		caller:     r.Caller,
		deadline:   deadline,
		dispatched: true,
		sentAt:     v.now,
	}
	v.inFlight[r.Key] = t
}

// importQueued offers a request that waited at the previous owner. Its log entry
// came with the handover.
func (v *VM) importQueued(t *target, q *message.QueuedRequest) {
	if len(q.Parts) == 0 {
		return
	}
	first := &q.Parts[0]
	if t.pending[first.Key()] != nil {
		return
	}
	p := &pending{
		key:      first.Key(),
		attempt:  first.Attempt,
		kind:     first.Kind,
		caller:   q.Caller,
		ingress:  q.Ingress,
		deadline: v.now + first.Deadline,
	}
	for i := range q.Parts {
		p.parts = append(p.parts, &q.Parts[i])
	}
	t.pending[p.key] = p
	v.offer(t, p)
}

// replayIncoming serves the messages that waited for a handover.
func (v *VM) replayIncoming(t *target) {
	kept := t.takeKept()
	t.incoming = nil
	for _, f := range kept {
		v.handle(f)
	}
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
	v.noteTarget(notice.HandedOver, t, t.machine.Receiver(), t.flows.Len())
	v.keepRelays(t, t.machine.Receiver())
	v.passOnParts(t)
	v.passOnAnswers(t, t.machine.Receiver(), t.id, anyFlow)
	v.handed[t.id] = handedTarget{to: t.machine.Receiver(), until: v.now + handedRetention}
	v.dropTarget(t)
}

// passOnParts sends the parts of unfinished answers that have already arrived to
// the new owner, which can't tell a whole answer without them.
func (v *VM) passOnParts(t *target) {
	for _, p := range t.sortedPending() {
		t.log.Parts(p.key, func(part *message.Answer) bool {
			v.passOnPart(v.relays[p.key], part)
			return true
		})
	}
}

// passOnAnswers sends the recorded answers of some flows to their new owner, which
// answers copies of the requests with them. Without them a caller that lost a part
// would learn that its request may have run.
func (v *VM) passOnAnswers(t *target, to message.VMID, at message.TargetID, filter func(message.FlowID) bool) {
	t.log.Answers(filter, func(part *message.Answer) bool {
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

// keepRelays remembers the requests in flight, so that what the target says about
// them reaches the new owner.
func (v *VM) keepRelays(t *target, to message.VMID) {
	for key, p := range t.pending {
		if p.dispatched {
			v.relays[key] = relay{target: t.id, to: to, addr: t.row.Addr, until: p.deadline + time.Second}
		}
	}
}
