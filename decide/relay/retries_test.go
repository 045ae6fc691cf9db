package relay

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/revision"
)

// newLowRankedMachine returns a machine that has read the store at time 0 and ranks below all other
// VMs of its domain, with these VMs by rank.
func newLowRankedMachine(others int) (*Machine, []Member) {
	var members []Member
	for i := range others + 1 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 7000)
		members = append(members, Member{Name: fmt.Sprint("vm-", i), Domain: "a", HeartbeatAddr: address, PullAddr: address})
	}
	lowest := 0
	for i, m := range members {
		if scoreOf(m.Domain, m.Name) < scoreOf(members[lowest].Domain, members[lowest].Name) {
			lowest = i
		}
	}
	self := members[lowest]
	m := New(Config{Self: self, MemberPrefix: prefix, MaxAge: maxAge})
	update := Update{Revision: 100, Complete: true}
	for i, member := range members {
		update.Items = append(update.Items, Item{Key: member.Key(prefix), Value: member.Value(), Revision: revision.Revision(i + 1)})
	}
	m.HandleStoreUpdate(0, 0, update)
	var list []Member
	for _, p := range m.members.byDomain[self.Domain] {
		list = append(list, p.Member)
	}
	return m, list
}

// hearFrom delivers a reply of another VM at a revision.
func hearFrom(m *Machine, now time.Duration, from Member, r revision.Revision) {
	m.HandleHeartbeat(now, 0, from.HeartbeatAddr, Heartbeat{Name: from.Name, Domain: from.Domain, Reply: true, Revision: r, Confirmed: Confirmation{Revision: r}})
}

// Guards against a VM that leaves retries to VMs that it does not reach: after a cut it waited for
// 6 s, alone, and had changes later than their bound.
func TestVMThatHearsNoOtherRetriesOften(t *testing.T) {
	is := is.New(t)
	m, others := newLowRankedMachine(8)
	is.True(!m.UsesSlowRetry(0)) // it has heard nobody yet
	hearFrom(m, time.Second, others[5], 100)
	is.True(m.UsesSlowRetry(time.Second))
	heardUntil := time.Second + m.intervals.deadAfter
	is.True(m.UsesSlowRetry(heardUntil - time.Millisecond))
	is.True(!m.UsesSlowRetry(heardUntil))
}

// Guards against a VM that knows that it lacks changes and waits for seconds, after a failed call,
// before it reads them.
func TestFailedPullEndsTheDelayOfARetry(t *testing.T) {
	is := is.New(t)
	m, others := newLowRankedMachine(8)
	m.StoreFailed(time.Second)
	is.True(!m.TakeOutput().RetryNow)
	hearFrom(m, time.Second, others[0], 101)
	is.True(m.TakeOutput().Pull != nil)
	m.PullFailed(2 * time.Second)
	is.True(m.TakeOutput().RetryNow)
	hearFrom(m, 2*time.Second, others[0], 101)
	m.HandlePullAnswer(3*time.Second, 2*time.Second, Update{}) // the other VM leaves it to the store
	is.True(m.TakeOutput().RetryNow)
	is.True(m.ShouldWatch(3 * time.Second))
}

// Guards against a VM that does not know that it lacks changes, or believes so after it has them.
func TestLacksChanges(t *testing.T) {
	is := is.New(t)
	m, others := newLowRankedMachine(3)
	is.True(!m.LacksChanges())
	hearFrom(m, time.Second, others[0], 101)
	is.True(m.LacksChanges())
	m.HandlePullAnswer(time.Second, time.Second, Update{Revision: 100})
	is.True(m.LacksChanges())
	m.HandleStoreUpdate(time.Second, 0, Update{Revision: 101})
	is.True(!m.LacksChanges())
}

// Guards against a VM that can't reach the store and gets no changes from others, since they are so many
// that it should read the store.
func TestVMWithoutStorePullsASnapshot(t *testing.T) {
	is := is.New(t)
	m, others := newLowRankedMachine(8)
	pullAfter := func(now time.Duration) revision.Revision {
		hearFrom(m, now, others[0], 200)
		pull := m.TakeOutput().Pull
		is.True(pull != nil)
		return pull.After
	}
	is.Equal(pullAfter(time.Second), revision.Revision(100))
	m.HandlePullAnswer(time.Second, time.Second, Update{})
	is.Equal(pullAfter(time.Second), revision.Revision(100)) // the store may answer
	m.HandlePullAnswer(time.Second, time.Second, Update{})
	m.StoreFailed(2 * time.Second)
	is.Equal(pullAfter(2*time.Second), revision.Revision(0))
	items, _ := m.replica.Since(0)
	m.HandlePullAnswer(2*time.Second, 2*time.Second, Update{Revision: 150, Items: items, Complete: true})
	is.Equal(m.replica.Revision(), revision.Revision(150))
	is.Equal(pullAfter(3*time.Second), revision.Revision(150))
}
