package vm

import (
	"math"
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// Guards against a target that takes far more than its share, or less, because an
// owner sees other targets as they were up to a second ago.
func TestExpectedLoad(t *testing.T) {
	const own, gained, others = 1000, 50, 3
	cases := []struct {
		name      string
		ownGrowth float64
		growth    float64 // of the others, per second
		want      float64 // of each other target after half a second
	}{
		{"all at rest: a gain is a rise of the whole service", 0, 0, 1050},
		{"flows move away from the others: a gain is not theirs", 0, -300, 1000},
		{"a target that caught up has stalled", 0, 200, 1100},
		{"all grow", 100, 100, 1050},
	}
	for _, c := range cases {
		v, _ := newBenchVM(t, serviceTargets)
		v.now = 1500 * time.Millisecond
		s := benchService(0, others+1)
		for i := range s.Targets {
			s.Targets[i].Weight = 1
		}
		tg := v.addTarget(s, s.Targets[0])
		for i := range own + gained {
			tg.flows.Open(v.now, s.ID, message.FlowID{Hi: 1, Lo: uint64(i)}, true)
		}
		loads := map[message.TargetID]load{tg.id: {flows: own, weight: 1, at: time.Second, growth: c.ownGrowth}}
		for _, row := range s.Targets[1:] {
			loads[row.ID] = load{flows: 1000, weight: 1, at: time.Second, growth: c.growth}
		}
		v.loads[s.ID] = loads
		flows, weight := v.expectedLoad(tg)
		if want := own + gained + others*c.want; math.Abs(flows-want) > 1 || weight != others+1 {
			t.Errorf("%s: %v flows and weight %d, want %v and %d", c.name, flows, weight, want, others+1)
		}
	}
}

// Guards against new flows that are refused while a failure domain is cut off,
// because the targets that are reached have more than their share then.
func TestNewFlowsDuringACut(t *testing.T) {
	b := newBench(t)
	s := table.Service{Name: "c", Address: "c", Kinds: []table.Kind{{Name: "k", Urgency: table.Urgent, Share: 1}}}
	for i, domain := range []string{"d", "e", "e"} {
		s.Targets = append(s.Targets, table.Target{
			Name: string(rune('t' + i)), Domain: domain, Addr: targetAddrs[0], Weight: 1, Limit: 1, State: table.Active,
		})
	}
	entries, err := table.EncodeService(&s, 1)
	b.is.NoErr(err)
	for i := range entries {
		entries[i].Revision = 9
	}
	b.Receive(b.at, platformMessage(&message.TableDelta{Entries: entries}))
	id := message.ServiceIDOf("c")
	loads := make(map[message.TargetID]load)
	for _, row := range b.table.Service(id).Targets[1:] {
		loads[row.ID] = load{flows: 10, weight: 1, at: b.at}
	}
	b.loads[id] = loads
	flows := message.FlowID{Hi: 3}
	// First no VM owns the targets of the empty domain, then this one does.
	for _, wait := range []time.Duration{time.Second, 15 * time.Second} {
		b.tick(wait)
		for range 60 {
			flows.Lo++
			out := b.call(&message.Open{Service: id, Flow: flows})
			if _, ok := only(out).(*message.Bound); !ok {
				t.Fatalf("at %v a new flow got %v", b.at, only(out))
			}
		}
	}
}
