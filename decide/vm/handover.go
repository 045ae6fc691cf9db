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
	// maxChunkRecords is the number of flow, log, in-flight and move records in one
	// handover chunk.
	maxChunkRecords = 400
	// maxChunkRequests is the number of queued requests in one handover chunk. With 64
	// parts of 1,200 bytes each a chunk stays below 1 MiB.
	maxChunkRequests = 8
	// maxBufferedMessages bounds the messages buffered for a handover of one target or for
	// the move of one group of flows.
	maxBufferedMessages = 1024
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
	count    int // number of chunks, 0 until the last chunk has arrived
	buffered []*message.Forward
}

// buffer stores a message until the handover is complete. It returns false when the buffer
// is full.
func (in *incoming) buffer(f *message.Forward) bool {
	if len(in.buffered) >= maxBufferedMessages {
		return false
	}
	in.buffered = append(in.buffered, f)
	return true
}

// startHandover stops dispatch and sends the whole state of a target to its designated
// owner.
func (v *VM) startHandover(t *target) {
	t.outgoing = &outgoing{transfer: v.rng.Uint64()}
	t.outgoing.chunks = v.exportTarget(t, t.outgoing.transfer)
	v.counters.HandoversSent++
	v.trace.add(v, decision{action: actionHandover, target: t.id, vm: t.machine.Receiver()})
	v.sendHandover(t)
}

// sendHandover sends or retransmits all chunks of the outgoing handover.
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
	b.currentChunk().Epochs = slices.Clone(t.epochs)
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

// queuedRequest returns the record of a complete waiting request with its remaining time.
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

func (b *chunkBuilder) currentChunk() *message.Handover {
	if len(b.chunks) == 0 {
		b.openChunk()
	}
	return b.chunks[len(b.chunks)-1]
}

func (b *chunkBuilder) openChunk() {
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

// chunkWithRoom returns the current chunk, or a new one if it is full.
func (b *chunkBuilder) chunkWithRoom() *message.Handover {
	c := b.currentChunk()
	if len(c.Flows)+len(c.Log)+len(c.InFlight)+len(c.Moved) >= maxChunkRecords || len(c.Queue) >= maxChunkRequests {
		b.openChunk()
	}
	return b.currentChunk()
}

func (b *chunkBuilder) addFlow(r message.FlowRecord) {
	c := b.chunkWithRoom()
	c.Flows = append(c.Flows, r)
}

func (b *chunkBuilder) addLog(r message.LogRecord) {
	c := b.chunkWithRoom()
	c.Log = append(c.Log, r)
}

func (b *chunkBuilder) addQueued(q message.QueuedRequest) {
	c := b.chunkWithRoom()
	c.Queue = append(c.Queue, q)
}

func (b *chunkBuilder) addInFlight(r message.InFlightRecord) {
	c := b.chunkWithRoom()
	c.InFlight = append(c.InFlight, r)
}

func (b *chunkBuilder) addMoved(r message.MovedRecord) {
	c := b.chunkWithRoom()
	c.Moved = append(c.Moved, r)
}

func (b *chunkBuilder) finish() []*message.Handover {
	b.currentChunk().Last = true
	return b.chunks
}

// handleHandoverAck handles the receiver's answer to a handover or a move. A rejected move
// ends at once, while a rejected handover is repeated like an unconfirmed one.
func (v *VM) handleHandoverAck(m *message.HandoverAck) {
	if move := v.movesByTransfer[m.Transfer]; move != nil {
		v.finishMove(move, m.Accepted)
		return
	}
	t := v.targets[m.Target]
	if t == nil || t.outgoing == nil || t.outgoing.transfer != m.Transfer || !m.Accepted {
		return
	}
	if !t.machine.Confirmed(v.now) {
		return
	}
	v.addTargetNotice(notice.TargetHandedOver, t, t.machine.Receiver(), t.flows.Len())
	v.recordHandedOverInFlight(t, t.machine.Receiver())
	v.forwardPartialAnswers(t)
	v.forwardCompleteAnswers(t, t.machine.Receiver(), t.id, anyFlow)
	v.handedOver[t.id] = handedOverTarget{to: t.machine.Receiver(), until: v.now + handedOverRetention}
	v.dropTarget(t)
}

// forwardPartialAnswers sends the recorded parts of incomplete answers to the new owner,
// which can't complete the answers without them.
func (v *VM) forwardPartialAnswers(t *target) {
	for _, p := range t.sortedPending() {
		t.log.PartialAnswer(p.key, func(part *message.Answer) bool {
			v.forwardAnswerPart(v.handedOverInFlight[p.key], part)
			return true
		})
	}
}

// forwardCompleteAnswers sends the recorded answers of the flows that filter accepts to
// their new owner, which replays them to retransmissions of the requests. Without them a
// caller that lost a part would be refused with MayHaveRun.
func (v *VM) forwardCompleteAnswers(t *target, to message.VMID, at message.TargetID, filter func(message.FlowID) bool) {
	t.log.CompleteAnswers(filter, func(part *message.Answer) bool {
		released := &message.Released{Target: at, Answer: part}
		if to == v.config.Self.ID {
			v.restoreAnswerPart(released)
			return true
		}
		v.sendControl(to, released)
		return true
	})
}

func anyFlow(message.FlowID) bool {
	return true
}

// handedOverRetention is how long a VM forwards the packets of a target that it handed
// over to the receiver. By then all VMs agree on the owner again.
const handedOverRetention = 5 * time.Second

// handedOverTarget records the VM that a target was handed over to.
type handedOverTarget struct {
	to    message.VMID
	until time.Duration
}

// recordHandedOverInFlight records the requests in flight until one second after their
// deadlines, so that the target's answers to them are forwarded to the new owner.
func (v *VM) recordHandedOverInFlight(t *target, to message.VMID) {
	for key, p := range t.pending {
		if p.dispatched {
			v.handedOverInFlight[key] = handedOverRequest{target: t.id, to: to, addr: t.row.Addr, until: p.deadline + time.Second}
		}
	}
}
