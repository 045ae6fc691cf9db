package vm

import (
	"math"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

const (
	// maxCountedKinds bounds the pairs of service and kind that are counted separately.
	// Further ones, and those that are not in the table, count as "other", so that callers
	// can't make a VM use more memory.
	maxCountedKinds = 4096
	// noKind stands for the kind of an Open, or of a request in flight at a previous
	// owner, whose record has no kind. In a service of 256 kinds these are counted with
	// the last kind.
	noKind = message.KindID(math.MaxUint8)
)

// kindKey identifies one kind of requests of one service.
type kindKey struct {
	service message.ServiceID
	kind    message.KindID
}

// kindCounters counts the events of one kind of requests since the VM's start.
type kindCounters struct {
	service, kind string // names at the first use
	dispatched    uint64
	completed     uint64
	shed          uint64
	queueWait     time.Duration // between a request's last part and its dispatch
	answerTime    time.Duration // between dispatch and the last part of the answer
	refused       [message.NumReasons][message.NumCauses]uint64
}

// kindCountersOf returns the counters of a kind of requests. It allocates only at the
// first use of a kind.
func (v *VM) kindCountersOf(service message.ServiceID, kind message.KindID) *kindCounters {
	key := kindKey{service: service, kind: kind}
	if c := v.kindCounters[key]; c != nil {
		return c
	}
	s := v.table.Service(service)
	if s == nil || (kind != noKind && int(kind) >= len(s.Kinds)) || len(v.kindCounters) >= maxCountedKinds {
		return &v.otherKinds
	}
	c := &kindCounters{service: s.Name, kind: kindName(s, kind)}
	v.kindCounters[key] = c
	return c
}

// kindName returns the name of a kind for the tag "kind".
func kindName(s *table.Service, kind message.KindID) string {
	if int64(kind) < int64(len(s.Kinds)) {
		return s.Kinds[kind].Name
	}
	return "none"
}

// kindOf returns the kind of the request in body, or noKind.
func kindOf(body message.Body) message.KindID {
	if m, ok := body.(*message.Request); ok {
		return m.Kind
	}
	return noKind
}

// countDispatch counts a dispatched request.
func (v *VM) countDispatch(t *target, p *pending) {
	v.counters.Dispatched++
	c := v.kindCountersOf(t.service, p.kind)
	c.dispatched++
	c.queueWait += v.now - p.offeredAt
}

// countCompleted counts a request whose answer is complete.
func (v *VM) countCompleted(t *target, p *pending) {
	v.counters.Completed++
	c := v.kindCountersOf(t.service, p.kind)
	c.completed++
	c.answerTime += v.now - p.dispatchedAt
}

// countShed counts a request that its target did not start.
func (v *VM) countShed(t *target, p *pending) {
	v.counters.Shed++
	v.kindCountersOf(t.service, p.kind).shed++
}
