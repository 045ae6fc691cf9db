package forward

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
)

// maxTried is the number of targets that one opening may have been sent to: the
// first packet of a flow has two copies.
const maxTried = 3

// phase is how far a flow has come, as this VM sees it.
type phase uint8

const (
	opening phase = iota // only first packets were seen
	open
	closing // the caller has sent its last byte
)

// record is what a VM remembers of one flow. It is a hint: a VM without it
// forwards by the cookie.
type record struct {
	transient bool // not in the table

	phase   phase
	target  *catalog.Target // of an opening, the one that was asked last
	tried   [maxTried]*catalog.Target
	tries   int
	sentAt  time.Duration // of the last first packet
	seen    time.Duration // last packet
	unknown time.Duration // first packet with a cookie that no target has; 0: none

	sent   bool          // data was seen
	seqTo  uint32        // end of the data seen so far
	dataAt time.Duration // last packet with data

	heldTill  time.Duration // further data of a held request is held till then
	heldSince time.Duration // first time that the request was held; 0: it is not
	askedAt   time.Duration // first data of the request in progress
	ack       uint32        // highest acknowledgement seen
	busy      bool          // a request is in progress

	askedAck uint32 // highest acknowledgement at that data
	asked    bool   // a request was seen from its beginning
	judged   bool   // the request in progress was counted as a bad one
	usual    *usual // of the route

	repeats int // repeated packets since the caller's last progress
}

// newer reports whether sequence number a is after b, modulo 2^32.
func newer(a, b uint32) bool { return int32(a-b) > 0 }

// flowTable holds the records of a VM, at most capacity of them.
type flowTable struct {
	capacity int
	records  map[flow.Key]*record
}

func newFlowTable(capacity int) *flowTable {
	return &flowTable{capacity: capacity, records: make(map[flow.Key]*record)}
}

func (t *flowTable) get(k flow.Key) *record { return t.records[k] }

// add returns a new record for k. On a full table the record is not kept: the
// flow is forwarded by its cookie, and does not count as load.
func (t *flowTable) add(k flow.Key, now time.Duration) *record {
	r := &record{seen: now}
	if len(t.records) >= t.capacity {
		r.transient = true
		return r
	}
	t.records[k] = r
	return r
}

func (t *flowTable) remove(k flow.Key) { delete(t.records, k) }
