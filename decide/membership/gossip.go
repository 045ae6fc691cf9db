package membership

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// updateRounds is the number of rounds of heartbeats that carry a change. Acks
// carry it as long, so each link passes it at least twice.
const updateRounds = 2

// membersChunk is the largest number of records in one Members message, about 32 kB.
const membersChunk = 512

// gossip queues a record for the next rounds of heartbeats.
func (v *View) gossip(r *record) {
	if r.rounds == 0 {
		v.queue = append(v.queue, r)
	}
	r.rounds = updateRounds
}

// heartbeat sends a round of heartbeats when it is due.
func (v *View) heartbeat(now time.Duration) {
	if !v.roundDue(now) {
		return
	}
	v.lastRound = now
	v.nextRound = now + v.config.Interval
	v.urgent = false
	v.notified = false
	v.fillBatch()
	for i := range v.neighbours {
		n := &v.neighbours[i]
		v.sendHeartbeat(n.record, !n.knowsUs)
	}
	v.addBackground()
}

// roundDue reports whether heartbeats shall be sent now. With more changes
// waiting than one round carries, rounds are not sent early, to bound the traffic.
func (v *View) roundDue(now time.Duration) bool {
	if now >= v.nextRound || v.notified {
		return true
	}
	if !v.urgent || len(v.queue) > v.config.MaxUpdates {
		return false
	}
	return now-v.lastRound >= v.config.Interval/earlyDivisor
}

// fillBatch takes the records for the next round from the queue. With a long
// queue each record is sent in one round only.
func (v *View) fillBatch() {
	v.batch = nil
	n := min(len(v.queue), v.config.MaxUpdates)
	if n == 0 {
		return
	}
	backlog := len(v.queue) > v.config.MaxUpdates
	v.batch = make([]message.Member, 0, n)
	rest := append([]*record(nil), v.queue[n:]...)
	for _, r := range v.queue[:n] {
		v.batch = append(v.batch, gossipForm(r))
		r.rounds--
		if backlog {
			r.rounds = 0
		}
		if r.rounds > 0 {
			rest = append(rest, r)
		}
	}
	v.queue = rest
}

// gossipForm returns what gossip says about r: in full when it is alive, since
// the receiver may not know it yet.
func gossipForm(r *record) message.Member {
	if r.member.State == message.MemberAlive {
		return r.member
	}
	return short(r.member)
}

// addBackground adds one record to the round's first heartbeat, in turn over
// all records. It repairs in time what gossip has missed.
func (v *View) addBackground() {
	if len(v.neighbours) == 0 || len(v.order) < 2 {
		return
	}
	v.background = (v.background + 1) % len(v.order)
	r := v.order[v.background]
	if r == v.self || r.member.State == 0 {
		return
	}
	i := int(v.sequence) % len(v.neighbours)
	h := v.out[len(v.out)-len(v.neighbours)+i].Body.(*message.Heartbeat)
	h.Updates = append(h.Updates[:len(h.Updates):len(h.Updates)], r.member)
}

func (v *View) sendHeartbeat(r *record, full bool) {
	v.sequence++
	to := message.VMAddress(r.member.ID, r.member.Control)
	v.send(to, &message.Heartbeat{
		Sequence:     v.sequence,
		Self:         v.selfForm(full),
		Updates:      v.updatesFor(r, false),
		TableVersion: v.tableVersion,
		TableHash:    v.tableHash,
	})
}

func (v *View) selfForm(full bool) message.Member {
	if full {
		return v.self.member
	}
	return short(v.self.member)
}

// updatesFor returns the batch, and with it the receiver's own record if that is
// bad, so that the receiver can refute it at once, or if its sender must repeat it.
func (v *View) updatesFor(r *record, repeat bool) []message.Member {
	if !repeat && (r.member.State == 0 || r.member.State == message.MemberAlive) {
		return v.batch
	}
	m := short(r.member)
	if repeat {
		m.State = message.MemberDead
		m.Incarnation = 0
	}
	return append(v.batch[:len(v.batch):len(v.batch)], m)
}

func (v *View) receiveHeartbeat(now time.Duration, from message.Address, h *message.Heartbeat) {
	if !v.acceptSender(&h.Self) {
		return
	}
	v.merge(now, &h.Self, true)
	v.mergeAll(now, h.Updates, true)
	v.touch(now, h.Self.ID)
	r := v.records[h.Self.ID]
	repeat := r == nil || r.stale
	if r == nil {
		r = &record{member: h.Self}
	}
	if r.member.Control.IsValid() {
		from = message.VMAddress(r.member.ID, r.member.Control)
	}
	v.send(from, &message.HeartbeatAck{
		Sequence:     h.Sequence,
		Self:         v.selfForm(!isShort(&h.Self)),
		Updates:      v.updatesFor(r, repeat),
		TableVersion: v.tableVersion,
		TableHash:    v.tableHash,
	})
}

func (v *View) receiveAck(now time.Duration, from message.Address, a *message.HeartbeatAck) {
	if !v.acceptSender(&a.Self) {
		return
	}
	refutations := v.stats.Refutations
	v.lastAnswer = now
	v.noteAnswer(now, &a.Self)
	v.merge(now, &a.Self, true)
	v.mergeAll(now, a.Updates, true)
	v.touch(now, a.Self.ID)
	if n := v.neighbour(a.Self.ID); n != nil {
		n.knowsUs = !asksForSelf(a.Updates, v.self.member.ID)
	}
	r := v.records[a.Self.ID]
	if r != nil && v.stats.Refutations != refutations {
		v.sendHeartbeat(r, true)
	}
}

// acceptSender reports whether a message's sender describes itself sensibly and
// is another VM.
func (v *View) acceptSender(m *message.Member) bool {
	if m.ID == 0 || m.ID == v.self.member.ID || m.Incarnation == 0 {
		return false
	}
	return m.State == message.MemberAlive || m.State == message.MemberLeaving
}

// asksForSelf reports whether updates hold the record of incarnation 0 by which
// a receiver asks for a full record of the sender.
func asksForSelf(updates []message.Member, id message.VMID) bool {
	for i := range updates {
		if updates[i].ID == id && updates[i].Incarnation == 0 {
			return true
		}
	}
	return false
}

func (v *View) mergeAll(now time.Duration, list []message.Member, spread bool) {
	for i := range list {
		v.merge(now, &list[i], spread)
	}
}

// touch notes that a neighbour was heard from.
func (v *View) touch(now time.Duration, id message.VMID) {
	if n := v.neighbour(id); n != nil {
		n.lastAnswer = now
		n.answered = true
	}
}

// answerPull sends all reachable members. Dead ones are left out: they would
// bring out-of-date deaths over a healed partition.
func (v *View) answerPull(from message.Address) {
	to := v.replyTo(from)
	chunk := make([]message.Member, 0, min(v.reachable+1, membersChunk))
	for _, r := range v.order {
		if !isReachable(r.member.State) {
			continue
		}
		if len(chunk) == membersChunk {
			v.send(to, &message.Members{All: chunk})
			chunk = make([]message.Member, 0, membersChunk)
		}
		chunk = append(chunk, r.member)
	}
	v.send(to, &message.Members{All: chunk})
}

func (v *View) receiveMembers(now time.Duration, m *message.Members) {
	v.mergeAll(now, m.All, false)
	v.lastAnswer = now
	if !v.joined {
		v.joined = true
		v.repull = true
		v.nextPull = now + repullAfter
	}
}

// replyTo returns the control address of a sender. The address that a message
// came from may be the sender's end of a TCP link, where nothing listens; it is
// used only for senders without a known control address.
func (v *View) replyTo(from message.Address) message.Address {
	if r := v.records[from.VM]; r != nil && r.member.Control.IsValid() {
		return message.VMAddress(r.member.ID, r.member.Control)
	}
	return from
}

func (v *View) send(to message.Address, body message.Body) {
	v.out = append(v.out, message.Message{From: v.address(), To: to, Body: body})
}

func (v *View) address() message.Address {
	return message.VMAddress(v.self.member.ID, v.self.member.Control)
}
