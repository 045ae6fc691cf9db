package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

const benchTick = 10 * time.Millisecond // the tick interval of service core

func eachSize(b *testing.B, run func(b *testing.B, all []message.Member, v *View)) {
	for _, n := range []int{16, 1000, 15000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			domains := 3
			if n > 16 {
				domains = 8
			}
			all := make([]message.Member, n)
			for i := range all {
				all[i] = simMember(i, domains)
			}
			v := New(Config{Self: all[0]}, 1, 0)
			v.Receive(0, message.Message{Body: &message.Members{All: all}})
			v.secondPullDue = false
			v.Tick(0)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, all, v)
		})
	}
}

// BenchmarkTick measures one tick of 10 ms in a stable fleet, including the heartbeats
// that are due and the handling of their acks.
func BenchmarkTick(b *testing.B) {
	eachSize(b, func(b *testing.B, all []message.Member, v *View) {
		acks := make([]message.Message, 0, 8)
		now := time.Duration(0)
		for b.Loop() {
			now += benchTick
			out, _ := v.Tick(now)
			acks = acks[:0]
			for _, m := range out {
				known, _ := v.Member(m.To.VM)
				acks = append(acks, message.Message{Body: &message.HeartbeatAck{Self: short(known)}})
			}
			for _, a := range acks {
				v.Receive(now, a)
			}
		}
	})
}

// BenchmarkHeartbeat measures the receipt of a heartbeat with the maximum number of
// updates, of which all are new (and are gossiped further) or none is.
func BenchmarkHeartbeat(b *testing.B) {
	for _, fresh := range []bool{false, true} {
		b.Run(fmt.Sprintf("new=%v", fresh), func(b *testing.B) {
			eachSize(b, func(b *testing.B, all []message.Member, v *View) {
				updates := make([]message.Member, 0, 32)
				for i := range 32 {
					updates = append(updates, all[2+i*(len(all)-2)/32])
				}
				m := message.Message{Body: &message.Heartbeat{Self: short(all[1]), Updates: updates}}
				for b.Loop() {
					for i := range updates {
						if fresh {
							updates[i].Incarnation++
						}
					}
					v.Receive(0, m)
				}
			})
		})
	}
}

// BenchmarkMemberChange measures a leave and a return of one member, with the choice
// of neighbours and the lists of live members after each.
func BenchmarkMemberChange(b *testing.B) {
	eachSize(b, func(b *testing.B, all []message.Member, v *View) {
		now := time.Duration(0)
		m := all[len(all)/2]
		change := func(state message.MemberState) {
			m.Incarnation++
			m.State = state
			v.merge(now, &m, true)
			v.reselectedAt = now - time.Second
			v.reselect(now)
			v.Live()
			v.InDomain(all[0].Domain)
			v.fillBatch()
			v.deadRecords = v.deadRecords[:0]
		}
		for b.Loop() {
			change(message.MemberLeaving)
			change(message.MemberAlive)
		}
	})
}

// BenchmarkMemory reports the memory of a view with all its lists, per member.
func BenchmarkMemory(b *testing.B) {
	eachSize(b, func(b *testing.B, all []message.Member, _ *View) {
		var before, after runtime.MemStats
		for b.Loop() {
			runtime.GC()
			runtime.ReadMemStats(&before)
			v := New(Config{Self: all[0]}, 1, 0)
			v.Receive(0, message.Message{Body: &message.Members{All: all}})
			v.Tick(0)
			v.Live()
			for id := range v.domains {
				v.InDomain(id)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(v)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(all)), "B/member")
	})
}
