package vm

import (
	"cmp"
	"fmt"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// traceSize is the number of recent decisions that a VM keeps for explanations.
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

// decision is one recorded decision. Fields that its action does not use are zero.
type decision struct {
	at           time.Duration
	tableVersion uint64
	action       action
	reason       message.RefusalReason
	cause        message.Cause
	flow         message.FlowID
	request      message.RequestID
	target       message.TargetID
	vm           message.VMID
}

// trace is a ring buffer of the last traceSize decisions.
type trace struct {
	ring []decision
	next int
}

func (t *trace) add(v *VM, d decision) {
	d.at = v.now
	d.tableVersion = v.replica.Version()
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

// ExplainedDecision is one recent decision in the form that operators see.
type ExplainedDecision struct {
	AgeSeconds    float64 `json:"age_seconds"`
	Action        string  `json:"action"`
	Flow          string  `json:"flow"`
	Request       uint64  `json:"request,omitempty"`
	Target        string  `json:"target,omitempty"`
	VM            string  `json:"vm,omitempty"`
	Reason        string  `json:"reason,omitempty"`
	Cause         string  `json:"cause,omitempty"`
	Why           string  `json:"why,omitempty"`    // meaning of the refusal
	Advice        string  `json:"advice,omitempty"` // what an operator can do about the refusal
	TableRevision uint64  `json:"table_revision"`
}

const (
	// maxExplainedDecisions bounds the decisions in one explanation; the newest are kept.
	maxExplainedDecisions = 200
	// maxNamedMembers bounds the members that an explanation lists by name.
	maxNamedMembers = 100
)

// Explanation describes how a VM routed a flow or a request, and why.
type Explanation struct {
	VM           string              `json:"vm"`
	Flow         string              `json:"flow"`
	Request      uint64              `json:"request,omitempty"` // 0: all requests of the flow
	Bound        string              `json:"bound,omitempty"`   // target of the flow, if this VM owns it
	Target       string              `json:"target,omitempty"`  // Bound, or the target of the newest decision
	Owner        string              `json:"owner,omitempty"`   // owner of Target in this VM's view
	MembersAlive int                 `json:"members_alive"`
	Members      []string            `json:"members"` // first maxNamedMembers live members in this VM's view
	Omitted      int                 `json:"omitted,omitempty"`
	Decisions    []ExplainedDecision `json:"decisions"` // oldest first; the Omitted oldest ones are left out
}

// Explain returns this VM's recent decisions on a flow, or on one of its requests if
// request is not 0. The result is an Explanation.
func (v *VM) Explain(flow message.FlowID, request message.RequestID) any {
	e := Explanation{VM: v.config.Self.Name, Flow: flow.String(), Request: uint64(request), Decisions: []ExplainedDecision{}}
	var bound message.TargetID
	for _, t := range v.sortedTargets {
		if t.flows.Get(flow) != nil {
			bound = t.id
			e.Bound = v.targetName(t.id)
		}
	}
	newest := v.explainDecisions(&e, flow, request)
	v.explainView(&e, cmp.Or(bound, newest))
	return e
}

// explainDecisions adds the newest decisions to e and returns the target of the last one.
func (v *VM) explainDecisions(e *Explanation, flow message.FlowID, request message.RequestID) (target message.TargetID) {
	var found []*decision
	v.trace.all(func(d *decision) bool {
		if d.flow == flow && (request == 0 || d.request == request) {
			found = append(found, d)
		}
		return true
	})
	e.Omitted = max(0, len(found)-maxExplainedDecisions)
	for _, d := range found[e.Omitted:] {
		e.Decisions = append(e.Decisions, v.describeDecision(d))
		target = cmp.Or(d.target, target)
	}
	return target
}

// explainView adds the target's owner and the live members in this VM's view.
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

// domainOfTarget returns the failure domain of a target that is in the table or was
// removed from it within removedRetention.
func (v *VM) domainOfTarget(id message.TargetID) (message.DomainID, bool) {
	if t, _ := v.table.Target(id); t != nil {
		return t.DomainID, true
	}
	r, ok := v.removedTargets[id]
	return r.row.DomainID, ok
}

func (v *VM) describeDecision(d *decision) ExplainedDecision {
	e := ExplainedDecision{
		AgeSeconds:    (v.now - d.at).Seconds(),
		Action:        d.action.String(),
		Flow:          d.flow.String(),
		Request:       uint64(d.request),
		Target:        v.targetName(d.target),
		TableRevision: d.tableVersion,
	}
	if d.vm != 0 {
		e.VM = v.memberName(d.vm)
	}
	if d.action == actionRefuse {
		e.Reason = d.reason.String()
		e.Cause = d.cause.String()
		w := refusalTextFor(d.reason, d.cause)
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
	if r, ok := v.removedTargets[id]; ok && r.row.Name != "" {
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

// OwnedTarget is the state of one target at a VM that owns it, is about to own it or hands
// it over, for operators.
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

// Status returns the VM's state as a Status. The name of the failure domain is missing,
// since this package has only its id; the service that encodes the state adds it.
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
	for _, t := range v.sortedTargets {
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
