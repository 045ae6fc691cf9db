package vm

import (
	"math"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

const (
	// maxWork bounds the pairs of service and kind that are counted apart. Further
	// ones, and those that are not in the table, count as "other", so that
	// callers can't make a VM remember more.
	maxWork = 4096
	// noKind stands for the kind of an Open, or of a request in flight at a
	// previous owner, whose record names no kind. In a service of 256 kinds these
	// are counted with the last kind.
	noKind = message.KindID(math.MaxUint8)
)

// workKey is one kind of work of one service.
type workKey struct {
	service message.ServiceID
	kind    message.KindID
}

// work counts what happened to one kind of work since start.
type work struct {
	service, kind string // names at the first use
	dispatched    uint64
	completed     uint64
	shed          uint64
	waited        time.Duration // between a request's last part and its dispatch
	answered      time.Duration // between dispatch and the last part of the answer
	refused       [message.NumReasons][message.NumCauses]uint64
}

// workOf returns the counters of a kind of work. Only the first use of a kind
// allocates.
func (v *VM) workOf(service message.ServiceID, kind message.KindID) *work {
	key := workKey{service: service, kind: kind}
	if w := v.work[key]; w != nil {
		return w
	}
	s := v.table.Service(service)
	if s == nil || (kind != noKind && int(kind) >= len(s.Kinds)) || len(v.work) >= maxWork {
		return &v.otherWork
	}
	w := &work{service: s.Name, kind: kindName(s, kind)}
	v.work[key] = w
	return w
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

// noteDispatch counts a dispatched request.
func (v *VM) noteDispatch(t *target, p *pending) {
	v.counters.Dispatched++
	w := v.workOf(t.service, p.kind)
	w.dispatched++
	w.waited += v.now - p.offered
}

// noteCompleted counts a request whose whole answer has arrived.
func (v *VM) noteCompleted(t *target, p *pending) {
	v.counters.Completed++
	w := v.workOf(t.service, p.kind)
	w.completed++
	w.answered += v.now - p.sentAt
}

// noteShed counts a request that its target did not start.
func (v *VM) noteShed(t *target, p *pending) {
	v.counters.Shed++
	v.workOf(t.service, p.kind).shed++
}
