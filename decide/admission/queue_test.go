package admission

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// Fixes the seed of package rapid; -rapid.seed on the command line overrides it.
var _ = flag.Set("rapid.seed", "1")

const far = time.Hour

func item(id int, kind message.KindID, caller uint64, deadline time.Duration) Item {
	return Item{Key: message.RequestKey{ID: message.RequestID(id)}, Attempt: 1, Kind: kind, Caller: caller, Deadline: deadline}
}

// small returns a queue with one slot, a capacity of four items and two kinds with
// shares 3 and 1.
func small() *Queue {
	return New(Config{Limit: 1, QueueCapacity: 4, Kinds: []KindConfig{{table.Urgent, 3}, {table.Bulk, 1}}})
}

// fill offers n items with consecutive ids from first on, from the given number of
// callers in turn.
func fill(q *Queue, first, n int, kind message.KindID, callers int) {
	for i := range n {
		q.Offer(0, item(first+i, kind, uint64(i%callers), far))
	}
}

// Each case guards against a wrong outcome or victim for item 100.
func TestOfferFaults(t *testing.T) {
	steady := func(q *Queue) { // a service time of 100 ms is known, the slot is taken
		q.Offer(0, item(1, 0, 1, far))
		q.Finish(0, item(1, 0, 1, far).Key, 100*time.Millisecond)
		q.Offer(0, item(2, 0, 1, far))
	}
	slow := func(q *Queue) { // one answer of kind 0 took a minute, kind 1 has the slot
		q.Offer(0, item(1, 0, 1, far))
		q.Finish(0, item(1, 0, 1, far).Key, time.Minute)
		q.Offer(0, item(2, 1, 1, far))
	}
	cases := []struct {
		name    string
		prepare func(q *Queue)
		now     time.Duration
		item    Item
		outcome Outcome
		cause   message.Cause
		victim  message.RequestID
	}{
		{name: "free slot", item: item(100, 0, 1, far), outcome: Dispatch},
		{name: "free slot, deadline passed", item: item(100, 0, 1, 0), outcome: Refused, cause: message.CauseDeadline},
		{name: "free slot, shorter than one service time", prepare: func(q *Queue) { steady(q); q.Release(message.RequestKey{ID: 2}) }, item: item(100, 0, 1, 90*time.Millisecond), outcome: Refused, cause: message.CauseDeadline},
		{name: "free slot, service time unknown", item: item(100, 0, 1, initialService/2), outcome: Dispatch},
		{name: "just after a very slow answer", prepare: slow, now: estimateMaxAge, item: item(100, 0, 1, estimateMaxAge+time.Second), outcome: Refused, cause: message.CauseDeadline},
		{name: "long after a very slow answer", prepare: slow, now: estimateMaxAge + 1, item: item(100, 0, 1, estimateMaxAge+time.Second), outcome: Queued},
		{name: "unknown kind", item: item(100, 7, 1, far), outcome: Refused, cause: message.CauseUnknownTable},
		{name: "removed kind", prepare: func(q *Queue) { q.SetKinds(nil) }, item: item(100, 0, 1, far), outcome: Refused, cause: message.CauseUnknownTable},
		{name: "slot taken", prepare: steady, item: item(100, 0, 1, far), outcome: Queued},
		{name: "limit of 0", prepare: func(q *Queue) { q.SetLimit(0) }, item: item(100, 0, 1, far), outcome: Queued},
		{name: "slot used by the previous owner", prepare: func(q *Queue) { q.Occupy(message.RequestKey{ID: 1}, far) }, item: item(100, 0, 1, far), outcome: Queued},
		{name: "duplicate of a waiting item", prepare: func(q *Queue) { steady(q); q.Offer(0, item(100, 0, 1, far)) }, item: item(100, 0, 1, far), outcome: Queued},
		{name: "duplicate of a dispatched item", prepare: func(q *Queue) { q.Offer(0, item(100, 0, 1, far)) }, item: item(100, 0, 1, far), outcome: Queued},
		{name: "shorter than one service time", prepare: steady, item: item(100, 0, 1, 90*time.Millisecond), outcome: Refused, cause: message.CauseDeadline},
		{name: "shorter than the wait", prepare: func(q *Queue) { steady(q); fill(q, 3, 3, 0, 1) }, item: item(100, 0, 0, 350*time.Millisecond), outcome: Refused, cause: message.CauseDeadline},
		{name: "longer than the wait", prepare: func(q *Queue) { steady(q); fill(q, 3, 3, 0, 1) }, item: item(100, 0, 0, 450*time.Millisecond), outcome: Queued},
		{name: "full of the same caller", prepare: func(q *Queue) { steady(q); fill(q, 3, 4, 0, 1) }, item: item(100, 0, 0, far), outcome: Refused, cause: message.CauseQueueFull},
		{name: "full of another caller", prepare: func(q *Queue) { steady(q); fill(q, 3, 4, 0, 1) }, item: item(100, 0, 5, far), outcome: Queued, cause: message.CauseQueueFull, victim: 6},
		{name: "full of another kind", prepare: func(q *Queue) { steady(q); fill(q, 3, 4, 1, 1) }, item: item(100, 0, 5, far), outcome: Queued, cause: message.CauseQueueFull, victim: 6},
		{name: "full, own kind over its share", prepare: func(q *Queue) { steady(q); fill(q, 3, 3, 1, 3); fill(q, 6, 1, 0, 1) }, item: item(100, 1, 0, far), outcome: Refused, cause: message.CauseQueueFull},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := small()
			if c.prepare != nil {
				c.prepare(q)
			}
			v := q.Offer(c.now, c.item)
			is.Equal(v.Outcome.String(), c.outcome.String())
			is.Equal(v.Cause, c.cause)
			is.Equal(v.HasVictim, c.victim != 0)
			is.Equal(v.Victim.Key.ID, c.victim) // the newest item of the longest bucket
			is.Equal(v.RetryAfter > 0, c.cause == message.CauseQueueFull || c.cause == message.CauseDeadline)
		})
	}
}

// Guards slots against leaks and double use after late answers, takeovers and changes
// of the table.
func TestSlots(t *testing.T) {
	is := is.New(t)
	q := small()
	first, second := item(1, 0, 1, time.Second), item(2, 0, 1, far)
	is.Equal(q.Offer(0, first).Outcome, Dispatch)
	q.Occupy(message.RequestKey{ID: 9}, time.Minute)
	is.Equal(q.Offer(0, second).Outcome, Queued)
	is.True(!q.Cancel(first.Key)) // it runs
	var expired []message.RequestKey
	report := func(key message.RequestKey) { expired = append(expired, key) }
	q.Expire(time.Second+slotGracePeriod-1, report)
	is.Equal(q.InFlight(), 2)
	q.Expire(time.Second+slotGracePeriod, report)
	is.Equal(expired, []message.RequestKey{first.Key})
	q.Finish(0, first.Key, time.Second) // late: the slot was freed already
	is.Equal(q.InFlight(), 1)
	_, _, ok := q.Next(0)
	is.True(!ok) // the previous owner's request holds the slot
	q.Release(message.RequestKey{ID: 9})
	got, v, ok := q.Next(0)
	is.True(ok && v.Outcome == Dispatch && got == second)
	q.Offer(0, item(3, 0, 1, far))
	is.True(q.Cancel(message.RequestKey{ID: 3}))
	is.Equal(q.Len(), 0)
	q.Offer(0, item(4, 1, 1, far))
	q.SetKinds([]KindConfig{{table.Urgent, 1}})
	q.Release(second.Key)
	_, v, _ = q.Next(0)
	is.Equal(v.Cause, message.CauseUnknownTable)
}

// Guards against late refusal of items that can no longer finish in time: while no
// slot is free, or because a removal left the deadline heap out of order.
func TestItemsThatCannotMeetTheirDeadline(t *testing.T) {
	is := is.New(t)
	const n = 1000
	const service = 100 * time.Millisecond
	q := New(Config{Limit: 1, QueueCapacity: n, Kinds: []KindConfig{{table.Urgent, 1}}})
	q.Offer(0, item(n, 0, 1, 2*far))
	q.Finish(0, item(n, 0, 1, 2*far).Key, service)
	q.Offer(0, item(n, 0, 1, 2*far))
	random := rand.New(rand.NewPCG(1, 1))
	for id := range n {
		q.Offer(0, item(id, 0, uint64(id), far+time.Duration(random.IntN(1000))*time.Second))
	}
	for _, id := range random.Perm(n)[:n/2] {
		q.Cancel(message.RequestKey{ID: message.RequestID(id)})
	}
	_, _, ok := q.Next(far - service)
	is.True(!ok)
	for last := far; q.Len() > 0; {
		refused, v, ok := q.Next(last - service + 1)
		if !ok {
			last += time.Second
			continue
		}
		is.Equal(v.Cause, message.CauseDeadline)
		is.Equal(refused.Deadline, last)
	}
}

// Guards against a kind that opens and closes in quick succession, and against
// refusal of all callers of a kind because one of them floods.
func TestClosedFor(t *testing.T) {
	is := is.New(t)
	spread := New(Config{Limit: 1, QueueCapacity: 64, Kinds: []KindConfig{{table.Urgent, 1}, {table.Bulk, 1}}})
	fill(spread, 1, 50, 0, 50)
	is.Equal(spread.ClosedFor(0, 0), time.Duration(0))
	fill(spread, 51, 15, 0, 50)
	is.True(spread.ClosedFor(0, 0) > 0)
	is.Equal(spread.ClosedFor(0, 1), time.Duration(0))
	cancel := func(from, to message.RequestID) {
		for id := from; id <= to; id++ {
			spread.Cancel(message.RequestKey{ID: id})
		}
	}
	cancel(2, 30)
	is.True(spread.ClosedFor(0, 0) > 0) // 35 wait: hysteresis
	cancel(31, 40)
	is.Equal(spread.ClosedFor(0, 0), time.Duration(0))
	for id := 200; id < 300; id++ {
		spread.Offer(0, item(id, 0, uint64(id), 0))
	}
	is.Equal(spread.ClosedFor(0, 0), time.Duration(0)) // short deadlines close nothing
	one := New(Config{Limit: 1, QueueCapacity: 64, Kinds: []KindConfig{{table.Urgent, 1}}})
	fill(one, 1, 65, 0, 1)
	is.Equal(one.Len(), 64)
	is.Equal(one.ClosedFor(0, 0), time.Duration(0))
}

// Guards against refusal of all callers of a kind because two of them fill the queue,
// equally or not, whatever buckets they have; and against a kind that never closes.
func TestClosedForByCallers(t *testing.T) {
	cases := []struct {
		name   string
		items  []int // of each caller
		closes bool
	}{
		{"two equal callers", []int{32, 32}, false},
		{"two callers, one twice as many", []int{43, 21}, false},
		{"twenty equal callers", slices.Repeat([]int{3}, 21), true},
		{"two callers beside many others", append([]int{12, 12}, slices.Repeat([]int{1}, 40)...), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(200) {
				q := New(Config{Limit: 1, QueueCapacity: 64, Seed: seed, Kinds: []KindConfig{{table.Urgent, 1}}})
				q.Offer(0, item(0, 0, 1000, 0))
				id := 0
				for caller, n := range c.items {
					for range n {
						id++
						q.Offer(0, item(id, 0, uint64(caller), far))
					}
				}
				is.Equal(q.ClosedFor(0, 0) > 0, c.closes)
			}
		})
	}
}

// Guards a handover against lost items, and against a drain order that favours one kind.
func TestDrain(t *testing.T) {
	is := is.New(t)
	q := New(Config{Kinds: []KindConfig{{table.Bulk, 1}, {table.Urgent, 1}}})
	fill(q, 1, 2, 0, 1)
	fill(q, 3, 2, 1, 1)
	var ids []message.RequestID
	q.Drain(func(i Item) { ids = append(ids, i.Key.ID) })
	is.Equal(ids, []message.RequestID{3, 1, 4, 2})
	is.Equal(q.Len(), 0)
}

// Guards against credit for idle time: a kind that was idle while another one was
// served must not get all slots when it becomes active again.
func TestNoCreditForIdleTime(t *testing.T) {
	is := is.New(t)
	q := New(Config{Limit: 1, Kinds: []KindConfig{{table.Urgent, 1}, {table.Urgent, 1}}})
	q.classifyEnabled = false
	running := message.RequestKey{ID: 1}
	fill(q, 1, 30, 0, 1)
	served := [2]int{}
	for i := range 29 {
		if i == 19 {
			fill(q, 31, 10, 1, 1)
		}
		q.Release(running)
		next, _, _ := q.Next(0)
		running = next.Key
		served[next.Kind]++
	}
	is.Equal(served, [2]int{24, 5})
}

// Guards the limit and the accounting of items: after any sequence of calls,
// nothing was dispatched above the limit, each item waits, runs or has ended, and
// the effective shares add up to the configured ones.
func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{Limit: 2, QueueCapacity: 8, Kinds: []KindConfig{{table.Urgent, 2}, {table.Normal, 1}, {table.Bulk, 1}}})
		now, limit, id := time.Duration(0), 2, 0
		waits, runs := map[message.RequestKey]bool{}, map[message.RequestKey]bool{}
		dispatched := func(key message.RequestKey) {
			if runs[key] || len(runs) >= limit {
				t.Fatalf("dispatched %v with %d in progress, limit %d", key, len(runs), limit)
			}
			delete(waits, key)
			runs[key] = true
		}
		pick := func() message.RequestKey {
			return message.RequestKey{ID: message.RequestID(rapid.IntRange(1, max(id, 1)).Draw(t, "id"))}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(*rapid.T) {
				id++
				i := item(id, message.KindID(rapid.IntRange(0, 2).Draw(t, "kind")), rapid.Uint64Range(0, 3).Draw(t, "caller"), 0)
				i.Deadline = now + time.Duration(rapid.IntRange(0, 500).Draw(t, "budget"))*time.Millisecond
				v := q.Offer(now, i)
				if v.Outcome == Queued {
					waits[i.Key] = true
				}
				if v.Outcome == Dispatch {
					dispatched(i.Key)
				}
				if v.HasVictim && !waits[v.Victim.Key] {
					t.Fatalf("victim %v does not wait", v.Victim.Key)
				}
				delete(waits, v.Victim.Key)
			},
			"next": func(*rapid.T) {
				i, v, ok := q.Next(now)
				if ok && !waits[i.Key] {
					t.Fatalf("%v does not wait", i.Key)
				}
				if v.Outcome == Dispatch {
					dispatched(i.Key)
				}
				delete(waits, i.Key)
			},
			"end": func(*rapid.T) {
				key := pick()
				if rapid.Bool().Draw(t, "measured") {
					q.Finish(now, key, time.Duration(rapid.IntRange(0, 100).Draw(t, "took"))*time.Millisecond)
				} else {
					q.Release(key)
				}
				delete(runs, key)
			},
			"cancel": func(*rapid.T) {
				key := pick()
				if q.Cancel(key) != waits[key] {
					t.Fatalf("%v waits: %v", key, waits[key])
				}
				delete(waits, key)
			},
			"occupy": func(*rapid.T) {
				id++
				key := message.RequestKey{ID: message.RequestID(id)}
				q.Occupy(key, now+time.Second)
				runs[key] = true
			},
			"limit": func(*rapid.T) {
				limit = rapid.IntRange(0, 4).Draw(t, "limit")
				q.SetLimit(limit)
			},
			"advance": func(*rapid.T) {
				now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
				q.Expire(now, func(key message.RequestKey) { delete(runs, key) })
			},
			"": func(*rapid.T) {
				if q.Len() != len(waits) || q.InFlight() != len(runs) || len(q.refs) != len(waits)+len(runs) || len(q.byDeadline) != len(waits) {
					t.Fatalf("%d wait, %d run; want %d and %d", q.Len(), q.InFlight(), len(waits), len(runs))
				}
				sum, effectiveSum := q.recentShares(now), 0.0
				q.setEffectiveShares(now, sum)
				for i := range q.kinds {
					if k := &q.kinds[i]; k.hasRecentDemand(now) {
						effectiveSum += k.effectiveShare
					}
				}
				if effectiveSum < sum-1e-9 || effectiveSum > sum+1e-9 {
					t.Fatalf("effective shares add up to %v, not %v", effectiveSum, sum)
				}
			},
		})
	})
}

// newCycle returns a function that offers one item to a queue that is nearly full
// and has no free slot, finishes one request and dispatches the next item.
func newCycle() (step func()) {
	q, id, now := newQueue(1), 0, time.Duration(0)
	offer := func() message.RequestKey {
		id++
		now += time.Millisecond
		i := item(id, message.KindID(id%len(workSpecs)), uint64(id%500), now+far)
		q.Offer(now, i)
		return i.Key
	}
	running := []message.RequestKey{offer(), offer(), offer()}
	for q.Len() < DefaultQueueCapacity-1 {
		offer()
	}
	return func() {
		offer()
		q.Finish(now, running[id%slots], 3*time.Millisecond)
		next, _, _ := q.Next(now)
		running[id%slots] = next.Key
		if q.InFlight() != slots {
			panic("nothing dispatched")
		}
	}
}

// Guards the data path against allocations, which cause garbage collection under load.
func TestNoAllocations(t *testing.T) {
	if allocs := testing.AllocsPerRun(100_000, newCycle()); allocs != 0 {
		t.Fatalf("%v allocations per request", allocs)
	}
}

func BenchmarkOfferNextFinish(b *testing.B) {
	step := newCycle()
	b.ReportAllocs()
	for b.Loop() {
		step()
	}
}
