// Package flowtable stores the flows of one owned target. Their floors are in the request
// log of the target.
package flowtable

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// MaxEpochs is the number of epochs of earlier targets that one flow accepts. Each move of
// a flow adds those of the target that it leaves, and only the newest remain.
const MaxEpochs = 4

// Flow is one flow of the target.
type Flow struct {
	ID       message.FlowID
	Service  message.ServiceID
	LastSeen time.Duration
	Fresh    bool            // no request of the flow was sent to the target yet
	Epochs   []message.Epoch // accepted epochs besides the target's own
}

// Accepts reports whether the flow accepts an epoch of an earlier target.
func (f *Flow) Accepts(e message.Epoch) bool {
	return slices.Contains(f.Epochs, e)
}

// AddEpochs adds accepted epochs. Only the newest MaxEpochs remain.
func (f *Flow) AddEpochs(epochs []message.Epoch) {
	for _, e := range epochs {
		if !f.Accepts(e) {
			f.Epochs = append(f.Epochs, e)
		}
	}
	f.Epochs = newest(f.Epochs)
}

// mergeEpochs adds the epochs of a record, the newest last. Those that the record lists
// before an epoch that the flow accepts are older than it. A record that is merged again
// changes nothing, also after newer epochs were added.
func (f *Flow) mergeEpochs(record []message.Epoch) {
	record = newest(record)
	known := -1
	for i, e := range record {
		if f.Accepts(e) {
			known = i
		}
	}
	if known < 0 {
		f.AddEpochs(record)
		return
	}
	var older []message.Epoch
	for _, e := range record[:known] {
		if !f.Accepts(e) {
			older = append(older, e)
		}
	}
	f.Epochs = newest(slices.Concat(older, f.Epochs, record[known+1:]))
}

// newest returns the last MaxEpochs of epochs.
func newest(epochs []message.Epoch) []message.Epoch {
	return epochs[max(0, len(epochs)-MaxEpochs):]
}

// Table stores the flows of one target. It is not safe for concurrent use.
type Table struct {
	idleTimeout time.Duration
	flows       map[message.FlowID]*Flow
	closedUntil map[message.FlowID]time.Duration // until when a closed flow must not be reopened
	nextSweep   time.Duration
}

// Times of a flow table.
const (
	// closedRetention is how long a closed flow is recorded at least, so that a delayed
	// duplicate of one of its datagrams can't reopen it. The next sweep removes the record.
	closedRetention = time.Minute
	// sweepInterval is the time between two searches for idle flows and for records of
	// closed flows that have expired.
	sweepInterval = 30 * time.Second
)

// New returns an empty table whose flows expire after idleTimeout without a packet, at the
// next sweep.
func New(idleTimeout time.Duration) *Table {
	return &Table{
		idleTimeout: idleTimeout,
		flows:       make(map[message.FlowID]*Flow),
		closedUntil: make(map[message.FlowID]time.Duration),
	}
}

// Len returns the number of flows.
func (t *Table) Len() int {
	return len(t.flows)
}

// Get returns a flow, or nil.
func (t *Table) Get(id message.FlowID) *Flow {
	return t.flows[id]
}

// Touch records a packet of the flow at now.
func (t *Table) Touch(now time.Duration, f *Flow) {
	f.LastSeen = now
}

// Open returns the flow, adding it if it is new. It returns nil for a recently closed
// flow.
func (t *Table) Open(now time.Duration, service message.ServiceID, id message.FlowID, fresh bool) *Flow {
	if f := t.flows[id]; f != nil {
		f.LastSeen = now
		return f
	}
	if _, ok := t.closedUntil[id]; ok {
		return nil
	}
	f := &Flow{ID: id, Service: service, LastSeen: now, Fresh: fresh}
	t.flows[id] = f
	return f
}

// Close removes a flow and prevents Open from adding it again for closedRetention, even if
// it was not in the table. It reports whether it was.
func (t *Table) Close(now time.Duration, id message.FlowID) bool {
	_, ok := t.flows[id]
	delete(t.flows, id)
	t.closedUntil[id] = now + closedRetention
	return ok
}

// RecentlyClosed reports whether the flow is recorded as closed: within closedRetention, and
// afterwards until the next sweep.
func (t *Table) RecentlyClosed(id message.FlowID) bool {
	_, ok := t.closedUntil[id]
	return ok
}

// Remove removes a flow, for example because it moved to another target.
func (t *Table) Remove(id message.FlowID) {
	delete(t.flows, id)
}

// Clear removes all flows. Records of closed flows stay.
func (t *Table) Clear() {
	clear(t.flows)
}

// All calls yield for every flow in no particular order, until it returns false.
func (t *Table) All(yield func(*Flow) bool) {
	for _, f := range t.flows {
		if !yield(f) {
			return
		}
	}
}

// Expire removes idle flows, calling removed for each, and forgets closed ones after
// closedRetention. It does nothing between two sweeps.
func (t *Table) Expire(now time.Duration, removed func(*Flow)) {
	if now < t.nextSweep {
		return
	}
	t.nextSweep = now + sweepInterval
	for id, until := range t.closedUntil {
		if now >= until {
			delete(t.closedUntil, id)
		}
	}
	for id, f := range t.flows {
		if now-f.LastSeen >= t.idleTimeout {
			delete(t.flows, id)
			removed(f)
		}
	}
}

// Export returns the record of a flow for a handover, without its floor. epochs are the
// epochs that the receiver must accept for the flow.
func (f *Flow) Export(now time.Duration, epochs []message.Epoch) message.FlowRecord {
	return message.FlowRecord{
		Flow:    f.ID,
		Service: f.Service,
		Idle:    now - f.LastSeen,
		Fresh:   f.Fresh,
		Epochs:  epochs,
	}
}

// Import adds a flow from a handover or merges it into an existing one. It returns nil for
// a recently closed flow: the record is a repeated one, or the Close overtook it.
func (t *Table) Import(now time.Duration, r message.FlowRecord) *Flow {
	f := t.flows[r.Flow]
	if f == nil {
		if t.RecentlyClosed(r.Flow) {
			return nil
		}
		f = &Flow{ID: r.Flow, Service: r.Service, Fresh: r.Fresh}
		t.flows[r.Flow] = f
	}
	f.LastSeen = max(f.LastSeen, now-r.Idle)
	f.Fresh = f.Fresh && r.Fresh
	f.mergeEpochs(r.Epochs)
	return f
}
