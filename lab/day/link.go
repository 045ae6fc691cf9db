package day

import (
	"slices"
	"time"
)

const (
	// storeAnswerOverhead and storeItemOverhead are the sizes in bytes of an answer of the store
	// without items, and of an item without key and value.
	storeAnswerOverhead = 300
	storeItemOverhead   = 120
)

// link is one direction of a VM's link to the network. Transfers share its rate equally, as TCP
// connections do. Datagrams are small and do not count.
type link struct {
	timeline  *timeline
	rate      float64 // bytes per second; 0: transfers take no time
	transfers []*transfer
	updatedAt time.Duration // time up to which the transfers have progressed
	wakeID    int           // the scheduled wake-up; earlier ones are void
}

// transfer is a number of bytes on their way.
type transfer struct {
	left float64 // bytes
	done func()
}

// send transfers a number of bytes and then calls done. The returned function ends the transfer
// early.
func (l *link) send(bytes int, done func()) (cancel func()) {
	if l.rate == 0 {
		done()
		return func() {}
	}
	l.progress()
	t := &transfer{left: float64(bytes), done: done}
	l.transfers = append(l.transfers, t)
	l.schedule()
	return func() {
		l.progress()
		l.transfers = slices.DeleteFunc(l.transfers, func(other *transfer) bool { return other == t })
		l.schedule()
	}
}

// progress moves the transfers on to the present time.
func (l *link) progress() {
	now := l.timeline.now()
	if n := len(l.transfers); n > 0 {
		share := l.rate * (now - l.updatedAt).Seconds() / float64(n)
		for _, t := range l.transfers {
			t.left -= share
		}
	}
	l.updatedAt = now
}

// schedule wakes the link when the next transfer ends.
func (l *link) schedule() {
	l.wakeID++
	if len(l.transfers) == 0 {
		return
	}
	wakeID, next := l.wakeID, slices.MinFunc(l.transfers, func(a, b *transfer) int { return int(min(max(a.left-b.left, -1), 1)) })
	wait := time.Duration(max(next.left, 0) * float64(len(l.transfers)) / l.rate * float64(time.Second))
	l.timeline.after(wait+time.Microsecond, func() {
		if wakeID == l.wakeID {
			l.finish()
		}
	})
}

// finish ends the transfers that have no bytes left.
func (l *link) finish() {
	l.progress()
	var ended []*transfer
	l.transfers = slices.DeleteFunc(l.transfers, func(t *transfer) bool {
		if t.left <= 0 {
			ended = append(ended, t)
		}
		return t.left <= 0
	})
	l.schedule()
	for _, t := range ended {
		t.done()
	}
}

// bytesPerSecond converts a rate in Mbit/s.
func bytesPerSecond(mbps float64) float64 {
	const bits = 8
	return mbps * 1e6 / bits
}
