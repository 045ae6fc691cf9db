package forward

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
)

// maxTries is the maximum number of targets tried for one new flow: callers retransmit
// a SYN twice.
const maxTries = 3

// phase is the state of a flow as this VM sees it.
type phase uint8

const (
	opening phase = iota // only SYNs were seen
	open
	closing // the caller has sent a FIN
)

// record is the state of one flow at a VM. It is a hint: a VM without a record forwards
// by the cookie.
type record struct {
	untracked bool // not stored, since the table was full

	phase  phase
	target *catalog.Target       // of an opening flow, the one tried last
	tried  [maxTries]triedTarget // targets that a SYN was sent to, in order
	tries  int                   // number of them

	synSeq       uint32        // sequence number of the SYN, valid if tries > 0 or sawHandshake
	firstSYNAt   time.Duration // first SYN here
	synAt        time.Duration // last SYN that was placed or left out; not its duplicates
	repeated     bool          // a retransmitted SYN was left to target
	copied       bool          // its first SYN here was a copy: another VM may have got the one before
	sawHandshake bool          // adopted with what may be the end of its handshake; synSeq is valid then
	contested    bool          // it is in Forwarder.contested
	leftOut      bool          // the last SYN was not sent to target
	lastSeen     time.Duration // last packet
	unknownSince time.Duration // first packet with an unknown cookie; 0: none

	hasData    bool          // seqEnd is set
	seqEnd     uint32        // sequence number after the last data byte seen
	lastDataAt time.Duration // last data, new or retransmitted

	heldUntil time.Duration // all data of a held request is held until then
	heldSince time.Duration // when the request was first held; 0: it is not held
	requestAt time.Duration // first data of the request in progress
	ack       uint32        // highest acknowledgement number seen
	active    bool          // a request is in progress
	expired   bool          // that request no longer counts as load; see maxSilence

	requestAck     uint32    // ack when the request began
	requestSeen    bool      // requestAck is set
	countedFailure bool      // the request in progress was counted as failed
	baseline       *baseline // of the route; nil: not looked up yet

	retransmits int  // since the caller's last progress
	stuck       bool // counted as stuck since then
}

// triedTarget is a target that a SYN of a flow was sent to. It holds the flow as long as its process
// lives, which started at the given Unix millisecond; 0: not known.
type triedTarget struct {
	*catalog.Target
	born int64
}

// addTried records that a SYN of the flow was sent to a target, here or by another VM, if there is
// room.
func (r *record) addTried(t triedTarget) {
	if r.tries < maxTries {
		r.tried[r.tries] = t
		r.tries++
	}
}

// newer reports whether sequence number a is after b, modulo 2^32.
func newer(a, b uint32) bool { return int32(a-b) > 0 }

// flowTable holds at most capacity flow records.
type flowTable struct {
	capacity int
	records  map[flow.Key]*record
}

func newFlowTable(capacity int) *flowTable {
	return &flowTable{capacity: capacity, records: make(map[flow.Key]*record)}
}

func (t *flowTable) get(k flow.Key) *record { return t.records[k] }

// add returns a new record for k. If the table is full the record is not stored: the
// flow is forwarded by its cookie and does not count as load.
func (t *flowTable) add(k flow.Key, now time.Duration) *record {
	r := &record{lastSeen: now}
	if len(t.records) >= t.capacity {
		r.untracked = true
		return r
	}
	t.records[k] = r
	return r
}

func (t *flowTable) remove(k flow.Key) { delete(t.records, k) }
