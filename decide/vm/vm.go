// Package vm composes the decisions of one VM. A front end drives it with
// Receive and Tick; it needs no socket, clock or codec.
package vm

import (
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// Config is the identity of a VM.
type Config struct {
	Self  message.Member
	Epoch message.Epoch // epoch of the VM's ownerships
}

// VM is one VM's decisions. It is not safe for concurrent use.
type VM struct {
	config  Config
	table   *table.Table
	flows   map[message.FlowID]message.TargetID
	pending map[message.RequestKey]netip.AddrPort
	out     []message.Message
	leaving bool
}

// New returns the decisions of a VM that serves t.
func New(config Config, t *table.Table) *VM {
	return &VM{
		config:  config,
		table:   t,
		flows:   make(map[message.FlowID]message.TargetID),
		pending: make(map[message.RequestKey]netip.AddrPort),
	}
}

// Receive decides on one message and returns the messages to send. The result
// is valid until the next call.
func (v *VM) Receive(now time.Duration, m message.Message) []message.Message {
	v.out = v.out[:0]
	switch body := m.Body.(type) {
	case *message.Open:
		v.open(m.From, body)
	case *message.Request:
		v.request(m.From, body)
	case *message.Answer:
		v.answer(body)
	}
	return v.out
}

// Tick does the work that is due at now and returns the messages to send.
func (v *VM) Tick(now time.Duration) []message.Message {
	return nil
}

// Leave starts the planned leave.
func (v *VM) Leave(now time.Duration) []message.Message {
	v.leaving = true
	return nil
}

// Left reports whether the planned leave has ended.
func (v *VM) Left() bool {
	return v.leaving && len(v.pending) == 0
}

func (v *VM) open(from message.Address, m *message.Open) {
	s := v.table.Service(m.Service)
	if s == nil {
		v.send(from, &message.Refusal{Flow: m.Flow, Reason: message.NotRun, Cause: message.CauseUnknownTable})
		return
	}
	var top [1]rendezvous.Ranked
	ranking := rendezvous.Top(top[:], rendezvous.Mix(m.Flow.Hi, m.Flow.Lo), len(s.Targets), func(i int) (uint64, uint32) {
		return uint64(s.Targets[i].ID), s.Targets[i].Weight
	})
	if len(ranking) == 0 {
		v.send(from, &message.Refusal{Flow: m.Flow, Reason: message.Busy, Cause: message.CauseNoTarget})
		return
	}
	target := s.Targets[ranking[0].Index].ID
	v.flows[m.Flow] = target
	v.send(from, &message.Bound{Flow: m.Flow, Binding: message.Binding{Target: target, Epoch: v.config.Epoch}})
}

func (v *VM) request(from message.Address, m *message.Request) {
	target, ok := v.flows[m.Flow]
	if !ok {
		v.send(from, &message.Refusal{Flow: m.Flow, ID: m.ID, Attempt: m.Attempt, Reason: message.FlowUnknown, Cause: message.CauseUnknownFlow})
		return
	}
	t, _ := v.table.Target(target)
	v.pending[m.Key()] = from.Addr
	v.send(message.TargetAddress(t.ID, t.Addr), &message.Dispatch{
		Service:  m.Service,
		Target:   t.ID,
		Flow:     m.Flow,
		ID:       m.ID,
		Attempt:  m.Attempt,
		Kind:     m.Kind,
		Deadline: m.Deadline,
		Part:     m.Part,
		Parts:    m.Parts,
		Payload:  m.Payload,
	})
}

func (v *VM) answer(m *message.Answer) {
	caller, ok := v.pending[m.Key()]
	if !ok {
		return
	}
	if m.Part+1 == m.Parts {
		delete(v.pending, m.Key())
	}
	m.Binding = message.Binding{Target: v.flows[m.Flow], Epoch: v.config.Epoch}
	v.send(message.CallerAddress(caller), m)
}

func (v *VM) send(to message.Address, body message.Body) {
	v.out = append(v.out, message.Message{To: to, Body: body})
}
