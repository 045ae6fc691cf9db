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

// taken returns the notices since the last call, without errors' texts.
func (b *bench) taken() []notice.Notice {
	var list []notice.Notice
	b.TakeNotices(func(n notice.Notice) { list = append(list, n) })
	return list
}

// Guards against decisions about targets, the table, pauses and the leave that no
// operator hears of, and against notices of single flows.
func TestNotices(t *testing.T) {
	b := newBench(t)
	b.is.Equal(b.taken(), []notice.Notice{
		{Kind: notice.TableInForce, Revision: 1},
		{Kind: notice.TableInForce, Revision: 2},
		{Kind: notice.TargetTakenOver, Target: b.targetName(b.order[0].id)},
		{Kind: notice.TargetTakenOver, Target: b.targetName(b.order[1].id)},
	})
	binding := b.open("a")
	b.call(b.request(1, binding))
	b.answer(1, targetAddrs[0])
	b.tick(10 * time.Millisecond)
	b.is.Equal(len(b.taken()), 0)

	bad := message.TableEntry{Key: "gypsumspan/table/a/meta", Revision: 9, Value: []byte("x")}
	b.Receive(b.at, platformMessage(&message.TableDelta{Entries: []message.TableEntry{bad}}))
	got := b.taken()
	b.is.Equal(len(got), 1)
	b.is.Equal([]any{got[0].Kind, got[0].Key, got[0].Revision}, []any{notice.TableRejected, bad.Key, uint64(9)})
	b.is.True(errors.Is(got[0].Err, table.ErrMalformed))

	b.loseTarget(b.targets[binding.Target])
	b.loseTarget(b.targets[binding.Target])
	b.is.Equal(b.taken(), []notice.Notice{{Kind: notice.TargetLost, Target: "a/t", Flows: 1}})
	b.tickHealth(b.targets[binding.Target])
	b.is.Equal(b.taken(), []notice.Notice{{Kind: notice.Restored, Target: "a/t"}})

	b.tick(5 * time.Second)
	b.is.Equal(b.taken(), []notice.Notice{{Kind: notice.Paused, Gap: 5 * time.Second}})
	b.Leave(b.at)
	for range 200 {
		b.tick(10 * time.Millisecond)
	}
	b.is.Equal(b.taken(), []notice.Notice{{Kind: notice.LeaveStarted}, {Kind: notice.LeaveFinished, Gap: leaveLinger}})
}

// Guards against moves away from a leaving target that are not seen to end.
func TestMovesAreNoticedOnce(t *testing.T) {
	b := newBench(t)
	binding := b.open("a")
	b.taken()
	target := b.targets[binding.Target]
	b.noteMoves(target)
	b.noteMoves(target)
	b.forgetMoved(target, flow, b.order[1].id)
	b.noteMoves(target)
	b.noteMoves(target)
	b.is.Equal(b.taken(), []notice.Notice{
		{Kind: notice.MovesStarted, Target: "a/t", Flows: 1},
		{Kind: notice.MovesFinished, Target: "a/t", Flows: 1},
	})
}

// Guards against members whose changes are told wrongly, and against a line for
// each member when a VM joins a fleet.
func TestMemberNotices(t *testing.T) {
	b := newBench(t)
	b.taken()
	m := message.Member{
		ID: message.VMIDOf("vm2"), Name: "vm2", Domain: message.DomainIDOf("d"),
		Data: callerAddr, Control: callerAddr, Incarnation: 1,
	}
	for _, state := range []message.MemberState{message.MemberAlive, message.MemberSuspect, message.MemberLeaving, message.MemberDead} {
		m.State = state
		b.receive(message.VMAddress(m.ID, callerAddr), &message.Members{All: []message.Member{m}})
	}
	m.State, m.Incarnation = message.MemberAlive, 2
	b.receive(message.VMAddress(m.ID, callerAddr), &message.Members{All: []message.Member{m}})
	var kinds []notice.Kind
	for _, n := range b.taken() {
		b.is.Equal(n.VM, "vm2")
		kinds = append(kinds, n.Kind)
	}
	b.is.Equal(kinds, []notice.Kind{notice.MemberSuspect, notice.MemberLeaving, notice.MemberDead, notice.MemberBack})
	b.is.Equal(memberNotice(membership.Change{To: message.MemberDead}), notice.Kind(0))
}

// Guards against notices without bound, and against losing the count.
func TestNoticesAreBounded(t *testing.T) {
	b := newBench(t)
	b.taken()
	for i := range notice.Capacity + 5 {
		b.notices.Add(notice.Notice{Kind: notice.TableRejected, Key: fmt.Sprintf("%1000d", i)})
	}
	got := b.taken()
	b.is.Equal(len(got), notice.Capacity+1)
	b.is.Equal(len(got[0].Key), notice.MaxKey)
	b.is.Equal(got[notice.Capacity], notice.Notice{Kind: notice.Dropped, Count: 5})
	b.is.Equal(len(b.taken()), 0)
}
