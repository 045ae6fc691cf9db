package relay

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/gypsumspan/gypsumspan/decide/revision"
)

const (
	prefix         = "vms/"
	applyWithin    = 3 * time.Second        // in which a write must reach every VM
	maxAge         = applyWithin * 7 / 10   // Config.MaxAge
	watchWait      = applyWithin * 45 / 100 // after which a long poll of the store returns
	callTimeout    = 700 * time.Millisecond // of calls to the store
	simStep        = 10 * time.Millisecond
	heartbeatDelay = 2 * time.Millisecond
)

// vm is one VM of a simulated fleet.
type vm struct {
	member           Member
	machine          *Machine
	up               bool
	started          time.Duration
	storeUnreachable bool          // the VM's calls to the store time out
	storeBackAt      time.Duration // when the VM last reached the store again

	watching    bool
	watchCallAt time.Duration // when the current call of the watch began
	nextTick    time.Duration
}

// delivery is a heartbeat in transit.
type delivery struct {
	at        time.Duration // time of arrival
	from, to  *vm
	heartbeat Heartbeat
}

// fleet simulates VMs and a store on a virtual clock.
type fleet struct {
	now             time.Duration
	rng             *rand.Rand
	store           *fakeStore
	vms             []*vm
	byHeartbeatAddr map[netip.AddrPort]*vm
	byPullAddr      map[netip.AddrPort]*vm
	inFlight        []delivery
	partitioned     map[string]bool // domains that can't reach any other domain
	calls           int             // calls to the store
	seeds           []netip.AddrPort
	lossRate        float64
	// vmsPerBranch is Config.VMsPerBranch of VMs that start.
	vmsPerBranch int
	// removedEntries holds the keys of the entries whose removal VMs requested.
	removedEntries map[string]bool
	// writtenAt holds the time of each write, by revision.
	writtenAt map[revision.Revision]time.Duration
}

func newFleet(seed uint64, domains, vmsPerDomain int) *fleet {
	return newBranchedFleet(seed, domains, vmsPerDomain, 0)
}

func newBranchedFleet(seed uint64, domains, vmsPerDomain, vmsPerBranch int) *fleet {
	f := &fleet{
		vmsPerBranch:    vmsPerBranch,
		rng:             rand.New(rand.NewPCG(seed, 1)),
		store:           &fakeStore{items: make(map[string]Item)},
		byHeartbeatAddr: make(map[netip.AddrPort]*vm),
		byPullAddr:      make(map[netip.AddrPort]*vm),
		partitioned:     make(map[string]bool),
		writtenAt:       make(map[revision.Revision]time.Duration),

		removedEntries: make(map[string]bool),
	}
	for d := range domains {
		for i := range vmsPerDomain {
			ip := netip.AddrFrom4([4]byte{10, byte(d), byte(i >> 8), byte(i)})
			v := &vm{member: Member{
				Name:          fmt.Sprintf("vm-%d-%d", d, i),
				Domain:        fmt.Sprintf("d%d", d),
				HeartbeatAddr: netip.AddrPortFrom(ip, 1),
				PullAddr:      netip.AddrPortFrom(ip, 2),
			}}
			f.vms = append(f.vms, v)
			f.byHeartbeatAddr[v.member.HeartbeatAddr] = v
			f.byPullAddr[v.member.PullAddr] = v
			f.start(v)
		}
	}
	return f
}

func (f *fleet) start(v *vm) {
	v.machine = New(Config{Self: v.member, MemberPrefix: prefix, MaxAge: maxAge, Seeds: f.seeds, VMsPerBranch: f.vmsPerBranch})
	v.up, v.started, v.watching, v.nextTick = true, f.now, false, f.now
}

func (f *fleet) write(key string, deleted bool) {
	f.store.write(key, deleted)
	f.writtenAt[f.store.revision] = f.now
}

func (f *fleet) reachable(a, b *vm) bool {
	if !a.up || !b.up {
		return false
	}
	return a.member.Domain == b.member.Domain || !f.partitioned[a.member.Domain] && !f.partitioned[b.member.Domain]
}

func (f *fleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += simStep {
		f.deliver()
		for _, v := range f.vms {
			if v.up {
				f.step(v)
			}
		}
	}
}

func (f *fleet) deliver() {
	var undelivered []delivery
	for _, d := range f.inFlight {
		if d.at > f.now {
			undelivered = append(undelivered, d)
			continue
		}
		if f.reachable(d.from, d.to) {
			d.to.machine.HandleHeartbeat(f.now, 0, d.from.member.HeartbeatAddr, d.heartbeat)
			d.to.nextTick = f.now
		}
	}
	f.inFlight = undelivered
}

func (f *fleet) step(v *vm) {
	m := v.machine
	if m.Replica().Revision() == 0 && !v.storeUnreachable && f.store.revision > 0 {
		f.calls++
		m.HandleStoreUpdate(f.now, 0, Update{Revision: f.store.revision, Items: f.store.all(), Complete: true})
		if !m.Registered() {
			f.store.write(m.Registration().Key, false)
			item := f.store.items[m.key]
			item.Value = m.config.Self.Value()
			f.store.items[m.key] = item
		}
	}
	if m.Replica().Revision() == 0 && v.storeUnreachable && f.now%callTimeout == 0 {
		m.StoreFailed(f.now)
	}
	if f.now >= v.nextTick {
		v.nextTick = m.Tick(f.now)
	}
	f.perform(v, m.TakeOutput())
	f.watch(v)
}

func (f *fleet) perform(v *vm, out Output) {
	for _, o := range out.Heartbeats {
		to := f.byHeartbeatAddr[o.To]
		if f.rng.Float64() >= f.lossRate {
			f.inFlight = append(f.inFlight, delivery{at: f.now + heartbeatDelay, from: v, to: to, heartbeat: o.Heartbeat})
		}
	}
	if out.RemoveEntry != nil {
		f.removedEntries[out.RemoveEntry.Key] = true
	}
	if out.Pull == nil {
		return
	}
	from := f.byPullAddr[out.Pull.From]
	if !f.reachable(v, from) {
		v.machine.PullFailed(f.now)
		return
	}
	v.machine.HandlePullAnswer(f.now, f.now, from.machine.AnswerPull(f.now, out.Pull.After))
	v.nextTick = f.now
}

// watch simulates the long poll by which a VM watches the store.
func (f *fleet) watch(v *vm) {
	watching := v.machine.ShouldWatch(f.now) && v.machine.Replica().Revision() > 0
	if watching && !v.watching {
		v.watchCallAt = f.now
		f.calls++
	}
	v.watching = watching
	if !watching {
		return
	}
	waited := f.now - v.watchCallAt
	switch {
	case v.storeUnreachable && waited >= watchWait+callTimeout:
		v.machine.StoreFailed(f.now)
		f.startWatchCall(v)
	case !v.storeUnreachable && (v.machine.Replica().Revision() < f.store.revision || waited >= watchWait):
		var items []Item
		for _, item := range f.store.items {
			if item.Revision > v.machine.Replica().Revision() {
				items = append(items, item)
			}
		}
		update := Update{Revision: f.store.revision, Items: items}
		if update.Revision.Era() > v.machine.Replica().Revision().Era() {
			update.Items, update.Complete = f.store.all(), true
		}
		v.machine.HandleStoreUpdate(f.now, 0, update)
		f.startWatchCall(v)
	}
}

func (f *fleet) startWatchCall(v *vm) {
	v.watchCallAt = f.now
	v.nextTick = f.now
	f.calls++
}

// stale returns a VM that lacks a write older than applyWithin although it has been up
// and has reached the store for some time, or nil.
func (f *fleet) stale() *vm {
	const settle = 4 * time.Second
	for _, v := range f.vms {
		if !v.up || v.storeUnreachable || f.now-v.started < settle || f.now-v.storeBackAt < settle {
			continue
		}
		next := v.machine.Replica().Revision() + 1
		if at, ok := f.writtenAt[next]; ok && f.now-at > applyWithin {
			return v
		}
	}
	return nil
}

// Guards against a fleet in which every VM watches the store, or none does.
func TestOneVMOfEachDomainWatches(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 3, 6)
	f.write("op", false)
	f.advance(10 * time.Second)
	relays := make(map[string]int)
	for _, v := range f.vms {
		is.Equal(v.machine.ShouldWatch(f.now), v.machine.IsRelay())
		if v.machine.IsRelay() {
			relays[v.member.Domain]++
		}
	}
	is.Equal(relays, map[string]int{"d0": 1, "d1": 1, "d2": 1})
	before := f.calls
	f.advance(30 * time.Second)
	is.True(f.calls-before <= 3*(30*1000/int(watchWait.Milliseconds())+1))
}

// Guards against a change that reaches a VM too late, under any sequence of deaths of VMs
// and relays, partitions of domains and failures of the store.
func TestChangesReachEveryVMInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newBranchedFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "domains"),
			rapid.IntRange(1, 8).Draw(t, "each"), rapid.SampledFrom([]int{0, 2, 3}).Draw(t, "per branch"))
		f.lossRate = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		f.write("op", false)
		f.advance(5 * time.Second)
		for range rapid.IntRange(1, 25).Draw(t, "events") {
			v := f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm")]
			switch rapid.SampledFrom([]string{"write", "write", "kill", "kill relay", "start", "refuse", "refuse relays", "serve", "cut", "heal"}).Draw(t, "event") {
			case "write":
				f.write(fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key")), rapid.Bool().Draw(t, "deleted"))
			case "kill":
				v.up = false
			case "kill relay":
				for _, other := range f.vms {
					other.up = other.up && !(other.machine.IsRelay() && other.member.Domain == v.member.Domain)
				}
			case "start":
				if !v.up {
					f.start(v)
				}
			case "refuse":
				v.storeUnreachable = true
			case "refuse relays":
				for _, other := range f.vms {
					other.storeUnreachable = other.storeUnreachable || other.machine.IsRelay()
				}
			case "serve":
				for _, other := range f.vms {
					if other.storeUnreachable {
						other.storeUnreachable, other.storeBackAt = false, f.now
					}
				}
			case "cut":
				f.partitioned[v.member.Domain] = true
			case "heal":
				clear(f.partitioned)
			}
			for range rapid.IntRange(1, 40).Draw(t, "for") {
				f.advance(100 * time.Millisecond)
				if v := f.stale(); v != nil {
					t.Fatalf("%v: %s is at revision %d of %d, last confirmed %v ago", f.now, v.member.Name,
						v.machine.Replica().Revision(), f.store.revision, f.now-v.machine.confirmedAt)
				}
			}
		}
	})
}

// Guards against a VM that can't reach the store and does not get changes from other VMs.
func TestRefusedVMLearnsFromOthers(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 3, 4)
	f.write("op", false)
	f.advance(5 * time.Second)
	for _, v := range f.vms {
		if v.machine.IsRelay() && v.member.Domain == "d0" {
			v.storeUnreachable = true
		}
	}
	f.write("op", false)
	f.advance(applyWithin)
	for _, v := range f.vms {
		is.Equal(v.machine.Replica().Revision(), f.store.revision)
	}
}

// Guards against a VM that starts while the store is down and stays without a catalog
// although other VMs have one.
func TestVMStartsWithoutTheStore(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, 3, 4)
	f.write("op", false)
	for i := range 3 {
		f.seeds = append(f.seeds, f.vms[i].member.PullAddr)
	}
	f.advance(5 * time.Second)
	late := f.vms[5]
	f.vms[0].up = false // a seed that is down
	late.up = false
	f.advance(time.Second)
	for _, v := range f.vms {
		v.storeUnreachable = true
	}
	f.start(late)
	f.advance(3 * time.Second)
	is.Equal(late.machine.Replica().Revision(), f.store.revision)
	age, known := late.machine.Age(f.now)
	is.True(known && age >= maxAge) // the pull kept the age of the seed's confirmation
	// A seed that has just started has an empty replica.
	alone := New(Config{Self: late.member, MemberPrefix: prefix, MaxAge: maxAge, Seeds: f.seeds})
	alone.StoreFailed(f.now)
	is.True(alone.TakeOutput().Pull != nil)
	alone.HandlePullAnswer(f.now, f.now, Update{})
	is.Equal(alone.Replica().Revision(), revision.Revision(0))
	alone.StoreFailed(f.now)
	is.True(alone.TakeOutput().Pull != nil)
}

// Guards against full snapshots of a large catalog that are sent to every VM that read the
// store shortly before its relay.
func TestLargeCatalogIsNotSentWhole(t *testing.T) {
	is := is.New(t)
	config := Config{Self: Member{Name: "me", Domain: "a"}, MemberPrefix: prefix, MaxAge: maxAge}
	large := Item{Key: "servers", Value: make([]byte, maxSnapshotBytes+1), Revision: 3}
	m := New(config)
	m.HandleStoreUpdate(0, 0, Update{Revision: 10, Items: []Item{large}, Complete: true})
	is.Equal(m.AnswerPull(0, 9), Update{})                        // deletions up to 10 may be missing
	is.Equal(m.AnswerPull(0, 0).Items, []Item{large})             // an empty replica gets a full snapshot
	is.Equal(m.AnswerPull(0, 10).Revision, revision.Revision(10)) // nothing is missing
	requester := New(config)
	requester.HandleStoreUpdate(0, 0, Update{Revision: 9, Items: []Item{large}, Complete: true})
	requester.HandlePullAnswer(time.Second, time.Second, Update{})
	is.True(requester.ShouldWatch(time.Second)) // it reads the store's history itself
}

// Guards against entries of dead VMs that stay in the store forever, and against the
// removal of the entry of a live VM.
func TestRelayRemovesOnlyEntriesOfDeadVMs(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, 1, 5)
	f.write("op", false)
	f.advance(5 * time.Second)
	var dead *vm
	for _, v := range f.vms {
		if !v.machine.IsRelay() {
			dead = v
		}
	}
	dead.up = false
	removed := make(map[string]bool)
	for range 300 {
		f.advance(500 * time.Millisecond)
		for _, v := range f.vms {
			if !v.up {
				continue
			}
			v.machine.Tick(f.now)
			out := v.machine.TakeOutput()
			f.perform(v, out)
			if out.RemoveEntry != nil {
				removed[out.RemoveEntry.Key] = true
			}
		}
	}
	is.Equal(removed, map[string]bool{dead.machine.key: true})
}

// Guards against loads that are counted twice or lost on their way to other domains.
func TestLoadsOfDomainsReachEveryVM(t *testing.T) {
	is := is.New(t)
	f := newFleet(5, 3, 4)
	f.write("op", false)
	for _, v := range f.vms {
		v.machine.SetLoads([]Load{{TargetDomain: v.member.Domain, Service: "s", Flows: 10, ActiveRequests: 2}})
	}
	f.advance(8 * time.Second)
	want := []Load{
		{Domain: "d0", TargetDomain: "d0", Service: "s", Flows: 40, ActiveRequests: 8},
		{Domain: "d1", TargetDomain: "d1", Service: "s", Flows: 40, ActiveRequests: 8},
		{Domain: "d2", TargetDomain: "d2", Service: "s", Flows: 40, ActiveRequests: 8},
	}
	for _, v := range f.vms {
		is.Equal(v.machine.DomainLoads(f.now), want)
	}
}

// Guards against a replica that counts as fresher than it is.
func TestConfirmations(t *testing.T) {
	self := Member{Name: "me", Domain: "a", HeartbeatAddr: netip.MustParseAddrPort("10.0.0.1:1"), PullAddr: netip.MustParseAddrPort("10.0.0.1:2")}
	cases := []struct {
		name      string
		heartbeat Heartbeat
		age       time.Duration // 10 s after the start; the replica was confirmed at 8 s
	}{
		{"newer", Heartbeat{Revision: 5, Confirmed: Confirmation{Revision: 5, Age: 500 * time.Millisecond}}, 500 * time.Millisecond},
		{"older", Heartbeat{Revision: 5, Confirmed: Confirmation{Revision: 5, Age: 3 * time.Second}}, 2 * time.Second},
		{"of an older revision", Heartbeat{Revision: 4, Confirmed: Confirmation{Revision: 4, Age: time.Millisecond}}, 2 * time.Second},
		{"of a revision that is still missing", Heartbeat{Revision: 6, Confirmed: Confirmation{Revision: 6, Age: time.Millisecond}}, 2 * time.Second},
		{"of nothing", Heartbeat{}, 2 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := New(Config{Self: self, MemberPrefix: prefix, MaxAge: maxAge})
			m.HandleStoreUpdate(8*time.Second, 0, Update{Revision: 5, Complete: true})
			c.heartbeat.Name, c.heartbeat.Domain, c.heartbeat.Reply = "other", "a", true
			m.HandleHeartbeat(10*time.Second, 0, netip.MustParseAddrPort("10.0.0.2:1"), c.heartbeat)
			age, ok := m.Age(10 * time.Second)
			is.True(ok)
			is.Equal(age, c.age)
		})
	}
}

// Guards against a VM that has not noticed an outage of the store, is not told of its end, and
// takes targets whose entries expired in it for gone.
func TestEndOfAnOutageIsReported(t *testing.T) {
	is := is.New(t)
	self := Member{Name: "me", Domain: "a", HeartbeatAddr: netip.MustParseAddrPort("10.0.0.1:1"), PullAddr: netip.MustParseAddrPort("10.0.0.1:2")}
	m := New(Config{Self: self, MemberPrefix: prefix, MaxAge: maxAge})
	m.HandleStoreUpdate(8*time.Second, 0, Update{Revision: 5, Complete: true})
	is.True(!m.TakeOutput().StoreRegained)
	hear := func(now, sinceRegained time.Duration) Output {
		m.HandleHeartbeat(now, 0, netip.MustParseAddrPort("10.0.0.2:1"), Heartbeat{
			Name: "other", Domain: "a", Reply: true, Revision: 5,
			Confirmed: Confirmation{Revision: 5, HasRegained: true, SinceRegained: sinceRegained},
		})
		return m.TakeOutput()
	}
	out := hear(9*time.Second, 300*time.Millisecond)
	is.True(out.StoreRegained && !out.StoreLost)
	is.Equal(out.RegainedAt, 8700*time.Millisecond)
	is.True(!hear(9500*time.Millisecond, 795*time.Millisecond).StoreRegained) // the same outage
	m.StoreFailed(9600 * time.Millisecond)
	is.True(m.TakeOutput().StoreLost)
	out = hear(10*time.Second, 0)
	is.True(out.StoreRegained)
	is.Equal(out.RegainedAt, 10*time.Second)
}

// Guards against a VM that hears of the end of an outage and loses the store again at the same
// moment, and then takes its catalog for fresh (hunt of days on wales, seed 7018).
func TestOrderOfLostAndRegained(t *testing.T) {
	is := is.New(t)
	self := Member{Name: "me", Domain: "a", HeartbeatAddr: netip.MustParseAddrPort("10.0.0.1:1"), PullAddr: netip.MustParseAddrPort("10.0.0.1:2")}
	regained := Update{Revision: 5, Complete: true, Confirmed: Confirmation{Revision: 5, HasRegained: true, SinceRegained: time.Second}}
	m := New(Config{Self: self, MemberPrefix: prefix, MaxAge: maxAge})
	m.HandlePullAnswer(10*time.Second, 10*time.Second, regained)
	m.StoreFailed(10 * time.Second)
	out := m.TakeOutput()
	is.True(out.StoreRegained && out.StoreLost)
	is.True(out.StoreLostLast)
	m.StoreFailed(11 * time.Second)
	m.HandleStoreUpdate(11*time.Second, 0, Update{Revision: 6})
	out = m.TakeOutput()
	is.True(out.StoreRegained)
	is.True(!out.StoreLostLast)
}
