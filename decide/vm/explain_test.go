package vm

import (
	"fmt"
	"testing"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// Guards against an explanation that mixes up requests, or omits the reason of a refusal,
// the owner or the members.
func TestExplainRequest(t *testing.T) {
	h := newHarness(t)
	binding := h.open("a")
	h.call(h.request(1, binding))
	h.call(h.request(2, message.Binding{}))
	all := h.Explain(flow, 0).(Explanation)
	h.is.Equal(len(all.Decisions), 3)
	h.is.Equal([]string{all.Bound, all.Target, all.Owner}, []string{"a/t", "a/t", "vm1"})
	h.is.Equal(all.Members, []string{"vm1"})
	one := h.Explain(flow, 2).(Explanation)
	h.is.Equal(len(one.Decisions), 1)
	want := refusalTextFor(message.NotRun, message.CauseNoEpoch)
	h.is.Equal([]string{one.Decisions[0].Why, one.Decisions[0].Advice}, []string{want.why, want.advice})
	h.is.Equal(h.Explain(message.FlowID{Hi: 9}, 0).(Explanation).Owner, "")
}

// Guards against an explanation whose size grows with the trace or the fleet.
func TestExplanationIsBounded(t *testing.T) {
	h := newHarness(t)
	for i := range maxExplainedDecisions + 7 {
		h.trace.add(h.VM, decision{action: actionDispatch, flow: flow, request: message.RequestID(i + 1)})
	}
	e := h.Explain(flow, 0).(Explanation)
	h.is.Equal([]int{len(e.Decisions), e.Omitted}, []int{maxExplainedDecisions, 7})
	h.is.Equal(e.Decisions[maxExplainedDecisions-1].Request, uint64(maxExplainedDecisions+7))
	var all []message.Member
	for i := range maxNamedMembers + 7 {
		name := fmt.Sprintf("peer%d", i)
		all = append(all, message.Member{ID: message.VMIDOf(name), Name: name, Incarnation: 1, State: message.MemberAlive})
	}
	h.receive(message.VMAddress(all[0].ID, callerAddr), &message.Members{All: all})
	e = h.Explain(flow, 0).(Explanation)
	h.is.Equal([]int{len(e.Members), e.MembersAlive}, []int{maxNamedMembers, maxNamedMembers + 8})
}

// Guards against a refusal without an explanation.
func TestEveryRefusalIsExplained(t *testing.T) {
	for cause := range message.NumCauses {
		if text := causeTexts[cause]; text.why == "" || text.advice == "" {
			t.Errorf("cause %v has no explanation", cause)
		}
	}
	for reason := message.NotRun; reason < message.NumReasons; reason++ {
		if reasonTexts[reason] == "" {
			t.Errorf("reason %v has no explanation", reason)
		}
	}
}
