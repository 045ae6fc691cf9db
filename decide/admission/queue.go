package admission

import (
	"math"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// Queue holds the slots and the waiting items of one owned target. It is not
// safe for concurrent use.
type Queue struct {
	limit    int
	capacity int
	seed     uint64
	kinds    []kind
	nodes    []node
	free     int32 // list of free nodes
	waiting  int
	byEnd    deadlineHeap
	known    map[message.RequestKey]ref
	flights  []flight
	virtual  float64       // virtual time: the start tag of the last dispatched item
	learning bool          // learned is set
	learned  time.Duration // time of the last update of the baselines
	protect  bool          // classify applies; tests switch it off to measure its effect
}

// ref says where an item is: a node index if waiting, or -1 minus the index of
// its flight.
type ref int32

// New returns an empty queue.
func New(c Config) *Queue {
	if c.QueueCapacity <= 0 {
		c.QueueCapacity = DefaultQueueCapacity
	}
	q := &Queue{
		limit:    max(c.Limit, 0),
		capacity: c.QueueCapacity,
		seed:     c.Seed,
		nodes:    make([]node, c.QueueCapacity),
		byEnd:    make(deadlineHeap, 0, c.QueueCapacity),
		known:    make(map[message.RequestKey]ref, 2*(c.QueueCapacity+max(c.Limit, 0))),
		flights:  make([]flight, 0, max(c.Limit, 0)),
		protect:  true,
	}
	q.linkFree()
	q.SetKinds(c.Kinds)
	return q
}

// linkFree puts all nodes into the free list.
func (q *Queue) linkFree() {
	for i := range q.nodes {
		q.nodes[i].next = int32(i) + 1
	}
	q.nodes[len(q.nodes)-1].next = none
}

// SetKinds changes urgencies and shares. Waiting items of a kind that is no
// longer listed are refused by Next.
func (q *Queue) SetKinds(kinds []KindConfig) {
	for len(q.kinds) < len(kinds) {
		q.kinds = append(q.kinds, kind{service: initialService.Seconds(), usual: baseline{trust: 1}})
		q.kinds[len(q.kinds)-1].init()
	}
	for i := range q.kinds {
		if i < len(kinds) {
			q.kinds[i].configure(kinds[i])
		} else {
			q.kinds[i].removed = true
		}
	}
}

// SetLimit changes the number of slots. If more are in use, nothing is
// dispatched until enough of them are free.
func (q *Queue) SetLimit(limit int) {
	q.limit = max(limit, 0)
}

// InFlight returns the number of slots in use, those of a previous owner included.
func (q *Queue) InFlight() int {
	return len(q.flights)
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	return q.waiting
}

// Offer decides on a new item. It refuses the item if less than the expected
// service time is left before its deadline, since a request that runs into its
// deadline at the target can only be answered "may have run". It dispatches the
// item at once if a slot is free for its kind and no waiting item may take that
// slot. Otherwise the item waits, or is refused if the wait is expected to be too
// long or if the queue is full and its own bucket is the one to give way. With HasVictim set,
// Cause and RetryAfter are for the victim. An item that waits or runs already is
// left as it is, with outcome Queued.
func (q *Queue) Offer(now time.Duration, item Item) Verdict {
	if _, ok := q.known[item.Key]; ok {
		return Verdict{Outcome: Queued}
	}
	k := q.kind(item.Kind)
	if k == nil {
		return Verdict{Outcome: Refused, Cause: message.CauseUnknownTable}
	}
	k.offer(now, item.Deadline-now)
	if now+k.needed(now) > item.Deadline {
		return q.refuse(now, k, message.CauseDeadline)
	}
	if q.pick(now, k) == k && k.len == 0 {
		q.start(now, k, item)
		return Verdict{Outcome: Dispatch}
	}
	i := k.choose(item.Caller, q.seed)
	if q.tooLate(now, k, i, item.Deadline) {
		return q.refuse(now, k, message.CauseDeadline)
	}
	if q.waiting == q.capacity {
		return q.overflow(now, item, k, i)
	}
	q.enqueue(item, k, i)
	return Verdict{Outcome: Queued}
}

// kind returns the kind with the given id, or nil if the table has none.
func (q *Queue) kind(id message.KindID) *kind {
	if int(id) >= len(q.kinds) || q.kinds[id].removed {
		return nil
	}
	return &q.kinds[id]
}

// Waiting returns the number of items of a kind that wait, 0 for an unknown kind.
func (q *Queue) Waiting(id message.KindID) int {
	k := q.kind(id)
	if k == nil {
		return 0
	}
	return int(k.len)
}

// Next returns the next item to dispatch (it holds a slot now) or to refuse. It
// returns false when nothing is to be done. The caller repeats it until then
// after slots were freed and on every tick.
func (q *Queue) Next(now time.Duration) (Item, Verdict, bool) {
	if n := q.hopeless(now); n != none {
		return q.refuseWaiting(now, n, message.CauseDeadline)
	}
	k := q.pick(now, nil)
	if k == nil {
		return Item{}, Verdict{}, false
	}
	n := k.all[k.current()].head
	if k.removed {
		return q.refuseWaiting(now, n, message.CauseUnknownTable)
	}
	if now+k.needed(now) > q.nodes[n].item.Deadline {
		return q.refuseWaiting(now, n, message.CauseDeadline)
	}
	item := q.serve(k)
	q.start(now, k, item)
	return item, Verdict{Outcome: Dispatch}, true
}

// hopeless returns the waiting item with the earliest deadline if it can no
// longer finish in time, or none. Other items are checked when their turn comes.
func (q *Queue) hopeless(now time.Duration) int32 {
	if len(q.byEnd) == 0 {
		return none
	}
	n := q.byEnd[0]
	item := &q.nodes[n].item
	if now+q.kinds[item.Kind].needed(now) > item.Deadline {
		return n
	}
	return none
}

func (q *Queue) refuseWaiting(now time.Duration, n int32, cause message.Cause) (Item, Verdict, bool) {
	item := q.nodes[n].item
	q.unqueue(n)
	return item, q.refuse(now, &q.kinds[item.Kind], cause), true
}

// refuse returns the verdict on a refused item of kind k, and notes whether k
// floods.
func (q *Queue) refuse(now time.Duration, k *kind, cause message.Cause) Verdict {
	if k.floods(now) {
		k.held = now + floodHold
	}
	return Verdict{Outcome: Refused, Cause: cause, RetryAfter: q.retryAfter(k)}
}

// Cancel removes a waiting item. It returns false if the item does not wait;
// one that runs keeps its slot.
func (q *Queue) Cancel(key message.RequestKey) (wasQueued bool) {
	r, ok := q.known[key]
	if !ok || r < 0 {
		return false
	}
	q.unqueue(int32(r))
	return true
}

// Drain removes all waiting items and reports them in service order. Slots in
// use stay. yield must not call the queue.
func (q *Queue) Drain(yield func(Item)) {
	for i := range q.kinds {
		q.kinds[i].slots = math.MaxInt
	}
	for q.waiting > 0 {
		k := q.earliest(nil)
		item := q.serve(k)
		q.charge(k)
		yield(item)
	}
}

// enqueue adds a waiting item. The queue must not be full.
func (q *Queue) enqueue(item Item, k *kind, bucket int32) {
	n := q.free
	q.free = q.nodes[n].next
	q.nodes[n].item = item
	k.push(q.nodes, n, bucket)
	q.byEnd.push(q.nodes, n)
	q.known[item.Key] = ref(n)
	q.waiting++
}

// unqueue removes a waiting item.
func (q *Queue) unqueue(n int32) {
	item := &q.nodes[n].item
	q.kinds[item.Kind].remove(q.nodes, n)
	q.byEnd.remove(q.nodes, n)
	delete(q.known, item.Key)
	q.nodes[n].next = q.free
	q.free = n
	q.waiting--
}

// serve removes and returns the next item of kind k.
func (q *Queue) serve(k *kind) Item {
	i := k.current()
	n := k.all[i].head
	item := q.nodes[n].item
	q.unqueue(n)
	k.rotate(i)
	return item
}
