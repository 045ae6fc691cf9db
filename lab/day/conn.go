package day

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/flow"
)

const (
	// window is the number of packets that may be in flight.
	window = 16
	// firstResend and lastResend bound the time after which a packet without an
	// acknowledgement is sent again; it doubles.
	firstResend = 200 * time.Millisecond
	lastResend  = 1600 * time.Millisecond
	// maxResends is the number of repeats after which a target gives a flow up.
	maxResends = 8
)

// conn is a flow at a target.
type conn struct {
	target *target
	key    flow.Key
	cookie flow.Cookie
	seq    uint32 // of the answer to the first packet
	open   bool
	expect uint32 // next byte of the caller

	acked, next, end uint32 // the answer: acknowledged, sent, and to send
	outcome          outcome
	closing          bool // the flow ends with the present answer
	timer            int  // number of the present timer
	resends          int
}

// newer reports whether sequence number a is after b, modulo 2^32.
func newer(a, b uint32) bool { return int32(a-b) > 0 }

// receive takes a packet of the flow's caller.
func (c *conn) receive(p flow.Packet) {
	c.cookie = p.Cookie
	if !c.open {
		if p.Ack != c.seq+1 {
			// The caller has opened the flow at another target.
			return
		}
		c.open = true
		c.target.targets.oracle.handshake(c.target, c.key)
	}
	if newer(p.Ack, c.acked) && !newer(p.Ack, c.next) {
		c.acked = p.Ack
		c.resends = 0
		c.transmit()
	}
	if p.Flags.Has(flow.FIN) {
		delete(c.target.conns, c.key)
		return
	}
	if p.Len == 0 {
		return
	}
	if p.Seq != c.expect {
		c.target.send(c.key, answer{flags: flow.ACK, seq: c.acked, ack: c.expect, cookie: c.cookie})
		return
	}
	c.expect += uint32(p.Len)
	if r := c.target.targets.callers.requestOf(c.key); r != nil {
		c.target.begin(&work{conn: c, request: r})
	}
}

// respond sends an answer of n bytes.
func (c *conn) respond(n int, o outcome) {
	c.end = c.next + uint32(n)
	c.outcome = o
	c.closing = c.target.draining
	c.resends = 0
	c.transmit()
}

// transmit sends what the window has room for.
func (c *conn) transmit() {
	for newer(c.end, c.next) && c.next-c.acked < window*maxData {
		n := min(c.end-c.next, maxData)
		c.sendData(c.next, int(n))
		c.next += n
	}
	c.timer++
	if c.acked == c.end {
		if c.closing {
			delete(c.target.conns, c.key)
		}
		return
	}
	c.arm()
}

func (c *conn) sendData(from uint32, n int) {
	flags := flow.ACK
	if c.closing && from+uint32(n) == c.end {
		flags |= flow.FIN
	}
	c.target.send(c.key, answer{flags: flags, seq: from, n: n, ack: c.expect, cookie: c.cookie, outcome: c.outcome})
}

// arm repeats the first packet without an acknowledgement when its time is over.
func (c *conn) arm() {
	timer := c.timer
	c.target.targets.timeline.after(resendAfter(c.resends), func() {
		if timer != c.timer || c.target.conns[c.key] != c {
			return
		}
		c.resends++
		if c.resends > maxResends {
			delete(c.target.conns, c.key)
			return
		}
		c.sendData(c.acked, int(min(c.next-c.acked, maxData)))
		c.arm()
	})
}

func resendAfter(repeats int) time.Duration {
	return min(firstResend<<min(repeats, maxResends), lastResend)
}
