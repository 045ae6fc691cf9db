package day

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/flow"
)

const (
	// windowPackets is the send window: the number of packets that may be in flight.
	windowPackets = 16
	// minRetransmitDelay and maxRetransmitDelay bound the retransmission timeout, which
	// doubles with each retransmission.
	minRetransmitDelay = 200 * time.Millisecond
	maxRetransmitDelay = 1600 * time.Millisecond
	// maxRetransmits is the number of retransmissions after which a target drops a flow.
	maxRetransmits = 8
)

// conn is the state of a flow at its target.
type conn struct {
	target      *target
	key         flow.Key
	cookie      flow.Cookie
	initialSeq  uint32 // of the SYN-ACK
	established bool
	expectedSeq uint32 // next byte expected from the caller

	ackedSeq, nextSeq, endSeq uint32 // of the answer: acknowledged, sent, and its end
	outcome                   outcome
	closing                   bool // the flow ends with the current answer
	timerID                   int  // the current retransmission timer; earlier ones are void
	retransmits               int
}

// seqAfter reports whether sequence number a is after b, modulo 2^32.
func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }

// receive processes a packet from the flow's caller.
func (c *conn) receive(p flow.Packet) {
	c.cookie = p.Cookie
	if !c.established {
		if p.Ack != c.initialSeq+1 {
			// The packet acknowledges the SYN-ACK of another target, at which the flow is open.
			return
		}
		c.established = true
		c.target.targets.oracle.handshakeDone(c.target, c.key)
	}
	if seqAfter(p.Ack, c.ackedSeq) && !seqAfter(p.Ack, c.nextSeq) {
		c.ackedSeq = p.Ack
		c.retransmits = 0
		c.transmit()
	}
	if p.Flags.Has(flow.FIN) {
		delete(c.target.conns, c.key)
		return
	}
	if p.Len == 0 {
		return
	}
	if p.Seq != c.expectedSeq {
		c.target.send(c.key, targetPacket{flags: flow.ACK, seq: c.ackedSeq, ack: c.expectedSeq, cookie: c.cookie})
		return
	}
	c.expectedSeq += uint32(p.Len)
	if r := c.target.targets.callers.requestOf(c.key); r != nil {
		c.target.admit(&job{conn: c, request: r})
	}
}

// sendAnswer answers the flow's SYN.
func (c *conn) sendAnswer() {
	t := c.target
	if t.targets.answerLoss > 0 && t.targets.lossRNG.Float64() < t.targets.answerLoss {
		return
	}
	t.send(c.key, targetPacket{flags: flow.SYN | flow.ACK, seq: c.initialSeq, ack: c.expectedSeq, cookie: c.cookie})
}

// repeatAnswer repeats the answer to the SYN until the caller acknowledges it, or drops the flow.
func (c *conn) repeatAnswer(repeats int) {
	c.target.targets.timeline.after(retransmitDelay(repeats), func() {
		if c.established || c.target.conns[c.key] != c {
			return
		}
		if repeats == maxRetransmits {
			delete(c.target.conns, c.key)
			return
		}
		c.sendAnswer()
		c.repeatAnswer(repeats + 1)
	})
}

// respond starts an answer of n bytes.
func (c *conn) respond(n int, o outcome) {
	c.endSeq = c.nextSeq + uint32(n)
	c.outcome = o
	c.closing = c.target.draining
	c.retransmits = 0
	c.transmit()
}

// transmit sends the data that fits into the send window.
func (c *conn) transmit() {
	for seqAfter(c.endSeq, c.nextSeq) && c.nextSeq-c.ackedSeq < windowPackets*maxData {
		n := min(c.endSeq-c.nextSeq, maxData)
		c.sendData(c.nextSeq, int(n))
		c.nextSeq += n
	}
	c.timerID++
	if c.ackedSeq == c.endSeq {
		if c.closing {
			delete(c.target.conns, c.key)
		}
		return
	}
	c.armRetransmit()
}

func (c *conn) sendData(from uint32, n int) {
	flags := flow.ACK
	if c.closing && from+uint32(n) == c.endSeq {
		flags |= flow.FIN
	}
	c.target.send(c.key, targetPacket{flags: flags, seq: from, dataLen: n, ack: c.expectedSeq, cookie: c.cookie, outcome: c.outcome})
}

// armRetransmit starts the retransmission timer of the first unacknowledged packet.
func (c *conn) armRetransmit() {
	timerID := c.timerID
	c.target.targets.timeline.after(retransmitDelay(c.retransmits), func() {
		if timerID != c.timerID || c.target.conns[c.key] != c {
			return
		}
		c.retransmits++
		if c.retransmits > maxRetransmits {
			delete(c.target.conns, c.key)
			return
		}
		c.sendData(c.ackedSeq, int(min(c.nextSeq-c.ackedSeq, maxData)))
		c.armRetransmit()
	})
}

func retransmitDelay(retransmits int) time.Duration {
	return min(minRetransmitDelay<<min(retransmits, maxRetransmits), maxRetransmitDelay)
}
