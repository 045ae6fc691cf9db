package membership

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// updateRounds is the number of rounds of heartbeats that carry a change. Acks
// carry it for as long, so a change crosses each link at least twice.
const updateRounds = 2

// maxChunkMembers is the maximum number of records in one Members message, about
// 32 kB.
const maxChunkMembers = 512

// gossip queues a record for the next rounds of heartbeats. A paced record is sent
// in one round only: digests repair what is missed. While another domain is checked
// as a whole, no more of its suspects and deaths are queued than are enough for
// other VMs to start their checks.
func (v *View) gossip(now time.Duration, r *record) {
	paced := v.isPaced(r)
	failed := r.member.State == message.MemberSuspect || r.member.State == message.MemberDead
	if d := v.domain(r.member.Domain); failed && paced && d.checkRunning && d.recentFailures() > maxGossipedFailures {
		return
	}
	if r.roundsLeft == 0 && paced {
		v.pacedQueue = append(v.pacedQueue, r)
	} else if r.roundsLeft == 0 {
		v.queue = append(v.queue, r)
	}
	r.roundsLeft = updateRounds
	if paced {
		r.roundsLeft = 1
	}
}

// heartbeat sends a round of heartbeats, one to each neighbour, if it is due.
func (v *View) heartbeat(now time.Duration) {
	if !v.roundDue(now) {
		return
	}
	v.lastRound = now
	v.nextRound = now + v.config.Interval
	v.urgent = false
	v.urgentPaced = false
	v.heartbeatRequested = false
	v.fillBatch()
	for i := range v.neighbours {
		n := &v.neighbours[i]
		v.sendHeartbeat(n.record, !n.hasFullRecord)
	}
	v.addBackgroundSync()
}

// roundDue reports whether a round of heartbeats is due, and charges the budget for an
// early one. Rounds are not sent early if more changes are queued than fit into one, to
// bound the traffic.
func (v *View) roundDue(now time.Duration) bool {
	return now >= v.nextRound || v.heartbeatRequested || v.earlyRound(now)
}

// gossipForm returns r's record as it is gossiped. An alive member is sent in full,
// since the receiver may not know it yet. A refutation, of which only the short form
// was received, stays short, so that many of them fit into the budget. A death that
// others claimed and this VM is still verifying is passed on as a death.
func gossipForm(r *record) message.Member {
	if r.deathClaimed {
		m := short(r.member)
		m.State = message.MemberDead
		return m
	}
	if r.member.State == message.MemberAlive && !r.staleAddresses {
		return r.member
	}
	return short(r.member)
}

// addBackgroundSync adds one record and the digest of one failure domain to one of
// the round's heartbeats. Heartbeats, records and domains take turns, so that over
// time they repair what gossip has missed (anti-entropy).
func (v *View) addBackgroundSync() {
	if len(v.neighbours) == 0 || len(v.order) < 2 {
		return
	}
	// The sequence number is no use here: it would select the same neighbour in each round.
	v.roundCount++
	i := v.roundCount % len(v.neighbours)
	h := v.out[len(v.out)-len(v.neighbours)+i].Body.(*message.Heartbeat)
	v.addDigest(h)
	v.backgroundIndex = (v.backgroundIndex + 1) % len(v.order)
	r := v.order[v.backgroundIndex]
	if r == v.self || r.member.State == 0 || r.diedWithDomain {
		return
	}
	h.Updates = append(h.Updates[:len(h.Updates):len(h.Updates)], r.member)
}

// sendHeartbeat sends a heartbeat to r, with this VM's own record in full or short form.
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

// selfForm returns this VM's own record in full or short form.
func (v *View) selfForm(full bool) message.Member {
	if full {
		return v.self.member
	}
	return short(v.self.member)
}

// updatesFor returns the updates for a message to r: the batch and, if r is suspect,
// leaving or dead, its own record, so that it can refute it at once. With requestFull
// set the record has incarnation 0, which requests r's full record. A member that
// died with its domain need not refute: its answer restores it.
func (v *View) updatesFor(r *record, requestFull bool) []message.Member {
	if !requestFull && (r.member.State == 0 || r.member.State == message.MemberAlive || r.diedWithDomain) {
		return v.batch
	}
	m := short(r.member)
	if requestFull {
		m.State = message.MemberDead
		m.Incarnation = 0
	}
	return append(v.batch[:len(v.batch):len(v.batch)], m)
}

func (v *View) receiveHeartbeat(now time.Duration, from message.Address, h *message.Heartbeat) {
	if !v.acceptSender(&h.Self) {
		return
	}
	v.recordContact(now, &h.Self)
	v.merge(now, &h.Self, true)
	v.mergeAll(now, h.Updates, true)
	v.recordAnswer(now, h.Self.ID)
	r := v.records[h.Self.ID]
	v.compareDigest(now, r, h)
	requestFull := r == nil || r.staleAddresses
	if r == nil {
		r = &record{member: h.Self}
	}
	if r.member.Control.IsValid() {
		from = message.VMAddress(r.member.ID, r.member.Control)
	}
	v.send(from, &message.HeartbeatAck{
		Sequence:     h.Sequence,
		Self:         v.selfForm(!isShort(&h.Self)),
		Updates:      v.updatesFor(r, requestFull),
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
	v.detectHeal(now, &a.Self)
	v.recordContact(now, &a.Self)
	v.merge(now, &a.Self, true)
	v.mergeAll(now, a.Updates, true)
	v.recordAnswer(now, a.Self.ID)
	if n := v.neighbour(a.Self.ID); n != nil {
		n.hasFullRecord = !requestsFullRecord(a.Updates, v.self.member.ID)
	}
	r := v.records[a.Self.ID]
	if r != nil && v.stats.Refutations != refutations {
		v.sendHeartbeat(r, true)
	}
}

// acceptSender reports whether m is a valid record of another VM about itself.
func (v *View) acceptSender(m *message.Member) bool {
	if m.ID == 0 || m.ID == v.self.member.ID || m.Incarnation == 0 {
		return false
	}
	return m.State == message.MemberAlive || m.State == message.MemberLeaving
}

// requestsFullRecord reports whether updates contain a record of id with incarnation
// 0, which requests the full record of that VM.
func requestsFullRecord(updates []message.Member, id message.VMID) bool {
	for i := range updates {
		if updates[i].ID == id && updates[i].Incarnation == 0 {
			return true
		}
	}
	return false
}

func (v *View) mergeAll(now time.Duration, list []message.Member, forward bool) {
	for i := range list {
		v.merge(now, &list[i], forward)
	}
}

// recordAnswer records a message from a neighbour.
func (v *View) recordAnswer(now time.Duration, id message.VMID) {
	if n := v.neighbour(id); n != nil {
		n.lastAnswer = now
		n.answered = true
		n.refutations = 0
	}
}

// answerPull sends all reachable members. Dead ones are left out: they would carry
// outdated deaths across a healed partition.
func (v *View) answerPull(from message.Address) {
	to := v.replyTo(from)
	chunk := make([]message.Member, 0, min(v.reachableCount+1, maxChunkMembers))
	for _, r := range v.order {
		if !isReachable(r.member.State) {
			continue
		}
		if len(chunk) == maxChunkMembers {
			v.send(to, &message.Members{All: chunk})
			chunk = make([]message.Member, 0, maxChunkMembers)
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
		v.secondPullDue = true
		v.nextPull = now + secondPullDelay
	}
}

// replyTo returns the control address of a sender. The source address of a message
// may be the sender's end of a TCP connection, on which nothing listens; it is used
// only for senders without a known control address.
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
