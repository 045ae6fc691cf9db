package forward

import (
	"flag"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumspan/gypsumspan/decide/balance"
	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/relay"
)

// rapid uses a fixed seed; -rapid.seed overrides it.
var _ = flag.Set("rapid.seed", "1")

// sameState reports whether two forwarders have the same state. The sets whose keys are pointers
// to targets are compared by their sizes.
func sameState(a, b *Forwarder) bool {
	sizes := len(a.loaded) == len(b.loaded) && len(a.failedRequestTargets) == len(b.failedRequestTargets) && len(a.deaths) == len(b.deaths) &&
		len(a.estimates.observed) == len(b.estimates.observed) && len(a.estimates.unusual) == len(b.estimates.unusual)
	x, y := *a, *b
	for _, f := range []*Forwarder{&x, &y} {
		f.loaded, f.failedRequestTargets, f.deaths = nil, nil, nil
		f.estimates.observed, f.estimates.unusual = nil, nil
	}
	return sizes && reflect.DeepEqual(x, y)
}

// Guards against an explanation that changes what the VM does, and against one that names
// another target than the next SYN gets.
func TestExplainChangesNothingAndNamesTheNextTarget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		explained, plain := newHarness(t), newHarness(t)
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * ms
			caller := uint16(rapid.IntRange(1, 12).Draw(rt, "caller"))
			action := rapid.IntRange(0, 5).Draw(rt, "action")
			domain := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "domain")
			id := rapid.IntRange(1, 5).Draw(rt, "target")
			active := rapid.Bool().Draw(rt, "active")
			var e Explanation
			for range 3 {
				e = explained.f.Explain(now, key(caller))
			}
			if !sameState(explained.f, plain.f) {
				rt.Fatalf("at %s: an explanation has changed the forwarder", now)
			}
			for _, r := range []*harness{explained, plain} {
				switch action {
				case 0:
					r.evacuate(domain, active)
				case 1:
					state := catalog.Ready
					if active {
						state = catalog.Draining
					}
					x := entry(id, "s", domain, state)
					x.Cold = 500 * ms
					r.put(now, x)
				case 2:
					r.f.SetDomainLoads(now, []relay.Load{{Service: "s", TargetDomain: domain, Flows: 9, ActiveRequests: uint32(id) * 4}})
				case 3:
					if record := r.f.flows.get(key(caller)); record != nil && record.target != nil {
						r.f.Receive(now, ackPacket(caller, record.target.Cookie, 101, 500, 10))
					}
				default:
					known := r.f.flows.get(key(caller))
					v := r.f.Receive(now, syn(caller, 0))
					if r == plain || known != nil {
						continue // the SYN before it may count as unanswered evidence, or this is its duplicate
					}
					var chosen string
					for _, c := range e.Candidates {
						if c.Chosen {
							chosen = c.ID
							if c.Excluded != "" || c.Rank == "" {
								rt.Fatalf("%+v is chosen", c)
							}
						}
					}
					if v.Reason != Shed && (v.Target == nil) != (chosen == "") || v.Target != nil && v.Target.ID != chosen {
						rt.Fatalf("at %s: %v by %s, explained as %q %q", now, v.Target, v.Reason, chosen, e.Refusal)
					}
					if v.Target == nil && v.Reason != Shed && e.Refusal != v.Reason.String() {
						rt.Fatalf("at %s: reset by %s, explained as %q", now, v.Reason, e.Refusal)
					}
				}
			}
		}
	})
}

// Guards against an explanation that does not say what excludes a target, or its rank.
func TestExplainListsExclusionsAndRanks(t *testing.T) {
	r := newHarness(t)
	r.evacuate("a", true)
	r.put(0, entry(5, "s", "b", catalog.Draining))
	r.Equal(r.f.Status(0).EvacuatedDomains, []string{"a"})
	e := r.f.Explain(0, key(1))
	var got []string
	for _, c := range e.Candidates {
		got = append(got, c.ID+" "+c.Excluded+c.Rank)
	}
	r.Equal(got, []string{"i-1 evacuated", "i-2 evacuated", "i-3 evacuated", "i-4 any_healthy", "i-5 not_accepting"})
	r.True(e.Candidates[3].Chosen)
	r.evacuate("b", true)
	r.Equal(r.f.Explain(0, key(1)).Refusal, Evacuated.String())
	r.Equal(r.f.loads[0], balance.Load{})
}

// Guards against a question that stops the VM for good (review/11): the flow's SYN went to a cold target,
// which has no rank for a copy, while the VM may send it other flows.
func TestExplainEndsForAFlowAtAColdTarget(t *testing.T) {
	r := newHarness(t)
	r.limitCold(4)
	r.cool(0, 7, 5*time.Second, 1, 2, 3, 4, 5)
	r.grant(0, 2, 7, 9)
	r.Equal(r.f.Receive(0, syn(1, 0)).Target.ID, "i-2")
	e := r.f.Explain(100*ms, key(1))
	r.Equal(e.Refusal, ColdLimit.String())
	r.Equal(e.Candidates[1].ID, "i-2")
	r.Equal(e.Candidates[1].Excluded, triedWhileCold)
	v := r.f.Receive(200*ms, syn(1, 1))
	r.Equal(v.Action, Drop)
	r.Equal(v.Reason.String(), e.Refusal)
}

// Guards against questions without an end or with a candidate that is neither ranked nor excluded, for
// any state of flows, cold targets, tokens and evidence.
func TestExplainEnds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newHarness(t)
		r.limitCold(rapid.SampledFrom([]float64{0, 0.1, 4}).Draw(rt, "per second"))
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 800).Draw(rt, "ms")) * ms
			caller := uint16(rapid.IntRange(1, 6).Draw(rt, "caller"))
			id := rapid.IntRange(1, 5).Draw(rt, "target")
			born := int64(rapid.IntRange(1, 3).Draw(rt, "born"))
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0:
				r.cool(now, born, time.Duration(rapid.IntRange(0, 3000).Draw(rt, "cold"))*ms, id)
			case 1:
				r.grant(now, id, born, uint32(rapid.IntRange(0, 9).Draw(rt, "tokens")))
			case 2:
				r.evacuate(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "domain"), rapid.Bool().Draw(rt, "evacuated"))
			case 3:
				if record := r.f.flows.get(key(caller)); record != nil && record.target != nil {
					r.f.Receive(now, ackPacket(caller, record.target.Cookie, 101, 500, 10))
				}
			default:
				r.f.Receive(now, syn(caller, uint32(rapid.IntRange(0, 2).Draw(rt, "copy"))))
			}
			r.f.Tick(now)
			for _, c := range r.f.Explain(now, key(caller)).Candidates {
				if (c.Rank == "") == (c.Excluded == "") || c.Chosen && c.Excluded != "" {
					rt.Fatalf("at %s: candidate %+v", now, c)
				}
			}
		}
	})
}
