package capacity

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
	"github.com/gypsumspan/gypsumspan/decide/vm"
)

// settleTime is the time that a VM is given to take over its targets.
const settleTime = 5 * time.Second

var callerAddr = netip.MustParseAddrPort("192.0.2.1:4000")

// harness is a VM with a virtual clock whose heartbeats are always acknowledged.
type harness struct {
	*vm.VM
	now time.Duration
}

// frameBytes is the framing overhead of a control message: the length prefix of package
// peers and the header of a yamux data frame.
const frameBytes = 4 + 12

// newHarness returns the first VM of all, with the others as its members.
func newHarness(all []message.Member, config vm.Config) *harness {
	config.Self = all[0]
	config.Seed = 1
	config.ExpectPeers = len(all) > 1
	r := &harness{VM: vm.New(config, 0)}
	if len(all) > 1 {
		r.receive(message.Message{From: memberAddress(all[1]), Body: &message.Members{All: all}})
	}
	return r
}

func memberAddress(m message.Member) message.Address {
	return message.VMAddress(m.ID, m.Control)
}

// mergeTable delivers a whole table to the VM.
func (r *harness) mergeTable(services, targets int) {
	eachDelta(services, targets, func(d *message.TableDelta) { r.receive(platformMessage(d)) })
}

// mergeService delivers a service of the table to the VM.
func (r *harness) mergeService(s *table.Service) {
	r.receive(platformMessage(&message.TableDelta{Entries: entriesOf(s, 1)}))
}

// receive delivers a message and returns the messages that the VM sends in response. They
// are valid until the next call.
func (r *harness) receive(m message.Message) []message.Message {
	return r.Receive(r.now, m)
}

// step advances the clock by d, ticks the VM once and acknowledges its heartbeats.
func (r *harness) step(d time.Duration) {
	r.now += d
	acknowledge(r.Tick(r.now), func(ack message.Message) { r.Receive(r.now, ack) })
}

// settle runs the VM for settleTime, until it owns its targets.
func (r *harness) settle() {
	for until := r.now + settleTime; r.now < until; {
		r.step(10 * tick)
	}
}

// owned returns the number of targets of a table that the VM owns.
func (r *harness) owned(services, targets int) int {
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

// call delivers a caller's message and returns the first message of type T that the VM sends
// in response. It panics if there is none.
func call[T message.Body](r *harness, body message.Body) T {
	return answerTo[T](r, message.Message{From: message.CallerAddress(callerAddr), Body: body})
}

func answerTo[T message.Body](r *harness, m message.Message) T {
	out := r.receive(m)
	for i := range out {
		if body, ok := out[i].Body.(T); ok {
			return body
		}
	}
	var want T
	panic(fmt.Sprintf("capacity: %T caused %d messages and no %T", m.Body, len(out), want))
}

// oneService returns a service of n targets in one failure domain.
func oneService(n, domain int) *table.Service {
	s := service(0, 1, 0)
	for i := range n {
		s.Targets = append(s.Targets, targetRow(s.Name, domain+domainCount*i))
	}
	return s
}

// ownerHarness is a fleet of one VM that owns one target.
type ownerHarness struct {
	*harness
	service *table.Service
	binding message.Binding
	lastID  message.RequestID
}

// explainedDecisions is the number of decisions that a VM keeps for explanations.
const explainedDecisions = 4096

func newOwnerHarness(config vm.Config, limit uint32) *ownerHarness {
	r := &ownerHarness{harness: newHarness(members(1), config), service: oneService(1, 0)}
	r.service.Targets[0].Limit = limit
	r.mergeService(r.service)
	r.settle()
	r.fillExplanations()
	r.binding = r.open(0)
	return r
}

// fillExplanations fills the VM's ring of explained decisions, so that its memory no longer
// grows during the measurement.
func (r *ownerHarness) fillExplanations() {
	for i := range explainedDecisions {
		id := flowID(-2 - i)
		r.receive(message.Message{
			From: message.CallerAddress(callerAddr),
			Body: &message.Request{Service: r.service.ID, Flow: id, ID: 1, Attempt: 1, Parts: 1, Deadline: time.Second},
		})
	}
}

func (r *ownerHarness) open(i int) message.Binding {
	open := &message.Open{Service: r.service.ID, Flow: flowID(i)}
	return call[*message.Bound](r.harness, open).Binding
}

func (r *ownerHarness) openAll(n int) {
	for i := range n {
		r.open(i)
	}
}

// request returns the next request of a flow, with a payload of that size.
func (r *ownerHarness) request(flow, payload int, deadline time.Duration) *message.Request {
	r.lastID++
	return &message.Request{
		Service: r.service.ID, Flow: flowID(flow), ID: r.lastID, Attempt: 1, Parts: 1,
		Deadline: deadline, Binding: r.binding, Payload: make([]byte, payload),
	}
}

// answer returns the target's answer to a dispatched request, with a payload of that size.
func (r *ownerHarness) answer(d *message.Dispatch, payload int) message.Message {
	body := &message.Answer{Flow: d.Flow, ID: d.ID, Attempt: d.Attempt, Parts: 1, Payload: make([]byte, payload)}
	return message.Message{From: r.target(), Body: body}
}

func (r *ownerHarness) target() message.Address {
	t := &r.service.Targets[0]
	return message.TargetAddress(t.ID, t.Addr)
}

// exchange sends a request to the owner, and the target's answer after its dispatch.
func (r *ownerHarness) exchange(flow, payload int, deadline time.Duration) {
	d := call[*message.Dispatch](r.harness, r.request(flow, payload, deadline))
	answerTo[*message.Answer](r.harness, r.answer(d, payload))
}
