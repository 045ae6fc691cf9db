package admission

import "github.com/gypsumspan/gypsumspan/decide/rendezvous"

// callerBuckets is the number of caller buckets of one kind.
const callerBuckets = 64

// none stands for no index: the end of an index-linked list, an item that was not
// found, or no bucket.
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
	listState  listState
	next       int32 // in the same bucketList
}

// listState is the bucketList that a bucket is in.
type listState uint8

const (
	inNoList  listState = iota // the bucket is empty and in neither list
	inNewList                  // it became non-empty and has had no turn since
	inOldList                  // it has had a turn since it entered the new list
)

// bucketList is a list of buckets in service order, linked by bucket.next.
type bucketList struct {
	head, tail int32
	len        int32
}

// buckets holds the waiting items of one kind. As in DRR++ and RFC 8290, buckets of
// the new list are served before those of the old list, one item each, and then
// move to the end of the old list, even when empty. An empty bucket leaves the old
// list when it reaches the head. A caller with few requests is thus served before a
// flooding one, and no bucket can pass another twice in one round.
type buckets struct {
	all      [callerBuckets]bucket
	newList  bucketList
	oldList  bucketList
	nonEmpty int32 // non-empty buckets
	len      int32
}

func (b *buckets) init() {
	b.newList = bucketList{head: none, tail: none}
	b.oldList = bucketList{head: none, tail: none}
	for i := range b.all {
		b.all[i] = bucket{head: none, tail: none, next: none}
	}
}

// choose returns the bucket that an item of the caller joins: the shorter of the
// caller's two buckets.
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
		b.nonEmpty++
		b.addToNewList(i)
	} else {
		nodes[t.tail].next = n
	}
	t.tail = n
	t.len++
	b.len++
}

// remove unlinks node n from its bucket.
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
		b.nonEmpty--
	}
}

// addToNewList appends bucket i to the new list, unless it is in a list already.
func (b *buckets) addToNewList(i int32) {
	if b.all[i].listState == inNoList {
		b.append(&b.newList, i)
		b.all[i].listState = inNewList
	}
}

// current returns the bucket to be served next. The kind must have waiting items.
func (b *buckets) current() int32 {
	for b.newList.head != none {
		i := b.newList.head
		if b.all[i].len > 0 {
			return i
		}
		b.rotate(i)
	}
	for b.all[b.oldList.head].len == 0 {
		i := b.oldList.head
		b.pop(&b.oldList)
		b.all[i].listState = inNoList
	}
	return b.oldList.head
}

// rotate moves the current bucket i to the end of the old list.
func (b *buckets) rotate(i int32) {
	if b.all[i].listState == inNewList {
		b.pop(&b.newList)
	} else {
		b.pop(&b.oldList)
	}
	b.append(&b.oldList, i)
	b.all[i].listState = inOldList
}

func (b *buckets) append(list *bucketList, i int32) {
	b.all[i].next = none
	if list.tail == none {
		list.head = i
	} else {
		b.all[list.tail].next = i
	}
	list.tail = i
	list.len++
}

func (b *buckets) pop(list *bucketList) {
	list.head = b.all[list.head].next
	if list.head == none {
		list.tail = none
	}
	list.len--
}

// longest returns the longest bucket, counting one more item in bucket extra
// (none: no extra item). Bucket extra wins ties, so that a waiting item is not
// evicted for one whose bucket is just as long.
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

// itemsAhead estimates how many items of the kind are served before a new item of
// bucket i. For a bucket that is in no list these are one item of each bucket in the
// new list. Otherwise they are the items of bucket i and, of each other non-empty
// bucket, one more than these, since each of its turns may come first.
func (b *buckets) itemsAhead(i int32) int32 {
	if b.all[i].listState == inNoList {
		return b.newList.len
	}
	own := b.all[i].len
	others := b.nonEmpty
	if own > 0 {
		others--
	}
	return min(b.len, own+(own+1)*others)
}
