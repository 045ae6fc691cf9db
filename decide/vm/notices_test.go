package vm

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/membership"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/notice"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// takeNotices returns the notices since the last call.
func (h *harness) takeNotices() []notice.Notice {
	var list []notice.Notice
	h.TakeNotices(func(n notice.Notice) { list = append(list, n) })
	return list
}

// Guards against missing notices about targets, the table, pauses and the leave, and
// against notices about single flows.
func TestNotices(t *testing.T) {
	h := newHarness(t)
	h.is.Equal(h.takeNotices(), []notice.Notice{
		{Kind: notice.TableInForce, Revision: 1},
		{Kind: notice.TableInForce, Revision: 2},
		{Kind: notice.TargetTakenOver, Target: h.targetName(h.sortedTargets[0].id)},
		{Kind: notice.TargetTakenOver, Target: h.targetName(h.sortedTargets[1].id)},
	})
	binding := h.open("a")
	h.call(h.request(1, binding))
	h.sendAnswer(1, targetAddrs[0])
	h.tick(10 * time.Millisecond)
	h.is.Equal(len(h.takeNotices()), 0)

	bad := message.TableEntry{Key: "gypsumspan/table/a/meta", Revision: 9, Value: []byte("x")}
	h.Receive(h.at, platformMessage(&message.TableDelta{Entries: []message.TableEntry{bad}}))
	got := h.takeNotices()
	h.is.Equal(len(got), 1)
	h.is.Equal([]any{got[0].Kind, got[0].Key, got[0].Revision}, []any{notice.TableEntryRejected, bad.Key, uint64(9)})
	h.is.True(errors.Is(got[0].Err, table.ErrMalformed))

	h.handleTargetLoss(h.targets[binding.Target])
	h.handleTargetLoss(h.targets[binding.Target])
	h.is.Equal(h.takeNotices(), []notice.Notice{{Kind: notice.TargetLost, Target: "a/t", Flows: 1}})
	h.tickHealth(h.targets[binding.Target])
	h.is.Equal(h.takeNotices(), []notice.Notice{{Kind: notice.TargetRestored, Target: "a/t"}})

	h.tick(5 * time.Second)
	h.is.Equal(h.takeNotices(), []notice.Notice{{Kind: notice.VMPaused, Duration: 5 * time.Second}})
	h.Leave(h.at)
	for range 200 {
		h.tick(10 * time.Millisecond)
	}
	h.is.Equal(h.takeNotices(), []notice.Notice{{Kind: notice.LeaveStarted}, {Kind: notice.LeaveFinished, Duration: leaveLingerTime}})
}

// Guards against moves away from a leaving target without a notice of their end.
func TestMovesAreNoticedOnce(t *testing.T) {
	h := newHarness(t)
	binding := h.open("a")
	h.takeNotices()
	target := h.targets[binding.Target]
	h.addMoveNotices(target)
	h.addMoveNotices(target)
	h.removeMovedFlow(target, flow, h.sortedTargets[1].id)
	h.addMoveNotices(target)
	h.addMoveNotices(target)
	h.is.Equal(h.takeNotices(), []notice.Notice{
		{Kind: notice.MovesStarted, Target: "a/t", Flows: 1},
		{Kind: notice.MovesFinished, Target: "a/t", Flows: 1},
	})
}

// Guards against wrong notices about members, and against a notice for each member when a
// VM joins a fleet.
func TestMemberNotices(t *testing.T) {
	h := newHarness(t)
	h.takeNotices()
	m := message.Member{
		ID: message.VMIDOf("vm2"), Name: "vm2", Domain: message.DomainIDOf("d"),
		Data: callerAddr, Control: callerAddr, Incarnation: 1,
	}
	for _, state := range []message.MemberState{message.MemberAlive, message.MemberSuspect, message.MemberLeaving, message.MemberDead} {
		m.State = state
		h.receive(message.VMAddress(m.ID, callerAddr), &message.Members{All: []message.Member{m}})
	}
	m.State, m.Incarnation = message.MemberAlive, 2
	h.receive(message.VMAddress(m.ID, callerAddr), &message.Members{All: []message.Member{m}})
	var kinds []notice.Kind
	for _, n := range h.takeNotices() {
		h.is.Equal(n.VM, "vm2")
		kinds = append(kinds, n.Kind)
	}
	h.is.Equal(kinds, []notice.Kind{notice.MemberSuspect, notice.MemberLeaving, notice.MemberDead, notice.MemberBack})
	h.is.Equal(memberNoticeKind(membership.Change{To: message.MemberDead}), notice.Kind(0))
}

// Guards against an unbounded list of notices, and against a lost count of dropped ones.
func TestNoticesAreBounded(t *testing.T) {
	h := newHarness(t)
	h.takeNotices()
	for i := range notice.Capacity + 5 {
		h.notices.Add(notice.Notice{Kind: notice.TableEntryRejected, Key: fmt.Sprintf("%1000d", i)})
	}
	got := h.takeNotices()
	h.is.Equal(len(got), notice.Capacity+1)
	h.is.Equal(len(got[0].Key), notice.MaxKey)
	h.is.Equal(got[notice.Capacity], notice.Notice{Kind: notice.NoticesDropped, Count: 5})
	h.is.Equal(len(h.takeNotices()), 0)
}
