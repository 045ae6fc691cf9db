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

// gossip queues a record for the next rounds of heartbeats: for one round if it is
// of another failure domain, where a digest repairs what is missed. While another
// domain is checked as a whole it queues no more suspects of it than start checks.
func (v *View) gossip(now time.Duration, r *record) {
	other := v.isOther(r)
	bad := r.member.State == message.MemberSuspect || r.member.State == message.MemberDead
	if d := v.domain(r.member.Domain); bad && other && d.running && d.trouble() > enoughNews {
		return
	}
	if r.rounds == 0 && other {
		v.otherQueue = append(v.otherQueue, r)
	} else if r.rounds == 0 {
		v.queue = append(v.queue, r)
	}
	r.rounds = updateRounds
	if other {
		r.rounds = 1
	}
}

// heartbeat sends a round of heartbeats when it is due.
func (v *View) heartbeat(now time.Duration) {
	if !v.roundDue(now) {
		return
	}
	v.lastRound = now
	v.nextRound = now + v.config.Interval
	v.urgent = false
	v.urgentOther = false
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
	return now >= v.nextRound || v.notified || v.earlyRound(now)
}

// gossipForm returns what gossip says about r: in full when it is alive, since
// the receiver may not know it yet. A refutation is short, so that many of them
// fit into the budget.
func gossipForm(r *record) message.Member {
	if r.claimed {
		m := short(r.member)
		m.State = message.MemberDead
		return m
	}
	if r.member.State == message.MemberAlive && !r.stale {
		return r.member
	}
	return short(r.member)
}

// addBackground adds one record and the digest of one failure domain to one of
// the round's heartbeats, each in turn. They repair in time what gossip has missed.
func (v *View) addBackground() {
	if len(v.neighbours) == 0 || len(v.order) < 2 {
		return
	}
	// The sequence would choose the same neighbour in each round.
	v.rounds++
	i := v.rounds % len(v.neighbours)
	h := v.out[len(v.out)-len(v.neighbours)+i].Body.(*message.Heartbeat)
	v.addDigest(h)
	v.background = (v.background + 1) % len(v.order)
	r := v.order[v.background]
	if r == v.self || r.member.State == 0 || r.cut {
		return
	}
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
// A member whose domain was cut off need not refute: its answer brings it back.
func (v *View) updatesFor(r *record, repeat bool) []message.Member {
	if !repeat && (r.member.State == 0 || r.member.State == message.MemberAlive || r.cut) {
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
	v.contact(now, &h.Self)
	v.merge(now, &h.Self, true)
	v.mergeAll(now, h.Updates, true)
	v.touch(now, h.Self.ID)
	r := v.records[h.Self.ID]
	v.compareDigest(now, r, h)
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
	v.contact(now, &a.Self)
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
		n.vouched = 0
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
