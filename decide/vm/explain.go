package vm

import (
	"cmp"
	"fmt"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// traceSize is the number of recent decisions that a VM remembers.
const traceSize = 4096

// action is the kind of a recorded decision.
type action uint8

const (
	actionForward action = iota + 1
	actionOpen
	actionAdopt
	actionDispatch
	actionRefuse
	actionActivate
	actionHandover
	actionEject
	actionLost
)

func (a action) String() string {
	names := [...]string{
		"", "forward", "open", "adopt", "dispatch", "refuse", "activate", "handover", "eject", "target_lost",
	}
	return names[a]
}

// decision is one recorded decision.
type decision struct {
	at      time.Duration
	table   uint64
	action  action
	reason  message.RefusalReason
	cause   message.Cause
	flow    message.FlowID
	request message.RequestID
	target  message.TargetID
	vm      message.VMID
}

// trace is a ring of the last decisions.
type trace struct {
	ring []decision
	next int
}

func (t *trace) add(v *VM, d decision) {
	d.at = v.now
	d.table = v.replica.Version()
	if len(t.ring) < traceSize {
		t.ring = append(t.ring, d)
		return
	}
	t.ring[t.next] = d
	t.next = (t.next + 1) % traceSize
}

// all calls yield for every recorded decision, oldest first.
func (t *trace) all(yield func(*decision) bool) {
	for i := range t.ring {
		if !yield(&t.ring[(t.next+i)%len(t.ring)]) {
			return
		}
	}
}

// ExplainedDecision is one recent decision, for operators.
type ExplainedDecision struct {
	AgeSeconds    float64 `json:"age_seconds"`
	Action        string  `json:"action"`
	Flow          string  `json:"flow"`
	Request       uint64  `json:"request,omitempty"`
	Target        string  `json:"target,omitempty"`
	VM            string  `json:"vm,omitempty"`
	Reason        string  `json:"reason,omitempty"`
	Cause         string  `json:"cause,omitempty"`
	Why           string  `json:"why,omitempty"`    // of a refusal
	Advice        string  `json:"advice,omitempty"` // what to do about a refusal
	TableRevision uint64  `json:"table_revision"`
}

const (
	// maxExplained is the number of decisions in one explanation, the newest.
	maxExplained = 200
	// maxNamedMembers is the number of members that an explanation names.
	maxNamedMembers = 100
)

// Explanation answers why a flow or request went where it did.
type Explanation struct {
	VM           string              `json:"vm"`
	Flow         string              `json:"flow"`
	Request      uint64              `json:"request,omitempty"` // 0: all of the flow
	Bound        string              `json:"bound,omitempty"`   // the target, if this VM owns the flow
	Target       string              `json:"target,omitempty"`  // Bound, or that of the newest decision
	Owner        string              `json:"owner,omitempty"`   // of Target, as this VM believes
	MembersAlive int                 `json:"members_alive"`
	Members      []string            `json:"members"` // alive as this VM believes; the first of them
	Omitted      int                 `json:"omitted,omitempty"`
	Decisions    []ExplainedDecision `json:"decisions"` // oldest first, without the Omitted older ones
}

// Explain returns this VM's recent decisions on a flow, or on one of its requests
// if request is not 0.
func (v *VM) Explain(flow message.FlowID, request message.RequestID) any {
	e := Explanation{VM: v.config.Self.Name, Flow: flow.String(), Request: uint64(request), Decisions: []ExplainedDecision{}}
	var bound message.TargetID
	for _, t := range v.order {
		if t.flows.Get(flow) != nil {
			bound = t.id
			e.Bound = v.targetName(t.id)
		}
	}
	newest := v.explainDecisions(&e, flow, request)
	v.explainView(&e, cmp.Or(bound, newest))
	return e
}

// explainDecisions adds the newest decisions and returns the target of the last.
func (v *VM) explainDecisions(e *Explanation, flow message.FlowID, request message.RequestID) (target message.TargetID) {
	var found []*decision
	v.trace.all(func(d *decision) bool {
		if d.flow == flow && (request == 0 || d.request == request) {
			found = append(found, d)
		}
		return true
	})
	e.Omitted = max(0, len(found)-maxExplained)
	for _, d := range found[e.Omitted:] {
		e.Decisions = append(e.Decisions, v.explained(d))
		target = cmp.Or(d.target, target)
	}
	return target
}

// explainView adds what this VM believes about the target's owner and the fleet.
func (v *VM) explainView(e *Explanation, target message.TargetID) {
	live := v.members.Live()
	e.MembersAlive = len(live)
	e.Members = make([]string, 0, min(len(live), maxNamedMembers))
	for _, m := range live[:min(len(live), maxNamedMembers)] {
		e.Members = append(e.Members, m.Name)
	}
	e.Target = v.targetName(target)
	domain, ok := v.domainOfTarget(target)
	if !ok {
		return
	}
	if owner, ok := v.ownerOf(target, domain); ok {
		e.Owner = v.memberName(owner)
	}
}

// domainOfTarget returns the failure domain of a target in the table or removed
// from it a short time ago.
func (v *VM) domainOfTarget(id message.TargetID) (message.DomainID, bool) {
	if t, _ := v.table.Target(id); t != nil {
		return t.DomainID, true
	}
	r, ok := v.removed[id]
	return r.row.DomainID, ok
}

func (v *VM) explained(d *decision) ExplainedDecision {
	e := ExplainedDecision{
		AgeSeconds:    (v.now - d.at).Seconds(),
		Action:        d.action.String(),
		Flow:          d.flow.String(),
		Request:       uint64(d.request),
		Target:        v.targetName(d.target),
		TableRevision: d.table,
	}
	if d.vm != 0 {
		e.VM = v.memberName(d.vm)
	}
	if d.action == actionRefuse {
		e.Reason = d.reason.String()
		e.Cause = d.cause.String()
		w := wordsOf(d.reason, d.cause)
		e.Why = w.why
		e.Advice = w.advice
	}
	return e
}

func (v *VM) targetName(id message.TargetID) string {
	if id == 0 {
		return ""
	}
	if t, s := v.table.Target(id); t != nil {
		return s.Name + "/" + t.Name
	}
	if r, ok := v.removed[id]; ok && r.row.Name != "" {
		if s := v.table.Service(r.service); s != nil {
			return s.Name + "/" + r.row.Name
		}
	}
	return fmt.Sprintf("%016x", uint64(id))
}

func (v *VM) memberName(id message.VMID) string {
	if m, ok := v.members.Member(id); ok {
		return m.Name
	}
	return fmt.Sprintf("%016x", uint64(id))
}

// OwnedTarget is the state of one owned target, for operators.
type OwnedTarget struct {
	Target   string `json:"target"`
	Phase    string `json:"phase"`
	State    string `json:"state"`
	Flows    int    `json:"flows"`
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	Limit    int    `json:"limit"`
	Ejected  bool   `json:"ejected"`
}

// Status is the state of a VM, for operators.
type Status struct {
	VM            string        `json:"vm"`
	TableRevision uint64        `json:"table_revision"`
	Leaving       bool          `json:"leaving"`
	Relay         bool          `json:"relay"`
	Members       []string      `json:"members"`
	Owned         []OwnedTarget `json:"owned"`
}

// Status returns the VM's state. The failure domain's name is missing, since
// decisions know only its id; the service that encodes the state adds it.
func (v *VM) Status() any {
	s := Status{
		VM:            v.config.Self.Name,
		TableRevision: v.replica.Version(),
		Leaving:       v.leaving,
		Relay:         v.IsRelay(),
		Members:       []string{},
		Owned:         []OwnedTarget{},
	}
	for _, m := range v.members.Live() {
		s.Members = append(s.Members, m.Name)
	}
	for _, t := range v.order {
		s.Owned = append(s.Owned, OwnedTarget{
			Target:   v.targetName(t.id),
			Phase:    t.machine.Phase().String(),
			State:    t.row.State.String(),
			Flows:    t.flows.Len(),
			InFlight: t.queue.InFlight(),
			Queued:   t.queue.Len(),
			Limit:    int(t.row.Limit),
			Ejected:  t.ejected,
		})
	}
	return s
}
