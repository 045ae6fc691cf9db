package relay

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/revision"
)

// Guards against the start of a cold target that waits for the next notification of the VMs that
// poll the relay, and against notifications at once without anything new.
func TestNotifyAtOnce(t *testing.T) {
	is := is.New(t)
	m := New(Config{Self: Member{Name: "vm1", Domain: "a"}, MemberPrefix: prefix, MaxAge: maxAge})
	poller := Member{
		Name: "vm2", Domain: "a",
		HeartbeatAddr: netip.MustParseAddrPort("10.0.0.2:7000"), PullAddr: netip.MustParseAddrPort("10.0.0.2:7001"),
	}
	update := func(now time.Duration, at int64) {
		item := Item{Key: "k", Value: []byte("v"), Revision: revision.Revision(at)}
		m.HandleStoreUpdate(now, 0, Update{Revision: item.Revision, Items: []Item{item}})
	}
	m.HandleStoreUpdate(0, 0, Update{Revision: revision.Revision(1), Complete: true, Items: []Item{
		{Key: poller.Key(prefix), Value: poller.Value(), Revision: revision.Revision(1)},
	}})
	m.HandleHeartbeat(0, 0, poller.HeartbeatAddr, Heartbeat{Name: poller.Name, Domain: poller.Domain, Revision: revision.Revision(1)})
	m.Tick(notifyInterval)
	m.TakeOutput()
	notifications := func(now time.Duration) int {
		m.Tick(now)
		n := 0
		for _, o := range m.TakeOutput().Heartbeats {
			if o.Heartbeat.Reply && o.Heartbeat.HasItems {
				n++
			}
		}
		return n
	}
	now := notifyInterval + 10*time.Millisecond
	update(now, 2)
	is.Equal(notifications(now), 0)
	m.NotifyAtOnce()
	is.Equal(notifications(now), 1)
	m.NotifyAtOnce()
	is.Equal(notifications(now+time.Millisecond), 0)
	update(now+2*time.Millisecond, 3)
	is.Equal(notifications(now+2*time.Millisecond), 0)
}
