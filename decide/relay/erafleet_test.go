package relay

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumspan/gypsumspan/decide/revision"
)

// eraStore is a store that can return from an older copy of its data.
type eraStore struct {
	revision revision.Revision
	log      []Item // all writes of the present history, with revisions of the present era
	// states holds the content as of each revision that the store has had.
	states map[revision.Revision]map[string]Item
}

func newEraStore() *eraStore {
	s := &eraStore{states: make(map[revision.Revision]map[string]Item)}
	s.write("op", false, nil)
	return s
}

func (s *eraStore) items() map[string]Item { return s.states[s.revision] }

func (s *eraStore) write(key string, deleted bool, value []byte) {
	if _, exists := s.items()[key]; deleted && !exists {
		return
	}
	s.revision = revision.New(s.revision.Era(), s.revision.Number()+1)
	if value == nil && !deleted {
		value = []byte(s.revision.String())
	}
	item := Item{Key: key, Value: value, Revision: s.revision, Deleted: deleted}
	s.log = append(slices.Clip(s.log), item)
	s.recordState()
}

// compareAndSwap makes a write if its condition holds, as the service "catalogwatch" does.
func (s *eraStore) compareAndSwap(item Item) {
	present := s.items()[item.Key]
	outdated := item.Revision > 0 && item.Revision.Era() < s.revision.Era()
	if !outdated && present.Revision.Number() == item.Revision.Number() {
		s.write(item.Key, item.Deleted, item.Value)
	}
}

// rewind returns to the content as of the given number, in a new era.
func (s *eraStore) rewind(number int64) {
	era := s.revision.Era() + 1
	var log []Item
	for _, item := range s.log {
		if item.Revision.Number() <= number {
			item.Revision = revision.New(era, item.Revision.Number())
			log = append(log, item)
		}
	}
	s.log, s.revision = log, revision.New(era, number)
	s.recordState()
}

func (s *eraStore) recordState() {
	state := make(map[string]Item)
	for _, item := range s.log {
		state[item.Key] = item
		if item.Deleted {
			delete(state, item.Key)
		}
	}
	s.states[s.revision] = state
}

// read returns the answer to a VM whose replica is at the given revision: the changes after it
// or, if the store does not have these, all keys.
func (s *eraStore) read(after revision.Revision) Update {
	u := Update{Revision: s.revision}
	if after > 0 && after.Era() == s.revision.Era() {
		for _, item := range s.log {
			if item.Revision > after {
				u.Items = append(u.Items, item)
			}
		}
		return u
	}
	u.Complete = true
	u.Items = slices.SortedFunc(maps.Values(s.items()), compareKeys)
	return u
}

// eraFleet is VMs whose messages arrive in any order, are lost and arrive twice.
type eraFleet struct {
	t        *rapid.T
	now      time.Duration
	store    *eraStore
	vms      []*eraVM
	inFlight []func() // delivers a message
}

type eraVM struct {
	member  Member
	machine *Machine
	era     uint32 // latest era of the replica of this machine
}

func newEraFleet(t *rapid.T, domains, vmsPerDomain int) *eraFleet {
	f := &eraFleet{t: t, store: newEraStore()}
	for d := range domains {
		for i := range vmsPerDomain {
			ip := netip.AddrFrom4([4]byte{10, byte(d), 0, byte(i + 1)})
			f.vms = append(f.vms, &eraVM{member: Member{
				Name: fmt.Sprint("vm-", i), Domain: fmt.Sprint("d", d),
				HeartbeatAddr: netip.AddrPortFrom(ip, 1), PullAddr: netip.AddrPortFrom(ip, 2),
			}})
		}
	}
	for _, v := range f.vms {
		f.start(v)
	}
	return f
}

func (f *eraFleet) start(v *eraVM) {
	v.machine = New(Config{Self: v.member, MemberPrefix: prefix, MaxAge: maxAge, Seeds: []netip.AddrPort{f.vms[0].member.PullAddr}, VMsPerBranch: 2})
	v.era = 0
}

func (f *eraFleet) send(deliver func()) { f.inFlight = append(f.inFlight, deliver) }

// read has a VM read the store. The answer was made now and arrives later.
func (f *eraFleet) read(v *eraVM) {
	m, answer := v.machine, f.store.read(v.machine.Replica().Revision())
	f.send(func() { m.HandleStoreUpdate(f.now, 0, answer) })
}

func (f *eraFleet) register(v *eraVM) {
	if m := v.machine; m.Replica().Revision() > 0 && !m.Registered() {
		item := m.Registration()
		f.send(func() { f.store.compareAndSwap(item) })
	}
}

// step ticks a VM and sends what it requests.
func (f *eraFleet) step(v *eraVM) {
	m := v.machine
	m.Tick(f.now)
	out := m.TakeOutput()
	for _, o := range out.Heartbeats {
		to := slices.IndexFunc(f.vms, func(p *eraVM) bool { return p.member.HeartbeatAddr == o.To })
		f.checkConfirmation(v, o.Heartbeat.Confirmed)
		f.send(func() { f.vms[to].machine.HandleHeartbeat(f.now, 0, v.member.HeartbeatAddr, o.Heartbeat) })
	}
	if out.RemoveEntry != nil {
		item := *out.RemoveEntry
		item.Deleted = true
		f.send(func() { f.store.compareAndSwap(item) })
	}
	if pull := out.Pull; pull != nil {
		from := slices.IndexFunc(f.vms, func(p *eraVM) bool { return p.member.PullAddr == pull.From })
		sentAt := f.now
		f.send(func() {
			answer := f.vms[from].machine.AnswerPull(f.now, pull.After)
			f.checkConfirmation(f.vms[from], answer.Confirmed)
			f.send(func() { m.HandlePullAnswer(f.now, sentAt, answer) })
		})
	}
}

// check fails if a replica has returned to an earlier era or differs from what the store held
// at its revision.
func (f *eraFleet) check() {
	for _, v := range f.vms {
		r := v.machine.Replica()
		if r.Revision().Era() < v.era {
			f.t.Fatalf("%s returned from era %d to %s", v.member.Name, v.era, r.Revision())
		}
		v.era = r.Revision().Era()
		f.checkConfirmation(v, v.machine.confirmation(f.now))
		if r.Revision() == 0 {
			continue
		}
		state, ok := f.store.states[r.Revision()]
		if !ok {
			f.t.Fatalf("%s is at %s, which the store never was", v.member.Name, r.Revision())
		}
		want := slices.SortedFunc(maps.Values(state), compareKeys)
		if got := liveItems(r); !slices.EqualFunc(got, want, equalItems) {
			f.t.Fatalf("%s at %s holds %v, the store held %v", v.member.Name, r.Revision(), got, want)
		}
	}
}

// checkConfirmation fails if the store never had the confirmed revision.
func (f *eraFleet) checkConfirmation(v *eraVM, c Confirmation) {
	if _, ok := f.store.states[c.Revision]; c.Revision > 0 && !ok {
		f.t.Fatalf("%s confirms %s, which the store never had", v.member.Name, c.Revision)
	}
}

// settle delivers messages without loss until the VMs have had time to learn everything.
func (f *eraFleet) settle() {
	const tick = 100 * time.Millisecond
	for end := f.now + 12*time.Second; f.now < end; f.now += tick {
		for _, v := range f.vms {
			f.step(v)
			if v.machine.Replica().Revision() == 0 || v.machine.ShouldWatch(f.now) {
				f.read(v)
			}
			if f.now%time.Second < tick {
				f.register(v)
			}
		}
		for len(f.inFlight) > 0 {
			deliver := f.inFlight[0]
			f.inFlight = f.inFlight[1:]
			deliver()
		}
		f.check()
	}
}

// Guards against a fleet that stays in an earlier era, mixes what the store held in two eras,
// or loses the entry of a VM, after the store has returned from older copies twice, for any
// order, loss and repetition of messages and any restarts.
func TestReplicasFollowTheStoreIntoNewEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newEraFleet(t, rapid.IntRange(1, 2).Draw(t, "domains"), rapid.IntRange(1, 4).Draw(t, "each"))
		if rapid.Bool().Draw(t, "settled") {
			f.settle()
		}
		steps := rapid.IntRange(2, 80).Draw(t, "steps")
		firstRewind := rapid.IntRange(0, steps-2).Draw(t, "first rewind")
		secondRewind := rapid.IntRange(firstRewind+1, steps-1).Draw(t, "second rewind")
		for i := range steps {
			if i == firstRewind || i == secondRewind {
				f.store.rewind(rapid.Int64Range(1, f.store.revision.Number()).Draw(t, "rewind to"))
			}
			f.now += time.Duration(rapid.SampledFrom([]int{0, 1, 20, 100, 600, 3000, 20000}).Draw(t, "ms")) * time.Millisecond
			v := rapid.SampledFrom(f.vms).Draw(t, "vm")
			switch rapid.SampledFrom([]string{"write", "read", "read", "register", "step", "step", "restart", "store fails", "message", "message", "message", "message"}).Draw(t, "event") {
			case "write":
				f.store.write(fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key")), rapid.Bool().Draw(t, "deleted"), nil)
			case "read":
				f.read(v)
			case "register":
				f.register(v)
			case "step":
				f.step(v)
			case "restart":
				f.start(v)
			case "store fails":
				v.machine.StoreFailed(f.now)
			default:
				f.deliverAny()
			}
			f.check()
		}
		f.settle()
		for _, v := range f.vms {
			if got := v.machine.Replica().Revision(); got != f.store.revision {
				t.Fatalf("%s is at %s, the store at %s", v.member.Name, got, f.store.revision)
			}
			if !v.machine.Registered() {
				t.Fatalf("the store has no entry of %s", v.member.Name)
			}
		}
	})
}

// deliverAny delivers, repeats or loses any message.
func (f *eraFleet) deliverAny() {
	if len(f.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.inFlight)-1).Draw(f.t, "message")
	deliver := f.inFlight[i]
	fate := rapid.SampledFrom([]string{"arrives", "arrives", "arrives again later", "is lost"}).Draw(f.t, "fate")
	if fate != "arrives again later" {
		f.inFlight = slices.Delete(f.inFlight, i, i+1)
	}
	if fate != "is lost" {
		deliver()
	}
}

// rewind returns the store of a fleet to the content as of the given number.
func (f *fleet) rewind(number int64) {
	era := f.store.revision.Era() + 1
	items := make(map[string]Item)
	for key, item := range f.store.items {
		if item.Revision.Number() <= number {
			item.Revision = revision.New(era, item.Revision.Number())
			items[key] = item
		}
	}
	f.store.items, f.store.revision = items, revision.New(era, number)
}

// Guards against a VM that learns of a new era too late, with and without branches, also if the
// store refuses the relay of its domain, and against a call to the store by every VM.
func TestNewEraReachesEveryVMInTime(t *testing.T) {
	for _, vmsPerBranch := range []int{0, 4} {
		f := newBranchedFleet(9, 3, 12, vmsPerBranch)
		f.write("op", false)
		f.advance(5 * time.Second)
		copied := f.store.revision.Number()
		if vmsPerBranch == 0 {
			copied = 1 // without the entries of the VMs
		}
		for _, v := range f.vms {
			v.storeUnreachable = v.machine.IsRelay() && v.member.Domain == "d0"
		}
		for range 10 {
			f.write("op", false)
			f.advance(200 * time.Millisecond)
		}
		calls := f.calls
		f.rewind(copied)
		f.advance(applyWithin)
		for _, v := range f.vms {
			if got := v.machine.Replica().Revision(); got != f.store.revision {
				t.Fatalf("%s is at %s after %s, the store at %s", v.member.Name, got, applyWithin, f.store.revision)
			}
		}
		if calls = f.calls - calls; calls > len(f.vms) {
			t.Fatalf("%d calls of %d VMs", calls, len(f.vms))
		}
	}
}
