package vm

import (
	"math"
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// Guards against a target that gets far more or less than its share because the reports of
// other targets are up to a second old.
func TestExpectedLoad(t *testing.T) {
	const own, gained, others = 1000, 50, 3
	cases := []struct {
		name      string
		ownGrowth float64
		growth    float64 // of each other target, in flows per second
		want      float64 // expected flows of each other target after half a second
	}{
		{"all stable: a gain is a gain of the whole service", 0, 0, 1050},
		{"flows move away from the others, which gain nothing", 0, -300, 1000},
		{"only the others grow, and their growth continues", 0, 200, 1100},
		{"all grow", 100, 100, 1050},
	}
	for _, c := range cases {
		v, _ := newRoutingVM(t, serviceTargets)
		v.now = 1500 * time.Millisecond
		s := benchService(0, others+1)
		for i := range s.Targets {
			s.Targets[i].Weight = 1
		}
		tg := v.addTarget(s, s.Targets[0])
		for i := range own + gained {
			tg.flows.Open(v.now, s.ID, message.FlowID{Hi: 1, Lo: uint64(i)}, true)
		}
		loads := map[message.TargetID]targetLoad{tg.id: {flows: own, weight: 1, at: time.Second, growth: c.ownGrowth}}
		for _, row := range s.Targets[1:] {
			loads[row.ID] = targetLoad{flows: 1000, weight: 1, at: time.Second, growth: c.growth}
		}
		v.loads[s.ID] = loads
		flows, weight := v.expectedLoad(tg)
		if want := own + gained + others*c.want; math.Abs(flows-want) > 1 || weight != others+1 {
			t.Errorf("%s: %v flows and weight %d, want %v and %d", c.name, flows, weight, want, others+1)
		}
	}
}

// Guards against refused new flows while a failure domain is unreachable: the reachable
// targets then exceed their share.
func TestNewFlowsDuringAPartition(t *testing.T) {
	h := newHarness(t)
	s := table.Service{Name: "c", Address: "c", Kinds: []table.Kind{{Name: "k", Urgency: table.Urgent, Share: 1}}}
	for i, domain := range []string{"d", "e", "e"} {
		s.Targets = append(s.Targets, table.Target{
			Name: string(rune('t' + i)), Domain: domain, Addr: targetAddrs[0], Weight: 1, Limit: 1, State: table.Active,
		})
	}
	entries, err := table.EncodeService(&s, 1)
	h.is.NoErr(err)
	for i := range entries {
		entries[i].Revision = 9
	}
	h.Receive(h.at, platformMessage(&message.TableDelta{Entries: entries}))
	id := message.ServiceIDOf("c")
	loads := make(map[message.TargetID]targetLoad)
	for _, row := range h.table.Service(id).Targets[1:] {
		loads[row.ID] = targetLoad{flows: 10, weight: 1, at: h.at}
	}
	h.loads[id] = loads
	flows := message.FlowID{Hi: 3}
	// At first no VM owns the targets of the empty domain, later this one does.
	for _, wait := range []time.Duration{time.Second, 15 * time.Second} {
		h.tick(wait)
		for range 60 {
			flows.Lo++
			out := h.call(&message.Open{Service: id, Flow: flows})
			if _, ok := single(out).(*message.Bound); !ok {
				t.Fatalf("new flow at %v was answered by %v", h.at, single(out))
			}
		}
	}
}
