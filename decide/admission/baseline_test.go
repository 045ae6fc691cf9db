package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// The kinds of these tests. Their shares of the three slots are 1.5, 1.125 and
// 0.375; greedy regularly uses more, since flooder uses less.
const (
	flooder = iota
	modest
	greedy
)

var unequal = []work{
	flooder: {"flooder", KindConfig{table.Urgent, 4}, 100 * time.Millisecond, 3 * time.Second},
	modest:  {"modest", KindConfig{table.Normal, 3}, 80 * time.Millisecond, 2 * time.Second},
	greedy:  {"greedy", KindConfig{table.Bulk, 1}, 200 * time.Millisecond, 4 * time.Second},
}

// load is the offered work of a kind, in slots, at a time.
type load func(at time.Duration) float64

func steady(slots float64) load {
	return func(time.Duration) float64 { return slots }
}

// after is slots from a time on, and nothing before.
func after(from time.Duration, slots float64) load {
	return func(at time.Duration) float64 {
		if at < from {
			return 0
		}
		return slots
	}
}

// history is the calm time before a flood or a ramp starts.
const history = 5 * time.Minute

// usual returns the loads without a flood. The kinds leave 1.15 slots free.
func usual() []load {
	return []load{flooder: steady(0.1), modest: steady(0.9), greedy: steady(0.85)}
}

// offered returns the arrivals of the loads, by kind, and of an additional load
// of flooder. most is an upper bound of each load. The usual arrivals do not
// depend on the additional load.
func offered(seed uint64, until time.Duration, most float64, usual []load, more load) []arrival {
	var list []arrival
	add := func(kind int, l load, normal bool, stream uint64) {
		rng := rand.New(rand.NewPCG(seed, stream))
		w := unequal[kind]
		for at := time.Duration(0); at < until; {
			at += time.Duration(rng.ExpFloat64() / most * float64(w.service))
			took := time.Duration((0.5 + rng.Float64()) * float64(w.service))
			caller := rng.Uint64N(callers)
			if rng.Float64()*most > l(at) {
				continue
			}
			item := Item{Kind: message.KindID(kind), Caller: caller, Deadline: at + w.budget}
			list = append(list, arrival{at: at, item: item, took: took, normal: normal})
		}
	}
	for kind, l := range usual {
		add(kind, l, true, uint64(kind))
	}
	add(flooder, more, false, 100)
	slices.SortStableFunc(list, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for i := range list {
		list[i].item.Key.ID = message.RequestID(i)
	}
	return list
}

// variant is the queue, or the queue with a part of the change switched off.
type variant struct {
	name string
	make func() scheduler
}

func unequalQueue() *Queue {
	c := Config{Limit: slots, Seed: 1}
	for _, w := range unequal {
		c.Kinds = append(c.Kinds, w.config)
	}
	return New(c)
}

var (
	adaptive   = variant{"effective shares", func() scheduler { return unequalQueue() }}
	configured = variant{"configured shares only", func() scheduler {
		q := unequalQueue()
		q.adapt = false
		return q
	}}
	lasting = variant{"effective shares that do not fade", func() scheduler { return unfading{unequalQueue()} }}
)

// unfading is a queue whose protection does not fade.
type unfading struct{ *Queue }

func (u unfading) Offer(now time.Duration, item Item) Verdict {
	for i := range u.kinds {
		u.kinds[i].usual.trust = 1
	}
	return u.Queue.Offer(now, item)
}

// trace is the arrivals after a simulation.
type trace []arrival

func (v variant) run(t *testing.T, list []arrival) trace {
	list = slices.Clone(list)
	serve(t, v.make(), list, len(unequal))
	return list
}

// usualDone returns the part of the usual arrivals of a kind in a time that was
// completed before the deadline, and the p99 of their response times.
func (l trace) usualDone(kind int, from, until time.Duration) (part float64, response time.Duration) {
	n := 0
	var responses []time.Duration
	for i := range l {
		a := &l[i]
		if int(a.item.Kind) != kind || !a.normal || a.at < from || a.at >= until {
			continue
		}
		n++
		if a.ended != 0 && a.ended <= a.item.Deadline {
			responses = append(responses, a.ended-a.at)
		}
	}
	return float64(len(responses)) / float64(n), p99(responses)
}

// used returns the average number of slots that a kind used in a time.
func (l trace) used(kind int, from, until time.Duration) float64 {
	sum := time.Duration(0)
	for i := range l {
		a := &l[i]
		if int(a.item.Kind) == kind && a.ended >= from && a.ended < until {
			sum += a.took
		}
	}
	return sum.Seconds() / (until - from).Seconds()
}

// Guards a kind that regularly uses more than its share against a sudden flood
// of a kind that regularly uses less.
func TestSuddenFloodLeavesUsualWork(t *testing.T) {
	const until = history + 30*time.Second
	for _, v := range []variant{adaptive, configured} {
		kept := true
		for seed := uint64(1); seed <= 3; seed++ {
			calm := v.run(t, offered(seed, until, overload*slots, usual(), steady(0)))
			during := v.run(t, offered(seed, until, overload*slots, usual(), after(history, overload*slots)))
			for _, kind := range []int{modest, greedy} {
				before, calmP99 := calm.usualDone(kind, history, until)
				part, floodP99 := during.usualDone(kind, history, until)
				t.Logf("%s, seed %d, %s: keeps %.3f, p99 %v, calm %v", v.name, seed, unequal[kind].name, part/before, floodP99, calmP99)
				kept = kept && part >= 0.95*before && floodP99 <= 2*calmP99
			}
		}
		if kept != (v.name == adaptive.name) {
			t.Errorf("%s: bounds kept = %v", v.name, kept)
		}
	}
}

// Guards the operators' table: protection above the configured share must end
// when the contention lasts, but not at its start.
func TestLastingFloodEndsAtConfiguredShares(t *testing.T) {
	const until = history + 45*time.Minute
	list := offered(1, until, 2*slots, usual(), after(history, 2*slots))
	for _, v := range []variant{adaptive, configured, lasting} {
		l := v.run(t, list)
		first, _ := l.usualDone(greedy, history, history+time.Minute)
		got := l.used(flooder, until-10*time.Minute, until)
		t.Logf("%s: greedy completes %.3f in the first minute; flooder uses %.2f slots at the end", v.name, first, got)
		kept := first >= 0.95 && got >= 0.95*1.5
		if kept != (v.name == adaptive.name) {
			t.Errorf("%s: kept = %v", v.name, kept)
		}
	}
}

// Guards against a kind that grows slowly until it asks for twice all slots: it
// must neither take the usual work of a kind above its share at once, nor keep a
// kind from its configured share at any time. modest asks for 0.5 slots and, in
// the last ten minutes, for 1 of its 1.125.
func TestSlowRampStarvesNobody(t *testing.T) {
	const (
		ramp  = 20 * time.Minute
		full  = history + ramp
		until = full + 20*time.Minute
		// The slots are full after a quarter of the ramp.
		contention = history + ramp/4
	)
	loads := usual()
	loads[modest] = func(at time.Duration) float64 {
		if at < until-10*time.Minute {
			return 0.5
		}
		return 1
	}
	growing := func(at time.Duration) float64 {
		return 2 * slots * min(max((at-history).Seconds()/ramp.Seconds(), 0), 1)
	}
	list := offered(1, until, 2*slots, loads, growing)
	for _, v := range []variant{adaptive, configured} {
		l := v.run(t, list)
		kept := true
		for at := history; at < until; at += time.Minute {
			part, _ := l.usualDone(modest, at, at+time.Minute)
			if part < 0.95 {
				t.Errorf("%s: modest completes %.3f in the minute from %v", v.name, part, at)
			}
		}
		for at := history; at < contention+2*time.Minute; at += time.Minute {
			part, _ := l.usualDone(greedy, at, at+time.Minute)
			kept = kept && part >= 0.95
		}
		got := l.used(flooder, full, until-10*time.Minute)
		t.Logf("%s: greedy keeps its work = %v, flooder uses %.2f slots after the ramp", v.name, kept, got)
		if kept != (v.name == adaptive.name) {
			t.Errorf("%s: greedy keeps its work = %v", v.name, kept)
		}
	}
}

// Guards the configured shares of kinds without history, after a cold start or a
// takeover, and the sum of the shares whatever the baselines are.
func TestEffectiveSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := unequalQueue()
		sum := 0.0
		for i := range q.kinds {
			k := &q.kinds[i]
			k.offer(0, far)
			sum += k.share
			k.usual.history = rapid.Float64Range(0, 4).Draw(t, "history")
			k.usual.work = rapid.Float64Range(0, slots).Draw(t, "slots") * k.usual.history
			k.usual.trust = rapid.Float64Range(0, 1).Draw(t, "trust")
		}
		q.setWeights(0, sum)
		got := 0.0
		for i := range q.kinds {
			k := &q.kinds[i]
			got += k.weight
			slots, known := k.usual.slots()
			least := min(k.share, headroom*slots*sum/float64(q.limit))
			if !known {
				least = k.share
			}
			if k.weight < max(least, leastPart*k.share)-1e-9 {
				t.Fatalf("%s has weight %v of %v, uses %v slots, known %v", unequal[i].name, k.weight, k.share, slots, known)
			}
			if !known && k.weight > k.share {
				t.Fatalf("%s has weight %v without history", unequal[i].name, k.weight)
			}
		}
		if got < sum-1e-9 || got > sum+1e-9 {
			t.Fatalf("effective shares add up to %v, not %v", got, sum)
		}
	})
}
