package capacity

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
	"github.com/gypsumspan/gypsumspan/decide/vm"
)

// settleTime is long enough for a VM to take over its targets.
const settleTime = 5 * time.Second

var callerAddr = netip.MustParseAddrPort("192.0.2.1:4000")

// rig is one VM whose neighbours always answer.
type rig struct {
	*vm.VM
	now time.Duration
}

// frameBytes is what a control message has beside its encoding: the length of
// package peers and the header of a yamux data frame.
const frameBytes = 4 + 12

// newRig returns a VM that is the first of all and knows the others.
func newRig(all []message.Member, config vm.Config) *rig {
	config.Self = all[0]
	config.Seed = 1
	config.ExpectPeers = len(all) > 1
	r := &rig{VM: vm.New(config, 0)}
	if len(all) > 1 {
		r.receive(message.Message{From: memberAddress(all[1]), Body: &message.Members{All: all}})
	}
	return r
}

func memberAddress(m message.Member) message.Address {
	return message.VMAddress(m.ID, m.Control)
}

// load merges a table into the VM.
func (r *rig) load(services, targets int) {
	eachDelta(services, targets, func(d *message.TableDelta) { r.receive(platform(d)) })
}

// loadService merges one service.
func (r *rig) loadService(s *table.Service) {
	r.receive(platform(&message.TableDelta{Entries: entriesOf(s, 1)}))
}

// receive hands over a message. The result is valid until the next call.
func (r *rig) receive(m message.Message) []message.Message {
	return r.Receive(r.now, m)
}

// step advances the clock and acknowledges all heartbeats.
func (r *rig) step(d time.Duration) {
	r.now += d
	acknowledge(r.Tick(r.now), func(ack message.Message) { r.Receive(r.now, ack) })
}

// settle runs the VM until it owns its targets.
func (r *rig) settle() {
	for until := r.now + settleTime; r.now < until; {
		r.step(10 * tick)
	}
}

// owned returns the number of targets of a table that the VM owns.
func (r *rig) owned(services, targets int) int {
	n := 0
	for i := range services {
		for _, t := range service(i, services, targets).Targets {
			if r.Owns(t.ID) {
				n++
			}
		}
	}
	return n
}

// call hands over a caller's message and returns the only message of type T that
// it causes. Anything else is a fault of the experiment.
func call[T message.Body](r *rig, body message.Body) T {
	return answerTo[T](r, message.Message{From: message.CallerAddress(callerAddr), Body: body})
}

func answerTo[T message.Body](r *rig, m message.Message) T {
	out := r.receive(m)
	for i := range out {
		if body, ok := out[i].Body.(T); ok {
			return body
		}
	}
	var want T
	panic(fmt.Sprintf("capacity: %T caused %d messages and no %T", m.Body, len(out), want))
}

// oneService returns a service of n targets of one failure domain.
func oneService(n, domain int) *table.Service {
	s := service(0, 1, 0)
	for i := range n {
		s.Targets = append(s.Targets, row(s.Name, domain+domainCount*i))
	}
	return s
}

// ownerRig is a VM alone with one target of limit slots.
type ownerRig struct {
	*rig
	service *table.Service
	binding message.Binding
	lastID  message.RequestID
}

// traceLength is the number of decisions that a VM remembers for explanations.
const traceLength = 4096

func newOwnerRig(config vm.Config, limit uint32) *ownerRig {
	r := &ownerRig{rig: newRig(members(1), config), service: oneService(1, 0)}
	r.service.Targets[0].Limit = limit
	r.loadService(r.service)
	r.settle()
	r.fillTrace()
	r.binding = r.open(0)
	return r
}

// fillTrace makes the memory of the VM's trace independent of what follows.
func (r *ownerRig) fillTrace() {
	for i := range traceLength {
		id := flowID(-2 - i)
		r.receive(message.Message{
			From: message.CallerAddress(callerAddr),
			Body: &message.Request{Service: r.service.ID, Flow: id, ID: 1, Attempt: 1, Parts: 1, Deadline: time.Second},
		})
	}
}

func (r *ownerRig) open(i int) message.Binding {
	open := &message.Open{Service: r.service.ID, Flow: flowID(i)}
	return call[*message.Bound](r.rig, open).Binding
}

func (r *ownerRig) openAll(n int) {
	for i := range n {
		r.open(i)
	}
}

// request returns the next request of a flow.
func (r *ownerRig) request(flow, payload int, deadline time.Duration) *message.Request {
	r.lastID++
	return &message.Request{
		Service: r.service.ID, Flow: flowID(flow), ID: r.lastID, Attempt: 1, Parts: 1,
		Deadline: deadline, Binding: r.binding, Payload: make([]byte, payload),
	}
}

// answer returns the target's answer to a dispatched request.
func (r *ownerRig) answer(d *message.Dispatch, payload int) message.Message {
	body := &message.Answer{Flow: d.Flow, ID: d.ID, Attempt: d.Attempt, Parts: 1, Payload: make([]byte, payload)}
	return message.Message{From: r.target(), Body: body}
}

func (r *ownerRig) target() message.Address {
	t := &r.service.Targets[0]
	return message.TargetAddress(t.ID, t.Addr)
}

// exchange takes a request through the owner: dispatch and answer.
func (r *ownerRig) exchange(flow, payload int, deadline time.Duration) {
	d := call[*message.Dispatch](r.rig, r.request(flow, payload, deadline))
	answerTo[*message.Answer](r.rig, r.answer(d, payload))
}
