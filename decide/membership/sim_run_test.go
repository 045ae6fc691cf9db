package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

// simCase is one fleet size of TestSimulationMeetsBounds.
type simCase struct {
	n, domains, crashes int
	limit               time.Duration
}

func simCases() []simCase {
	cases := []simCase{
		{n: 16, domains: 3, crashes: 8, limit: 6 * time.Second},
		{n: 200, domains: 8, crashes: 8, limit: 12 * time.Second},
	}
	if raceEnabled || testing.Short() {
		return cases // 2,000 views need too much memory under the race detector
	}
	return append(cases, simCase{n: 2000, domains: 8, crashes: 3, limit: 12 * time.Second})
}

// Guards against slow detection of crashes, false deaths of VMs that freeze for
// less than 1.5 s, and heartbeats over the traffic budget.
func TestSimulationMeetsBounds(t *testing.T) {
	t.Logf("%5s %9s %9s %10s %10s %9s %9s %9s", "VMs", "median s", "worst s", "suspected", "died", "idle B/s", "crash B/s", "msg/s")
	for _, c := range simCases() {
		s := newSim(c.n, c.domains, 1, true)
		s.run(3*time.Second, nil)
		idle, rate := s.traffic(3 * time.Second)
		before := s.stats()
		s.freezeAll(10, time.Second)
		froze := s.stats()
		times, busy := s.crashMany(t, c)
		t.Logf("%5d %9.2f %9.2f %10d %10d %9d %9d %9.1f", c.n, times[len(times)/2].Seconds(), times[len(times)-1].Seconds(),
			froze.Suspicions-before.Suspicions, froze.Deaths-before.Deaths, idle, busy, rate)
		if froze.Deaths != 0 {
			t.Errorf("%d VMs: %d false deaths after freezes of 1 s", c.n, froze.Deaths)
		}
		if worst := times[len(times)-1]; worst > c.limit {
			t.Errorf("%d VMs: crash known to all after %v, limit %v", c.n, worst, c.limit)
		}
		// The bound for all control traffic of a VM is 7 kB/s; membership may use a third.
		if idle > 7000/3 {
			t.Errorf("%d VMs: %d bytes of heartbeats per second and VM", c.n, idle)
		}
	}
}

// traffic runs for d and returns the encoded bytes and the messages that one VM
// sends per second.
func (s *sim) traffic(d time.Duration) (bytes int, messages float64) {
	s.bytes, s.messageCount = 0, 0
	s.measure = true
	s.run(s.now+d, nil)
	s.measure = false
	perVM := d.Seconds() * float64(len(s.views))
	return int(float64(s.bytes) / perVM), float64(s.messageCount) / perVM
}

// freezeAll freezes count VMs one after the other, each for d.
func (s *sim) freezeAll(count int, d time.Duration) {
	for k := range count {
		vm := int(rendezvous.Mix(7, uint64(k)) % uint64(len(s.views)))
		s.frozen[vm] = s.now + d
		s.run(s.now+d+700*time.Millisecond, nil)
	}
	s.run(s.now+3*time.Second, nil)
}

// crashMany crashes VMs one after the other and returns the sorted detection
// times and the bytes per second and VM during the detections.
func (s *sim) crashMany(t *testing.T, c simCase) (times []time.Duration, bytes int) {
	t.Helper()
	start := s.now
	s.bytes = 0
	s.measure = true
	for k := range c.crashes {
		times = append(times, s.crashAndDetect(t, k*c.n/c.crashes, c.limit+10*time.Second))
	}
	s.measure = false
	slices.Sort(times)
	return times, int(float64(s.bytes) / (s.now - start).Seconds() / float64(c.n))
}

// Guards against false deaths after freezes just below PauseThreshold, at every phase
// of the heartbeat interval.
func TestFreezeBelowPauseThresholdKillsNobody(t *testing.T) {
	s := newSim(16, 3, 2, true)
	s.run(2*time.Second, nil)
	for k := range 40 {
		s.frozen[k%16] = s.now + 1400*time.Millisecond
		s.run(s.now+2530*time.Millisecond, nil)
	}
	if deaths := s.stats().Deaths; deaths != 0 {
		t.Fatalf("%d false deaths", deaths)
	}
	if !s.allLive() {
		t.Fatal("not all VMs are live in all views")
	}
}

// Guards against views that stay split after a partition has healed, and against
// deaths declared by one side that spread to the other side after the heal.
func TestPartitionHeals(t *testing.T) {
	lengths := []time.Duration{60 * time.Second}
	for length := 2 * time.Second; length < 8*time.Second; length += 200 * time.Millisecond {
		lengths = append(lengths, length)
	}
	for _, length := range lengths {
		s := newSim(18, 3, 3, true)
		s.run(3*time.Second, nil)
		s.drop = func(from, to int) bool { return (from%3 == 0) != (to%3 == 0) }
		s.run(s.now+length, nil)
		falseDeaths := s.sameSideDeaths()
		deaths := s.stats().Deaths
		s.drop = nil
		start := s.now
		healed := s.run(start+20*time.Second, func() bool {
			falseDeaths = max(falseDeaths, s.sameSideDeaths())
			return s.allLive()
		})
		t.Logf("partition of %v (%d deaths declared) healed after %.2f s", length, deaths, (s.now - start).Seconds())
		if !healed {
			t.Fatalf("partition of %v not healed after 20 s", length)
		}
		s.run(s.now+10*time.Second, func() bool {
			falseDeaths = max(falseDeaths, s.sameSideDeaths())
			return false
		})
		if falseDeaths != 0 {
			t.Errorf("partition of %v: %d pairs of VMs of one side declared dead", length, falseDeaths)
		}
		if !s.allLive() {
			t.Errorf("partition of %v: views differ again after the heal", length)
		}
	}
}

// sameSideDeaths counts the pairs of VMs of one side of a partition of which the first
// has the second as dead.
func (s *sim) sameSideDeaths() int {
	count := 0
	for i := range s.views {
		for j := range s.views {
			sameSide := (i%3 == 0) == (j%3 == 0)
			if i != j && sameSide && s.state(i, j) == message.MemberDead {
				count++
			}
		}
	}
	return count
}

// Guards against VMs that can't discover each other when the whole fleet starts at once
// with only the platform's list.
func TestFleetStartsFromVMList(t *testing.T) {
	s := newSim(18, 3, 4, false)
	list := &message.VMList{}
	for i := range s.views {
		m := simMember(i, 3)
		m.Incarnation = 0
		list.Members = append(list.Members, m)
	}
	for _, v := range s.views {
		v.Receive(0, message.Message{Body: list})
	}
	if !s.run(10*time.Second, s.allLive) {
		t.Fatal("fleet is not complete after 10 s")
	}
	t.Logf("18 VMs know each other after %.2f s", s.now.Seconds())
}

// Guards against a restarted VM that is not accepted again, or that does not exceed the
// incarnation of its previous run.
func TestRestartWithLowerClockRejoins(t *testing.T) {
	s := newSim(16, 3, 5, true)
	s.run(2*time.Second, nil)
	s.crashAndDetect(t, 4, 6*time.Second)
	old := s.views[4].Self()
	m := old
	m.Incarnation = 5
	s.views[4] = New(Config{Self: m}, 99, s.now)
	s.views[4].Receive(s.now, message.Message{Body: &message.VMList{Members: []message.Member{simMember(1, 3)}}})
	s.down[4] = false
	s.push(event{at: s.now, vm: 4})
	if !s.run(s.now+5*time.Second, s.allLive) {
		t.Fatal("restarted VM is not live everywhere after 5 s")
	}
	if s.views[4].Self().Incarnation <= old.Incarnation {
		t.Fatalf("incarnation %d is not above that of the previous run", s.views[4].Self().Incarnation)
	}
}

// Guards against false deaths when some links fail but other VMs still reach
// both ends: a pair of VMs, and two of three failure domains.
func TestPartialPartitionKillsNobody(t *testing.T) {
	dropRules := map[string]func(from, to int) bool{
		"pair":    func(from, to int) bool { return from+to == 3 && from*to == 0 },
		"one way": func(from, to int) bool { return from == 0 && to%5 == 1 },
		"domains": func(from, to int) bool { return from%3 != to%3 && from%3 != 2 && to%3 != 2 },
	}
	for name, drop := range dropRules {
		for _, n := range []int{4, 6, 18, 96} {
			s := newSim(n, 3, 6, true)
			s.run(3*time.Second, nil)
			s.drop = drop
			s.run(33*time.Second, nil)
			stats := s.stats()
			t.Logf("%s, %d VMs: %d suspicions, %d deaths", name, n, stats.Suspicions, stats.Deaths)
			if stats.Deaths != 0 {
				t.Errorf("%s, %d VMs: %d false deaths", name, n, stats.Deaths)
			}
		}
	}
}

// Guards against slow detection when a whole failure domain crashes, since probers die
// together with the members they probe.
func TestDomainCrash(t *testing.T) {
	s := newSim(18, 3, 7, true)
	s.run(3*time.Second, nil)
	for i := 0; i < 18; i += 3 {
		s.down[i] = true
	}
	if !s.run(s.now+9*time.Second, s.allLive) {
		t.Fatal("crash of a domain is not known to all after 9 s")
	}
	t.Logf("crash of 6 of 18 VMs known to all after %.2f s", (s.now - 3*time.Second).Seconds())
}
