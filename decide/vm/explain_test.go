package vm

import (
	"fmt"
	"testing"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// Guards against an explanation that mixes requests, or leaves out why one was
// refused, the owner or the members.
func TestExplainRequest(t *testing.T) {
	b := newBench(t)
	binding := b.open("a")
	b.call(b.request(1, binding))
	b.call(b.request(2, message.Binding{}))
	all := b.Explain(flow, 0).(Explanation)
	b.is.Equal(len(all.Decisions), 3)
	b.is.Equal([]string{all.Bound, all.Target, all.Owner}, []string{"a/t", "a/t", "vm1"})
	b.is.Equal(all.Members, []string{"vm1"})
	one := b.Explain(flow, 2).(Explanation)
	b.is.Equal(len(one.Decisions), 1)
	want := wordsOf(message.NotRun, message.CauseNoStamp)
	b.is.Equal([]string{one.Decisions[0].Why, one.Decisions[0].Advice}, []string{want.why, want.advice})
	b.is.Equal(b.Explain(message.FlowID{Hi: 9}, 0).(Explanation).Owner, "")
}

// Guards against an answer that grows with the trace.
func TestExplanationIsBounded(t *testing.T) {
	b := newBench(t)
	for i := range maxExplained + 7 {
		b.trace.add(b.VM, decision{action: actionDispatch, flow: flow, request: message.RequestID(i + 1)})
	}
	e := b.Explain(flow, 0).(Explanation)
	b.is.Equal([]int{len(e.Decisions), e.Omitted}, []int{maxExplained, 7})
	b.is.Equal(e.Decisions[maxExplained-1].Request, uint64(maxExplained+7))
	var all []message.Member
	for i := range maxNamedMembers + 7 {
		name := fmt.Sprintf("peer%d", i)
		all = append(all, message.Member{ID: message.VMIDOf(name), Name: name, Incarnation: 1, State: message.MemberAlive})
	}
	b.receive(message.VMAddress(all[0].ID, callerAddr), &message.Members{All: all})
	e = b.Explain(flow, 0).(Explanation)
	b.is.Equal([]int{len(e.Members), e.MembersAlive}, []int{maxNamedMembers, maxNamedMembers + 8})
}

// Guards against a refusal that is explained without words.
func TestEveryRefusalHasWords(t *testing.T) {
	for cause := range message.NumCauses {
		if w := causeWords[cause]; w.why == "" || w.advice == "" {
			t.Errorf("cause %v has no words", cause)
		}
	}
	for reason := message.NotRun; reason < message.NumReasons; reason++ {
		if reasonWords[reason] == "" {
			t.Errorf("reason %v has no words", reason)
		}
	}
}
