package admission

import "github.com/gypsumspan/gypsumspan/decide/rendezvous"

// callerBuckets is the number of caller buckets of one kind.
const callerBuckets = 64

// none marks the end of an index-linked list.
const none = -1

// node is one waiting item. Nodes live in one slice and refer to each other by
// index.
type node struct {
	item      Item
	bucket    int32
	next      int32 // of the bucket, or of the free list
	prev      int32
	heapIndex int32
}

// bucket is the FIFO queue of some callers of one kind.
type bucket struct {
	head, tail int32 // nodes
	len        int32
	turn       turn
	next       int32 // bucket in the same turn
}

// turn says in which list a bucket waits for its turn.
type turn uint8

const (
	noTurn    turn = iota // the bucket is empty and was not served recently
	firstTurn             // it got its first item since it had noTurn
	laterTurn             // it was served since
)

// turns is a list of buckets in order of service.
type turns struct {
	head, tail int32
	len        int32
}

// buckets holds the waiting items of one kind. Buckets in firstTurn are served
// before those in laterTurn, one item each, and then move to the end of
// laterTurn, even when empty. An empty bucket leaves laterTurn when its turn
// comes. A caller with few requests is thus served before a flooding one, and no
// bucket can pass another twice in one round.
type buckets struct {
	all    [callerBuckets]bucket
	first  turns
	later  turns
	active int32 // non-empty buckets
	len    int32
}

func (b *buckets) init() {
	b.first = turns{head: none, tail: none}
	b.later = turns{head: none, tail: none}
	for i := range b.all {
		b.all[i] = bucket{head: none, tail: none, next: none}
	}
}

// choose returns the bucket that an item of the caller would join.
func (b *buckets) choose(caller, seed uint64) int32 {
	h := rendezvous.Mix(caller, seed)
	first := int32(h % callerBuckets)
	second := int32((h >> 32) % callerBuckets)
	if b.all[second].len < b.all[first].len {
		return second
	}
	return first
}

// push appends node n to bucket i.
func (b *buckets) push(nodes []node, n, i int32) {
	t := &b.all[i]
	nodes[n].bucket = i
	nodes[n].next = none
	nodes[n].prev = t.tail
	if t.tail == none {
		t.head = n
		b.active++
		b.enter(i)
	} else {
		nodes[t.tail].next = n
	}
	t.tail = n
	t.len++
	b.len++
}

// remove takes node n out of its bucket.
func (b *buckets) remove(nodes []node, n int32) {
	i := nodes[n].bucket
	t := &b.all[i]
	next, prev := nodes[n].next, nodes[n].prev
	if prev == none {
		t.head = next
	} else {
		nodes[prev].next = next
	}
	if next == none {
		t.tail = prev
	} else {
		nodes[next].prev = prev
	}
	t.len--
	b.len--
	if t.len == 0 {
		b.active--
	}
}

// enter gives bucket i its first turn, unless it waits for a later one.
func (b *buckets) enter(i int32) {
	if b.all[i].turn == noTurn {
		b.append(&b.first, i)
		b.all[i].turn = firstTurn
	}
}

// current returns the bucket to be served next. The kind must have items.
func (b *buckets) current() int32 {
	for b.first.head != none {
		i := b.first.head
		if b.all[i].len > 0 {
			return i
		}
		b.rotate(i)
	}
	for b.all[b.later.head].len == 0 {
		i := b.later.head
		b.pop(&b.later)
		b.all[i].turn = noTurn
	}
	return b.later.head
}

// rotate moves the current bucket i to the end of its later turns.
func (b *buckets) rotate(i int32) {
	if b.all[i].turn == firstTurn {
		b.pop(&b.first)
	} else {
		b.pop(&b.later)
	}
	b.append(&b.later, i)
	b.all[i].turn = laterTurn
}

func (b *buckets) append(list *turns, i int32) {
	b.all[i].next = none
	if list.tail == none {
		list.head = i
	} else {
		b.all[list.tail].next = i
	}
	list.tail = i
	list.len++
}

func (b *buckets) pop(list *turns) {
	list.head = b.all[list.head].next
	if list.head == none {
		list.tail = none
	}
	list.len--
}

// longest returns the longest bucket, counting one more item in bucket extra
// (none: no extra item). Bucket extra wins ties, so that no waiting item gives
// way to one that is no better.
func (b *buckets) longest(extra int32) int32 {
	best, bestLen := int32(0), int32(-1)
	for i := range b.all {
		n := b.all[i].len
		if int32(i) == extra {
			n++
		}
		if n > bestLen || (n == bestLen && int32(i) == extra) {
			best, bestLen = int32(i), n
		}
	}
	return best
}

// ahead estimates how many items of the kind are served before a new item of
// bucket i: those with a first turn, or else those of its own bucket and as many
// of each other one.
func (b *buckets) ahead(i int32) int32 {
	if b.all[i].turn == noTurn {
		return b.first.len
	}
	own := b.all[i].len
	others := b.active
	if own > 0 {
		others--
	}
	return min(b.len, own+(own+1)*others)
}
