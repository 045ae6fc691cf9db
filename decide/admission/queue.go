package admission

import (
	"math"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// Queue holds the slots and the waiting items of one owned target. It is not
// safe for concurrent use.
type Queue struct {
	limit              int
	capacity           int
	seed               uint64
	kinds              []kind
	nodes              []node
	free               int32 // head of the list of free nodes
	waiting            int
	byDeadline         deadlineHeap
	refs               map[message.RequestKey]itemRef
	busySlots          []busySlot
	virtualTime        float64       // start tag of the last dispatched item
	baselinesStarted   bool          // baselinesUpdatedAt is set
	baselinesUpdatedAt time.Duration // time of the last update of the baselines
	classifyEnabled    bool          // tests clear it to measure the effect of classify
}

// itemRef locates an item: its node index if it waits, or -1 minus its index in
// Queue.busySlots.
type itemRef int32

// New returns an empty queue.
func New(c Config) *Queue {
	if c.QueueCapacity <= 0 {
		c.QueueCapacity = DefaultQueueCapacity
	}
	q := &Queue{
		limit:           max(c.Limit, 0),
		capacity:        c.QueueCapacity,
		seed:            c.Seed,
		nodes:           make([]node, c.QueueCapacity),
		byDeadline:      make(deadlineHeap, 0, c.QueueCapacity),
		refs:            make(map[message.RequestKey]itemRef, 2*(c.QueueCapacity+max(c.Limit, 0))),
		busySlots:       make([]busySlot, 0, max(c.Limit, 0)),
		classifyEnabled: true,
	}
	q.initFreeList()
	q.SetKinds(c.Kinds)
	return q
}

// initFreeList puts all nodes into the free list.
func (q *Queue) initFreeList() {
	for i := range q.nodes {
		q.nodes[i].next = int32(i) + 1
	}
	q.nodes[len(q.nodes)-1].next = none
}

// SetKinds changes urgencies and shares. Waiting items of a kind that is no
// longer listed are refused by Next when a slot is free and it is their turn.
func (q *Queue) SetKinds(kinds []KindConfig) {
	for len(q.kinds) < len(kinds) {
		q.kinds = append(q.kinds, kind{service: initialService.Seconds(), usage: baseline{protection: 1}})
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
	return len(q.busySlots)
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	return q.waiting
}

// Offer decides on a new item. It refuses the item if less than the expected
// service time is left before its deadline, since a request that passes its
// deadline at the target can only be answered "may have run". It dispatches the
// item at once if a slot is free for its kind and no waiting item is entitled to
// that slot. Otherwise the item waits. It is refused if the expected wait is too
// long, or if the queue is full and its own bucket is the one to evict from. With
// HasVictim set, Cause and RetryAfter are for the victim. An item of an unknown or
// removed kind is refused with CauseUnknownTable and a RetryAfter of 0. Offering an
// item that waits or was dispatched already has no effect and returns Queued.
func (q *Queue) Offer(now time.Duration, item Item) Verdict {
	if _, ok := q.refs[item.Key]; ok {
		return Verdict{Outcome: Queued}
	}
	k := q.kind(item.Kind)
	if k == nil {
		return Verdict{Outcome: Refused, Cause: message.CauseUnknownTable}
	}
	k.recordOffer(now, item.Deadline-now)
	if now+k.minTimeLeft(now) > item.Deadline {
		return q.refuse(now, k, message.CauseDeadline)
	}
	if q.pick(now, k) == k && k.len == 0 {
		q.dispatch(now, k, item)
		return Verdict{Outcome: Dispatch}
	}
	i := k.choose(item.Caller, q.seed)
	if q.missesDeadline(now, k, i, item.Deadline) {
		return q.refuse(now, k, message.CauseDeadline)
	}
	if q.waiting == q.capacity {
		return q.offerToFullQueue(now, item, k, i)
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

// Waiting returns the number of waiting items of a kind, 0 for an unknown kind.
func (q *Queue) Waiting(id message.KindID) int {
	k := q.kind(id)
	if k == nil {
		return 0
	}
	return int(k.len)
}

// Next returns the next item to dispatch (a slot is assigned to it) or to refuse,
// or false if there is none. After slots were freed and on every tick, the
// caller calls it until it returns false.
func (q *Queue) Next(now time.Duration) (Item, Verdict, bool) {
	if n := q.firstUnservable(now); n != none {
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
	if now+k.minTimeLeft(now) > q.nodes[n].item.Deadline {
		return q.refuseWaiting(now, n, message.CauseDeadline)
	}
	item := q.dequeue(k)
	q.dispatch(now, k, item)
	return item, Verdict{Outcome: Dispatch}, true
}

// firstUnservable returns the waiting item with the earliest deadline if it can no
// longer finish in time, or none. Other items are checked before their dispatch.
func (q *Queue) firstUnservable(now time.Duration) int32 {
	if len(q.byDeadline) == 0 {
		return none
	}
	n := q.byDeadline[0]
	item := &q.nodes[n].item
	if now+q.kinds[item.Kind].minTimeLeft(now) > item.Deadline {
		return n
	}
	return none
}

func (q *Queue) refuseWaiting(now time.Duration, n int32, cause message.Cause) (Item, Verdict, bool) {
	item := q.nodes[n].item
	q.removeWaiting(n)
	return item, q.refuse(now, &q.kinds[item.Kind], cause), true
}

// refuse returns the verdict on a refused item of kind k, and records whether k is
// flooding.
func (q *Queue) refuse(now time.Duration, k *kind, cause message.Cause) Verdict {
	if k.flooding(now) {
		k.floodingUntil = now + floodHoldTime
	}
	return Verdict{Outcome: Refused, Cause: cause, RetryAfter: q.retryAfter(k)}
}

// Cancel removes a waiting item. It returns false if the item does not wait; a
// dispatched item keeps its slot.
func (q *Queue) Cancel(key message.RequestKey) (wasQueued bool) {
	r, ok := q.refs[key]
	if !ok || r < 0 {
		return false
	}
	q.removeWaiting(int32(r))
	return true
}

// Drain removes all waiting items and passes them to yield in service order. Slots
// in use stay in use. yield must not call the queue.
func (q *Queue) Drain(yield func(Item)) {
	for i := range q.kinds {
		q.kinds[i].slotLimit = math.MaxInt
	}
	for q.waiting > 0 {
		k := q.earliest(nil)
		item := q.dequeue(k)
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
	q.byDeadline.push(q.nodes, n)
	q.refs[item.Key] = itemRef(n)
	q.waiting++
}

// removeWaiting removes a waiting item.
func (q *Queue) removeWaiting(n int32) {
	item := &q.nodes[n].item
	q.kinds[item.Kind].remove(q.nodes, n)
	q.byDeadline.remove(q.nodes, n)
	delete(q.refs, item.Key)
	q.nodes[n].next = q.free
	q.free = n
	q.waiting--
}

// dequeue removes and returns the next item of kind k.
func (q *Queue) dequeue(k *kind) Item {
	i := k.current()
	n := k.all[i].head
	item := q.nodes[n].item
	q.removeWaiting(n)
	k.rotate(i)
	return item
}
