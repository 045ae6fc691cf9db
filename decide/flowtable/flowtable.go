// Package flowtable holds the flows of one owned target. The request log of the
// target holds the floors of the flows.
package flowtable

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// MaxEpochs is the number of foreign stamps that one flow accepts. A flow that
// moves more often within the life of a binding gives up the oldest.
const MaxEpochs = 4

// Flow is one flow bound to the target.
type Flow struct {
	ID       message.FlowID
	Service  message.ServiceID
	LastSeen time.Duration
	Fresh    bool            // the target has not seen the flow yet
	Epochs   []message.Epoch // stamps accepted beside the target's own
}

// Accepts reports whether the flow accepts a stamp of an earlier target.
func (f *Flow) Accepts(e message.Epoch) bool {
	return slices.Contains(f.Epochs, e)
}

// AddEpochs accepts further stamps, the newest MaxEpochs of them.
func (f *Flow) AddEpochs(epochs []message.Epoch) {
	for _, e := range epochs {
		if !f.Accepts(e) {
			f.Epochs = append(f.Epochs, e)
		}
	}
	if extra := len(f.Epochs) - MaxEpochs; extra > 0 {
		f.Epochs = slices.Delete(f.Epochs, 0, extra)
	}
}

// Table holds the flows of one target.
type Table struct {
	idle   time.Duration
	flows  map[message.FlowID]*Flow
	closed map[message.FlowID]time.Duration // until when the flow must not come back
	sweep  time.Duration                    // next full sweep
}

// Times of a flow table.
const (
	// closedRetention is how long a closed flow is remembered, so that a delayed
	// copy of one of its datagrams can't open it again.
	closedRetention = time.Minute
	// sweepInterval is the time between two searches for idle flows.
	sweepInterval = 30 * time.Second
)

// New returns an empty table that forgets flows after idle without a packet.
func New(idle time.Duration) *Table {
	return &Table{
		idle:   idle,
		flows:  make(map[message.FlowID]*Flow),
		closed: make(map[message.FlowID]time.Duration),
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

// Touch notes a packet of the flow.
func (t *Table) Touch(now time.Duration, f *Flow) {
	f.LastSeen = now
}

// Open returns the flow, adding it if it is new. It returns nil for a flow that
// was closed a short time ago.
func (t *Table) Open(now time.Duration, service message.ServiceID, id message.FlowID, fresh bool) *Flow {
	if f := t.flows[id]; f != nil {
		f.LastSeen = now
		return f
	}
	if _, ok := t.closed[id]; ok {
		return nil
	}
	f := &Flow{ID: id, Service: service, LastSeen: now, Fresh: fresh}
	t.flows[id] = f
	return f
}

// Close removes a flow and remembers it for a minute. It reports whether the
// flow was known.
func (t *Table) Close(now time.Duration, id message.FlowID) bool {
	_, ok := t.flows[id]
	delete(t.flows, id)
	t.closed[id] = now + closedRetention
	return ok
}

// RecentlyClosed reports whether the flow was closed within the last minute.
func (t *Table) RecentlyClosed(id message.FlowID) bool {
	_, ok := t.closed[id]
	return ok
}

// Remove forgets a flow, for example because it moved to another target.
func (t *Table) Remove(id message.FlowID) {
	delete(t.flows, id)
}

// Clear forgets all flows.
func (t *Table) Clear() {
	clear(t.flows)
}

// All calls yield for every flow, in no particular order.
func (t *Table) All(yield func(*Flow) bool) {
	for _, f := range t.flows {
		if !yield(f) {
			return
		}
	}
}

// Expire removes flows that have been idle too long and forgets closed ones.
// It does nothing between two sweeps.
func (t *Table) Expire(now time.Duration, removed func(*Flow)) {
	if now < t.sweep {
		return
	}
	t.sweep = now + sweepInterval
	for id, until := range t.closed {
		if now >= until {
			delete(t.closed, id)
		}
	}
	for id, f := range t.flows {
		if now-f.LastSeen >= t.idle {
			delete(t.flows, id)
			removed(f)
		}
	}
}

// Export returns the record of a flow for a handover, without its floor. epochs
// are the stamps that the receiver shall accept for it.
func (f *Flow) Export(now time.Duration, epochs []message.Epoch) message.FlowRecord {
	return message.FlowRecord{
		Flow:    f.ID,
		Service: f.Service,
		Idle:    now - f.LastSeen,
		Fresh:   f.Fresh,
		Epochs:  epochs,
	}
}

// Import adds or merges a flow from a handover.
func (t *Table) Import(now time.Duration, r message.FlowRecord) *Flow {
	f := t.flows[r.Flow]
	if f == nil {
		f = &Flow{ID: r.Flow, Service: r.Service, Fresh: r.Fresh}
		t.flows[r.Flow] = f
	}
	f.LastSeen = max(f.LastSeen, now-r.Idle)
	f.Fresh = f.Fresh && r.Fresh
	f.AddEpochs(r.Epochs)
	return f
}
