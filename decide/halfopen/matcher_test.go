package halfopen

import (
	"flag"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/gypsumspan/gypsumspan/decide/flow"
)

// rapid uses a fixed seed; -rapid.seed overrides it.
var _ = flag.Set("rapid.seed", "20261207")

func key(n uint16) flow.Key {
	return flow.Key{Caller: flow.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: n}, Address: flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 80}}
}

func vm(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7700)
}

// Guards against a keeper that tells the VMs of a flow of each other in one order of their messages
// only, or with an age that stands still.
func TestMatchesInEitherOrder(t *testing.T) {
	is := is.New(t)
	u := Unopened{Flow: key(1), TargetCookie: 7, SYNSeq: 100, Age: time.Second}
	c := Opened{Flow: key(1), TargetCookie: 9, SYNSeq: 100}

	var first Matcher
	is.Equal(len(first.AddUnopened(0, u, vm(1))), 0)
	older := u
	older.Age += 2 * time.Second
	is.Equal(first.AddOpened(2*time.Second, c, vm(2)), []Match{{older, vm(1), c, vm(2)}})

	var second Matcher
	is.Equal(len(second.AddOpened(0, c, vm(2))), 0)
	older.Age, c.Age = u.Age, time.Second
	is.Equal(second.AddUnopened(time.Second, u, vm(1)), []Match{{older, vm(1), c, vm(2)}})
}

// Guards against corrections of the target at which the flow has opened, and of one that has given the
// flow up.
func TestNoMatchWithoutDanger(t *testing.T) {
	is := is.New(t)
	var m Matcher
	m.AddUnopened(0, Unopened{Flow: key(1), TargetCookie: 7}, vm(1))
	is.Equal(len(m.AddOpened(0, Opened{Flow: key(1), TargetCookie: 7}, vm(2))), 0)
	is.Equal(len(m.AddOpened(0, Opened{Flow: key(2), TargetCookie: 9}, vm(2))), 0)
	is.Equal(len(m.AddOpened(0, Opened{Flow: key(1), TargetCookie: 9, SYNSeq: 5}, vm(2))), 0) // a later flow
	is.Equal(len(m.AddOpened(RepeatTime, Opened{Flow: key(1), TargetCookie: 9}, vm(2))), 0)
}

// Guards against a matcher that grows in a storm of copies, and against drops that are not counted.
func TestMatcherIsBounded(t *testing.T) {
	is := is.New(t)
	var m Matcher
	for n := range maxEntries + 10 {
		m.AddUnopened(0, Unopened{Flow: key(uint16(n)), TargetCookie: 7}, vm(1))
	}
	is.Equal(len(m.entries), maxEntries)
	is.Equal(m.Dropped(), uint64(10))
	m.AddUnopened(RepeatTime, Unopened{Flow: key(9), TargetCookie: 7}, vm(1))
	is.Equal(len(m.entries), 1)
}

// Guards against lost matches: whatever the order and repetition of the messages, every unopened target
// of a opened flow is told, until it has given the flow up.
func TestEveryPairIsMatched(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Matcher
		now := time.Duration(0)
		var opened bool
		sentAt, matched := map[uint32]time.Duration{}, map[uint32]bool{}
		c := Opened{Flow: key(1), TargetCookie: 9}
		note := func(list []Match) {
			for _, match := range list {
				if match.OpenedAt != vm(9) || match.UnopenedAt != vm(byte(match.Unopened.TargetCookie)) {
					t.Fatalf("match with the wrong VMs: %+v", match)
				}
				if want := now - sentAt[match.Unopened.TargetCookie]; match.Unopened.Age != want {
					t.Fatalf("age %s, want %s", match.Unopened.Age, want)
				}
				matched[match.Unopened.TargetCookie] = true
			}
		}
		for range rapid.IntRange(2, 8).Draw(t, "messages") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
			if target := rapid.Uint32Range(1, 3).Draw(t, "message"); target == 3 {
				opened = true
				note(m.AddOpened(now, c, vm(9)))
			} else {
				if _, known := sentAt[target]; !known {
					sentAt[target] = now
				}
				note(m.AddUnopened(now, Unopened{Flow: key(1), TargetCookie: target, Age: now - sentAt[target]}, vm(byte(target))))
			}
		}
		for target := range sentAt {
			if opened && !matched[target] {
				t.Fatalf("target %d was not told", target)
			}
		}
	})
}
