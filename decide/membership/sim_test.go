package membership

import (
	"container/heap"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
	"github.com/gypsumspan/gypsumspan/wire"
)

const (
	simTick = 50 * time.Millisecond
	// simLatency is the one-way latency between failure domains in Tasmania.
	simLatency = 1500 * time.Microsecond
)

// event is the delivery of a message, or a VM's tick if the message has no body.
type event struct {
	at    time.Duration
	order uint64 // breaks ties, so that a run depends only on its seed
	vm    int
	m     message.Message
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// sim runs a fleet of views in virtual time.
type sim struct {
	now          time.Duration
	order        uint64
	events       eventHeap
	views        []*View
	byAddr       map[netip.AddrPort]int
	down         []bool
	frozen       []time.Duration // the VM handles nothing before this time
	pauseCounts  []int           // pauses that Tick reported
	drop         func(from, to int) bool
	measure      bool
	bytes        int
	load         []int // bytes by VM, counted if not nil
	messageCount int
}

func simMember(i, domains int) message.Member {
	name := fmt.Sprintf("vm-%05d", i)
	ip := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
	return message.Member{
		ID:          message.VMIDOf(name),
		Name:        name,
		Domain:      message.DomainIDOf(fmt.Sprintf("domain-%d", i%domains)),
		Data:        netip.AddrPortFrom(ip, 7100),
		Control:     netip.AddrPortFrom(ip, 7200),
		Incarnation: 1_790_000_000_000,
		State:       message.MemberAlive,
	}
}

// newSim returns a fleet of n VMs. With known set every VM knows all others;
// otherwise the caller gives them a VM list.
func newSim(n, domains int, seed uint64, known bool) *sim {
	s := &sim{
		byAddr:      make(map[netip.AddrPort]int),
		down:        make([]bool, n),
		frozen:      make([]time.Duration, n),
		pauseCounts: make([]int, n),
	}
	all := make([]message.Member, n)
	for i := range n {
		all[i] = simMember(i, domains)
	}
	for i := range n {
		s.views = append(s.views, New(Config{Self: all[i]}, rendezvous.Mix(seed, uint64(i)), 0))
		s.byAddr[all[i].Control] = i
		if known {
			s.views[i].Receive(0, message.Message{Body: &message.Members{All: all}})
			s.views[i].secondPullDue = false
			s.views[i].fastProbingUntil = 0
		}
		offset := time.Duration(rendezvous.Mix(seed, uint64(i)) % uint64(simTick))
		s.push(event{at: offset, vm: i})
	}
	return s
}

func (s *sim) push(e event) {
	s.order++
	e.order = s.order
	heap.Push(&s.events, e)
}

func (s *sim) send(from int, out []message.Message) {
	for _, m := range out {
		if s.measure {
			s.count(from, m.Body)
		}
		to, ok := s.byAddr[m.To.Addr]
		if !ok || s.down[to] || s.drop != nil && s.drop(from, to) {
			continue
		}
		s.push(event{at: s.now + simLatency, vm: to, m: m})
	}
}

func (s *sim) count(from int, body message.Body) {
	data, err := wire.Append(nil, body)
	if err != nil {
		panic(err)
	}
	s.messageCount++
	if s.load == nil {
		s.bytes += len(data)
		return
	}
	s.bytes += len(data) + frameBytes
	s.load[from] += len(data) + frameBytes
}

// run handles events until the time end. It stops early once done reports true.
func (s *sim) run(end time.Duration, done func() bool) bool {
	for s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		if s.down[e.vm] {
			continue
		}
		if s.frozen[e.vm] > e.at {
			e.at = s.frozen[e.vm]
			s.push(e)
			continue
		}
		if e.m.Body != nil {
			s.send(e.vm, s.views[e.vm].Receive(s.now, e.m))
			continue
		}
		out, ev := s.views[e.vm].Tick(s.now)
		if ev.Paused {
			s.pauseCounts[e.vm]++
		}
		s.send(e.vm, out)
		s.push(event{at: s.now + simTick, vm: e.vm})
		if done != nil && done() {
			return true
		}
	}
	s.now = end
	return false
}

// state returns the state of VM subject in the view of VM observer.
func (s *sim) state(observer, subject int) message.MemberState {
	m, _ := s.views[observer].Member(s.views[subject].Self().ID)
	return m.State
}

// allSee reports whether VM subject has the given state in the views of all other
// running VMs.
func (s *sim) allSee(subject int, state message.MemberState) bool {
	for i := range s.views {
		if i != subject && !s.down[i] && s.state(i, subject) != state {
			return false
		}
	}
	return true
}

// allLive reports whether all running VMs have as many live members as VMs are running.
func (s *sim) allLive() bool {
	want := 0
	for i := range s.views {
		if !s.down[i] {
			want++
		}
	}
	for i, v := range s.views {
		if !s.down[i] && len(v.Live()) != want {
			return false
		}
	}
	return true
}

func (s *sim) stats() Stats {
	var sum Stats
	for i, v := range s.views {
		if s.down[i] {
			continue
		}
		sum.Suspicions += v.stats.Suspicions
		sum.Deaths += v.stats.Deaths
		sum.Refutations += v.stats.Refutations
	}
	return sum
}

// crashAndDetect crashes a VM and returns the time until it is dead in all other views.
func (s *sim) crashAndDetect(t *testing.T, vm int, limit time.Duration) time.Duration {
	t.Helper()
	start := s.now
	s.down[vm] = true
	reached := s.run(start+limit, func() bool { return s.allSee(vm, message.MemberDead) })
	if !reached {
		t.Fatalf("crash of VM %d is not known to all after %v", vm, limit)
	}
	return s.now - start
}
