package relay

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/revision"
)

// eraMembers returns two VMs of a domain; the first one is ranked higher.
func eraMembers() (upstream, self Member) {
	upstream = Member{Name: "vm-1", Domain: "a", HeartbeatAddr: netip.MustParseAddrPort("10.0.0.1:1"), PullAddr: netip.MustParseAddrPort("10.0.0.1:2")}
	self = Member{Name: "vm-2", Domain: "a", HeartbeatAddr: netip.MustParseAddrPort("10.0.0.2:1"), PullAddr: netip.MustParseAddrPort("10.0.0.2:2")}
	if scoreOf(upstream.Domain, upstream.Name) < scoreOf(self.Domain, self.Name) {
		return self, upstream
	}
	return upstream, self
}

// completeRead returns the answer of the store with the given VMs, a target and a snapshot.
func completeRead(at revision.Revision, vms ...Member) Update {
	u := Update{Revision: at, Complete: true, Items: []Item{
		{Key: "targets/t", Value: []byte("v"), Revision: revision.New(at.Era(), 2)},
		{Key: snapshotKey, Revision: revision.New(at.Era(), 3)},
	}}
	for _, v := range vms {
		u.Items = append(u.Items, Item{Key: v.Key(prefix), Value: v.Value(), Revision: revision.New(at.Era(), 4)})
	}
	return u
}

// newEraMachine returns the lower-ranked VM, which has read the store in era 1 and, if rewound
// is set, in era 2.
func newEraMachine(rewound bool) *Machine {
	upstream, self := eraMembers()
	m := New(Config{Self: self, MemberPrefix: prefix, MaxAge: maxAge, SnapshotKey: snapshotKey, SnapshotInterval: snapshotInterval})
	m.HandleStoreUpdate(0, 0, completeRead(revision.New(1, 9), upstream, self))
	if rewound {
		m.HandleStoreUpdate(0, 0, completeRead(revision.New(2, 7), upstream, self))
	}
	m.TakeOutput()
	return m
}

// Guards against a VM that does not learn that entries may be missing after a rewind, whose
// catalog takes the new revisions for old ones, or that reports a rewind at its start.
func TestRiseOfTheEraEndsAnOutage(t *testing.T) {
	is := is.New(t)
	m := newEraMachine(false)
	start := New(m.config)
	start.HandleStoreUpdate(0, 0, completeRead(revision.New(3, 5)))
	is.Equal(len(start.TakeOutput().EraChanges), 0)

	m.HandleStoreUpdate(time.Second, 0, completeRead(revision.New(2, 7)))
	out := m.TakeOutput()
	is.Equal(out.EraChanges, []EraChange{{Before: 1, After: 2}})
	is.True(out.StoreRegained && !out.StoreLost)
	is.Equal(out.RegainedAt, time.Second)
	for _, item := range out.Changes {
		is.Equal(item.Revision.Era(), uint32(2))
	}
	is.Equal(len(out.Changes), 3) // the target, and the deletions of two VMs
	is.Equal(m.confirmation(2*time.Second), Confirmation{Revision: revision.New(2, 7), Age: time.Second, SinceRegained: time.Second, HasRegained: true})

	// From another VM, which has learned of the new era half a second before.
	m = newEraMachine(false)
	answer := completeRead(revision.New(2, 7))
	answer.Confirmed = Confirmation{Revision: revision.New(2, 7), SinceRegained: 500 * time.Millisecond, HasRegained: true}
	m.HandlePullAnswer(time.Second, time.Second, answer)
	out = m.TakeOutput()
	is.True(out.StoreRegained)
	is.Equal(out.RegainedAt, 500*time.Millisecond)
	is.Equal(len(out.EraChanges), 1)
	for i := range uint32(2) { // again and again, within regainTolerance
		now := 1100*time.Millisecond + time.Duration(i)*regainTolerance/2
		m.HandleStoreUpdate(now, 0, completeRead(revision.New(3+i, 6)))
		out = m.TakeOutput()
		is.True(out.StoreRegained)
		is.Equal(out.RegainedAt, now)
		is.Equal(out.EraChanges, []EraChange{{Before: 2 + i, After: 3 + i}})
	}
}

// Guards against a VM that passes on, or relies on, a confirmation of an earlier era than that
// of its replica.
func TestConfirmationsOfAnEarlierEra(t *testing.T) {
	is := is.New(t)
	m := newEraMachine(false)
	answer := completeRead(revision.New(2, 7))
	answer.Confirmed = Confirmation{Revision: revision.New(1, 500)}
	m.HandlePullAnswer(time.Second, time.Second, answer)
	is.Equal(m.replica.Revision(), revision.New(2, 7))
	is.Equal(m.confirmation(time.Second), Confirmation{})
	age, ok := m.Age(time.Second)
	is.True(ok)
	is.Equal(age, time.Second) // not confirmed by the answer
}

// Guards against answers of an earlier era that arrive late and change the replica, its
// confirmation or the own watch, and against a part of a later era that is taken for all of it.
func TestAnswersOfAnotherEra(t *testing.T) {
	upstream, self := eraMembers()
	early, late := revision.New(1, 400), revision.New(3, 1)
	extra := []Item{{Key: "targets/extra", Value: []byte("v"), Revision: early}}
	hear := func(r revision.Revision, items []Item) func(m *Machine) {
		return func(m *Machine) {
			m.HandleHeartbeat(time.Second, 0, upstream.HeartbeatAddr, Heartbeat{
				Name: upstream.Name, Domain: upstream.Domain, Reply: true, Revision: r, Confirmed: Confirmation{Revision: r},
				HasItems: items != nil, After: 1, Items: items,
			})
		}
	}
	cases := []struct {
		name    string
		arrives func(m *Machine)
		direct  bool // the VM then watches the store itself
	}{
		{"late read", func(m *Machine) { m.HandleStoreUpdate(time.Second, 0, completeRead(early)) }, false},
		{"late events", func(m *Machine) { m.HandleStoreUpdate(time.Second, 0, Update{Revision: early, Items: extra}) }, false},
		{"late pull", func(m *Machine) {
			m.HandlePullAnswer(time.Second, 0, Update{Revision: early, Items: extra, Confirmed: Confirmation{Revision: early}})
		}, false},
		{"late heartbeat", hear(early, nil), false},
		{"late heartbeat with items", hear(early, extra), false},
		{"part of a later era", func(m *Machine) { m.HandlePullAnswer(time.Second, 0, Update{Revision: late}) }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newEraMachine(true)
			before, confirmed := liveItems(m.replica), m.confirmation(time.Second)
			c.arrives(m)
			is.Equal(m.replica.Revision(), revision.New(2, 7))
			is.Equal(liveItems(m.replica), before)
			is.Equal(m.confirmation(time.Second), confirmed)
			is.Equal(m.ShouldWatch(time.Second), c.direct)
			is.Equal(len(m.TakeOutput().Changes), 0)
		})
	}
	// A reply of an earlier era is no reason to leave the store alone.
	is := is.New(t)
	m := newEraMachine(true)
	for i := range 20 {
		other := Member{Name: fmt.Sprint("x", i), Domain: self.Domain, HeartbeatAddr: self.HeartbeatAddr, PullAddr: self.PullAddr}
		at := revision.New(2, int64(8+i))
		m.HandleStoreUpdate(0, 0, Update{Revision: at, Items: []Item{{Key: other.Key(prefix), Value: other.Value(), Revision: at}}})
	}
	m.PullFailed(0)
	hear(early, nil)(m)
	is.True(m.UsesSlowRetry(time.Second))
	is.True(m.ShouldWatch(time.Second))
}

// Guards against a lost entry or snapshot that is not written again, or is written on a
// condition that can't hold.
func TestWritesAfterARewind(t *testing.T) {
	is := is.New(t)
	m := newEraMachine(false)
	is.True(m.Registered())
	m.HandleStoreUpdate(time.Second, 0, completeRead(revision.New(2, 7)))
	is.True(!m.Registered())
	is.Equal(m.Registration().Revision, revision.Revision(0)) // the entry does not exist

	// The copy may hold the snapshot of the earlier era, also as the newest write.
	relay := newSnapshotMachine("a")
	is.True(snapshotAt(relay, relayStartDelay) != nil)
	now := 2 * time.Second
	is.Equal(snapshotAt(relay, now), nil)
	newest := revision.New(1, 3)
	relay.HandleStoreUpdate(now, 0, Update{Revision: newest, Complete: true, Items: []Item{
		{Key: "targets/t", Revision: revision.New(1, 2)}, {Key: snapshotKey, Revision: newest},
	}})
	s := snapshotAt(relay, now)
	is.True(s != nil)
	is.Equal(s.Revision, newest)
	is.Equal(s.Update.Revision, newest)
	is.Equal(snapshotAt(relay, now+time.Second), nil) // not before the next interval
	written := revision.New(1, 4)
	relay.HandleStoreUpdate(now+time.Second, 0, Update{Revision: written, Items: []Item{{Key: snapshotKey, Revision: written}}})
	is.Equal(snapshotAt(relay, now+time.Minute), nil) // it holds all changes
}

// Guards against the removal of entries that a rewind has brought back, or whose revisions are
// of an earlier era.
func TestNoRemovalOfEntriesAfterARewind(t *testing.T) {
	is := is.New(t)
	upstream, self := eraMembers()
	m := New(Config{Self: upstream, MemberPrefix: prefix, MaxAge: maxAge})
	removalAt := func(now time.Duration) *Item {
		m.HandleStoreUpdate(now, 0, Update{Revision: m.replica.Revision()})
		m.Tick(now)
		return m.TakeOutput().RemoveEntry
	}
	m.HandleStoreUpdate(0, 0, completeRead(revision.New(1, 9), upstream, self))
	is.Equal(removalAt(time.Second), nil)
	rewoundAt := removeEntryAfter
	m.HandleStoreUpdate(rewoundAt, 0, completeRead(revision.New(2, 7), upstream, self))
	for now := rewoundAt; now < rewoundAt+removeEntryAfter; now += time.Second {
		is.Equal(removalAt(now), nil)
	}
	removed := removalAt(rewoundAt + removeEntryAfter + 10*time.Second)
	is.True(removed != nil)
	is.Equal(removed.Revision, revision.New(2, 4))
}

// Guards against VMs that all become relays when the copy has no entries of VMs, and against
// VMs that have not come back and stay known for ever or are removed by a revision of an
// earlier era.
func TestLostMembersStayKnownForAWhile(t *testing.T) {
	is := is.New(t)
	upstream, self := eraMembers()
	m := newEraMachine(false)
	dead := Member{Name: "dead", Domain: "a", HeartbeatAddr: self.HeartbeatAddr, PullAddr: self.PullAddr}
	m.HandleStoreUpdate(0, 0, Update{Revision: revision.New(1, 10), Items: []Item{{Key: dead.Key(prefix), Value: dead.Value(), Revision: revision.New(1, 10)}}})
	rewoundAt := 2 * relayStartDelay
	m.HandleStoreUpdate(rewoundAt, 0, completeRead(revision.New(2, 5)))
	is.Equal(m.FleetSize(), 3)
	is.True(!m.Registered())
	m.Tick(rewoundAt)
	is.True(!m.IsRelay())
	back := revision.New(2, 6)
	m.HandleStoreUpdate(rewoundAt+time.Second, 0, Update{Revision: back, Items: []Item{{Key: upstream.Key(prefix), Value: upstream.Value(), Revision: back}}})
	removed := map[string]bool{}
	for now := rewoundAt; now <= rewoundAt+2*removeEntryAfter; now += 5 * time.Second {
		m.HandleStoreUpdate(now, 0, Update{Revision: back})
		m.HandleHeartbeat(now, 0, upstream.HeartbeatAddr, Heartbeat{Name: upstream.Name, Domain: upstream.Domain, Reply: true})
		m.Tick(now)
		if out := m.TakeOutput(); out.RemoveEntry != nil {
			removed[out.RemoveEntry.Key] = true
		}
	}
	is.Equal(m.FleetSize(), 2)
	is.True(!removed[dead.Key(prefix)])
}

// Guards against more writes of entries in one second after a rewind than the store accepts.
func TestRegistrationsAreSpread(t *testing.T) {
	is := is.New(t)
	const fleetSize, writesPerSecond = 15_000, 1200
	m := newEraMachine(false)
	for i := range fleetSize - m.FleetSize() {
		m.members.byKey[fmt.Sprint("other-", i)] = nil // for FleetSize
	}
	perSecond := make(map[time.Duration]int)
	for i := range fleetSize {
		m.config.Self.Name = fmt.Sprint("vm-", i)
		perSecond[m.RegistrationDelay()/time.Second]++
	}
	for _, n := range perSecond {
		is.True(n < writesPerSecond)
	}
	is.True(len(perSecond) <= fleetSize/registrationsPerSecond)
}

// Guards against VMs of a large catalog that all read the store after a rewind, since other
// VMs do not send them all keys.
func TestALargeCatalogIsSentIntoANewEra(t *testing.T) {
	is := is.New(t)
	m := newEraMachine(false)
	large := Item{Key: "servers", Value: make([]byte, maxSnapshotBytes+1), Revision: revision.New(2, 3)}
	m.HandleStoreUpdate(0, 0, Update{Revision: revision.New(2, 7), Items: []Item{large}, Complete: true})
	is.Equal(m.AnswerPull(0, revision.New(2, 6)), Update{})
	answer := m.AnswerPull(0, revision.New(1, 9))
	is.True(answer.Complete)
	is.Equal(answer.Items, []Item{large})
}

// withoutEra returns a heartbeat of an older build.
func withoutEra(from Member, number revision.Revision) Heartbeat {
	return Heartbeat{
		Name: from.Name, Domain: from.Domain, Reply: true, WithoutEra: true,
		Revision: number, Confirmed: Confirmation{Revision: number},
		HasItems: true, After: number - 1, Items: []Item{{Key: "targets/u", Value: []byte("v"), Revision: number}},
		Loads:   []Load{{Domain: "b", TargetDomain: "b", Service: "s", Flows: 3}},
		Samples: nil,
	}
}

// Guards against a VM that takes the revisions of an older build, which may be of an earlier
// era, for newer ones, and against one that ignores that build although no era has ended.
func TestHeartbeatsOfAnOlderBuild(t *testing.T) {
	upstream, _ := eraMembers()
	loads := []Load{{Domain: "b", TargetDomain: "b", Service: "s", Flows: 3}}
	t.Run("before a rise", func(t *testing.T) {
		is := is.New(t)
		m := newEraMachine(false)
		m.HandleHeartbeat(time.Second, 0, upstream.HeartbeatAddr, withoutEra(upstream, 10))
		is.Equal(m.replica.Revision(), revision.New(1, 10))
		is.Equal(m.TakeOutput().Changes[0].Revision, revision.New(1, 10))
		is.Equal(m.confirmation(time.Second).Revision, revision.New(1, 10))
		is.Equal(m.DomainLoads(time.Second), loads)
		is.True(!m.ShouldWatch(time.Second))
		is.Equal(m.AnswerPullWithoutEra(0, 9).Items[0].Key, "targets/u")
		m.HandlePullAnswer(time.Second, time.Second, Update{WithoutEra: true, Revision: 11, Items: []Item{{Key: "targets/x", Revision: 11}}})
		is.Equal(m.replica.Revision(), revision.New(1, 11))
	})
	t.Run("after a rise", func(t *testing.T) {
		is := is.New(t)
		m := newEraMachine(true)
		m.HandleHeartbeat(time.Second, 0, upstream.HeartbeatAddr, withoutEra(upstream, 8))
		is.Equal(m.replica.Revision(), revision.New(2, 7))
		is.Equal(m.confirmation(time.Second).Age, time.Second)
		out := m.TakeOutput()
		is.True(out.Pull == nil && len(out.Changes) == 0)
		is.Equal(m.DomainLoads(time.Second), loads)
		is.True(m.ShouldWatch(time.Second))
		is.True(m.AnswerPullWithoutEra(0, 400).Complete) // also if the number is ahead
		m.HandlePullAnswer(time.Second, time.Second, Update{WithoutEra: true, Revision: 11, Complete: true})
		is.Equal(m.replica.Revision(), revision.New(2, 7))
	})
}

// Guards against an older build that mixes what the store held in two eras.
func TestNoItemsForAnOlderBuildAfterARise(t *testing.T) {
	upstream, _ := eraMembers()
	for _, rewound := range []bool{false, true} {
		is := is.New(t)
		m := newEraMachine(rewound)
		next := revision.New(m.replica.Revision().Era(), m.replica.Revision().Number()+1)
		poll := withoutEra(upstream, 5)
		poll.Reply, poll.HasItems = false, false
		m.Tick(notifyInterval) // the notification of the first read
		m.TakeOutput()
		m.HandleHeartbeat(time.Second, 0, upstream.HeartbeatAddr, poll)
		is.True(!m.TakeOutput().Heartbeats[0].Heartbeat.HasItems)
		m.HandleStoreUpdate(time.Second, 0, Update{Revision: next, Items: []Item{{Key: "targets/t", Revision: next}}})
		m.Tick(time.Second)
		notified := 0
		for _, o := range m.TakeOutput().Heartbeats {
			if o.Heartbeat.Reply {
				notified++
				is.Equal(o.To, upstream.HeartbeatAddr)
				is.Equal(o.Heartbeat.HasItems, !rewound)
			}
		}
		is.Equal(notified, 1)
	}
}

// Guards against a VM that gets changes too late, or reports the store as lost again and again,
// since the only VM that it polls is of an older build and its messages are ignored.
func TestChangesBesideAnOlderBuild(t *testing.T) {
	is := is.New(t)
	upstream, _ := eraMembers()
	m := newEraMachine(true)
	number, writtenAt, calls, callAt := int64(7), time.Duration(0), 0, time.Duration(0)
	watching := false
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		m.Tick(now)
		out := m.TakeOutput()
		is.True(!out.StoreLost)
		is.True(out.Pull == nil)
		for _, o := range out.Heartbeats {
			is.Equal(o.To, upstream.HeartbeatAddr)
			m.HandleHeartbeat(now, 0, upstream.HeartbeatAddr, withoutEra(upstream, 900))
		}
		if now%(5*time.Second) == 0 {
			number, writtenAt = number+1, now
		}
		if m.ShouldWatch(now) && !watching {
			calls, callAt = calls+1, now
		}
		watching = m.ShouldWatch(now)
		behind := m.replica.Revision() < revision.New(2, number)
		if watching && (behind || now-callAt >= watchWait) {
			m.HandleStoreUpdate(now, 0, Update{Revision: revision.New(2, number)})
			calls, callAt = calls+1, now
		} else if behind && now-writtenAt > applyWithin {
			t.Fatalf("revision %d is missing %s after its write", number, now-writtenAt)
		}
	}
	is.True(calls <= int(time.Minute/watchWait)+2*12) // one long poll after the other, and one for each write
}
