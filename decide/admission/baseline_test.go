package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// The kinds of these tests have shares of 1.5, 1.125 and 0.375 slots. greedy
// regularly uses more than its share and flooder less; without a flood, 1.15 slots
// are idle.
const (
	flooder = iota
	modest
	greedy
	history = 5 * time.Minute // uncontended time before a flood or a ramp
)

var unequal = []workSpec{
	flooder: {"flooder", KindConfig{table.Urgent, 4}, 100 * time.Millisecond, 3 * time.Second},
	modest:  {"modest", KindConfig{table.Normal, 3}, 80 * time.Millisecond, 2 * time.Second},
	greedy:  {"greedy", KindConfig{table.Bulk, 1}, 200 * time.Millisecond, 4 * time.Second},
}

func unequalQueue() *Queue {
	return New(Config{Limit: slots, Seed: 1, Kinds: []KindConfig{unequal[flooder].config, unequal[modest].config, unequal[greedy].config}})
}

// load is the offered work of a kind, in slots, at a time.
type load func(at time.Duration) float64

func steady(slots float64) load { return step(0, 0, slots) }

func step(at time.Duration, before, after float64) load {
	return func(now time.Duration) float64 {
		if now < at {
			return before
		}
		return after
	}
}

// run simulates the loads of the kinds and an additional load of flooder, and
// returns the arrivals. maxLoad bounds each load, in slots. The ingress refuses
// closed kinds. adjust is called for every kind before each call of Next, to disable
// a feature of the queue.
func run(t *testing.T, adjust func(k *kind), seed uint64, until time.Duration, maxLoad float64, loads ...load) []arrival {
	var list []arrival
	for i, l := range loads {
		kind := i % len(unequal)
		w := unequal[kind]
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		for at := time.Duration(0); at < until; {
			at += time.Duration(rng.ExpFloat64() / maxLoad * float64(w.service))
			serviceTime := time.Duration((0.5 + rng.Float64()) * float64(w.service))
			item := Item{Kind: message.KindID(kind), Caller: rng.Uint64N(callers), Deadline: at + w.budget}
			if rng.Float64()*maxLoad < l(at) {
				list = append(list, arrival{at: at, item: item, serviceTime: serviceTime})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for i := range list {
		list[i].item.Key.ID = message.RequestID(i)
	}
	serve(t, &ingress{Queue: unequalQueue(), adjust: adjust}, list, len(unequal))
	return list
}

// ingress refuses closed kinds before they reach the queue.
type ingress struct {
	*Queue
	adjust func(k *kind)
	closed [3]time.Duration
}

func (g *ingress) Offer(now time.Duration, item Item) Verdict {
	if now < g.closed[item.Kind] {
		return Verdict{Outcome: Refused}
	}
	v := g.Queue.Offer(now, item)
	if v.Outcome == Refused {
		g.closed[item.Kind] = now + g.ClosedFor(now, item.Kind)
	}
	return v
}

func (g *ingress) Next(now time.Duration) (Item, Verdict, bool) {
	for i := range g.kinds {
		g.adjust(&g.kinds[i])
	}
	return g.Queue.Next(now)
}

func adaptive(*kind)               {}
func configuredSharesOnly(k *kind) { k.usage = baseline{} }
func withoutDecay(k *kind)         { k.usage.protection = 1 }
func withoutFloodHold(k *kind)     { k.floodingUntil = 0 }

// completed returns which fraction of a kind's arrivals in [from, until) finished
// before the deadline, their number, and the p99 of their response times.
func completed(list []arrival, kind int, from, until time.Duration) (ratio float64, count int, response time.Duration) {
	n := 0
	var responses []time.Duration
	for _, a := range list {
		if int(a.item.Kind) != kind || a.at < from || a.at >= until {
			continue
		}
		n++
		if a.endedAt > 0 && a.endedAt <= a.item.Deadline {
			responses = append(responses, a.endedAt-a.at)
		}
	}
	return float64(len(responses)) / float64(n), len(responses), p99(responses)
}

// Guards the usual work of a kind that regularly uses more than its share against
// a sudden flood of a kind that regularly uses less, also while the ingress refuses
// the flood and hides it from the queue. The variants with one feature disabled must
// miss the bounds.
func TestSuddenFloodLeavesUsualWork(t *testing.T) {
	const until = history + 30*time.Second
	for i, adjust := range []func(*kind){adaptive, configuredSharesOnly, withoutFloodHold} {
		ok := true
		for seed := uint64(1); seed <= 3; seed++ {
			calm := run(t, adjust, seed, until, overload*slots, steady(0.1), steady(0.9), steady(0.85))
			during := run(t, adjust, seed, until, overload*slots, steady(0.1), steady(0.9), steady(0.85), step(history, 0, overload*slots))
			for _, kind := range []int{modest, greedy} {
				before, _, calmP99 := completed(calm, kind, history, until)
				after, _, floodP99 := completed(during, kind, history, until)
				t.Logf("variant %d, seed %d, %s: keeps %.3f, p99 %.2f times", i, seed, unequal[kind].name, after/before, float64(floodP99)/float64(calmP99))
				ok = ok && after >= 0.95*before && floodP99 <= 2*calmP99
			}
		}
		if ok != (i == 0) {
			t.Errorf("variant %d: bounds kept = %v", i, ok)
		}
	}
}

// Guards the configured shares: the protection of use above the configured share
// must end during lasting contention, but not at its start.
func TestLastingFloodEndsAtConfiguredShares(t *testing.T) {
	const until = history + 45*time.Minute
	for i, adjust := range []func(*kind){adaptive, configuredSharesOnly, withoutDecay} {
		list := run(t, adjust, 1, until, 2*slots, steady(0.1), steady(0.9), steady(0.85), step(history, 0, 2*slots))
		first, _, _ := completed(list, greedy, history, history+time.Minute)
		_, count, _ := completed(list, flooder, until-10*time.Minute, until)
		slots := float64(count) * unequal[flooder].service.Minutes() / 10
		t.Logf("variant %d: greedy keeps %.3f in the first minute; flooder uses %.2f slots at the end", i, first, slots)
		if ok := first >= 0.95 && slots >= 0.95*1.5; ok != (i == 0) {
			t.Errorf("variant %d: kept = %v", i, ok)
		}
	}
}

// Guards against a kind that grows within 20 minutes to twice the capacity of all
// slots; all slots are busy after 5 to 6 minutes. It must not displace the usual
// work of greedy in the first 7 minutes, and never that of modest within its share,
// although the demand of modest rises in the last 10 minutes.
func TestSlowRampStarvesNobody(t *testing.T) {
	const until = history + 40*time.Minute
	ramp := func(at time.Duration) float64 {
		return 2 * slots * min(max((at-history).Minutes()/20, 0), 1)
	}
	for i, adjust := range []func(*kind){adaptive, configuredSharesOnly} {
		list := run(t, adjust, 1, until, 2*slots, steady(0.1), step(until-10*time.Minute, 0.5, 1), steady(0.85), ramp)
		ok := true
		for at := history; at < until; at += time.Minute {
			if ratio, _, _ := completed(list, modest, at, at+time.Minute); ratio < 0.95 {
				t.Errorf("variant %d: modest keeps %.3f in the minute from %v", i, ratio, at)
			}
			ratio, _, _ := completed(list, greedy, at, at+time.Minute)
			ok = ok && (ratio >= 0.95 || at >= history+7*time.Minute)
		}
		if ok != (i == 0) {
			t.Errorf("variant %d: greedy keeps its work = %v", i, ok)
		}
	}
}

// Guards the baselines against including the time without load after a takeover, in
// which Next is called on every tick.
func TestHistoryStartsWithFirstItem(t *testing.T) {
	q, now := unequalQueue(), time.Duration(0)
	for ; now < time.Minute; now += 10 * time.Millisecond {
		q.Next(now)
	}
	for id := 1; now < time.Minute+10*time.Second; id++ {
		i := item(id, greedy, 1, far)
		q.Offer(now, i)
		now += 100 * time.Millisecond
		q.Finish(now, i.Key, 100*time.Millisecond)
	}
	if got, _ := q.kinds[greedy].usage.slots(); got < 0.9 || got > 1.1 {
		t.Errorf("%.2f slots learned of a kind that always uses one", got)
	}
}
