package membership

import (
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// frameBytes is what services/peers and yamux add to each message.
const frameBytes = 16

// badDay is what one bad day costs a fleet in 8 failure domains.
type badDay struct {
	peak, mean  int           // bytes in one second: busiest VM, and mean of the worst second
	total       int           // bytes of one VM, mean
	agreed      time.Duration // until all views agree
	falseDeaths int           // pairs of running VMs of one side that hold each other dead
}

func sideOf(vm int) int { return vm % 8 / 4 }

// watch runs for d and adds to the result, second by second.
func (s *sim) watch(d time.Duration, day *badDay) {
	start := s.now
	s.measure = true
	for s.now < start+d {
		s.bytes = 0
		s.load = make([]int, len(s.views))
		s.run(s.now+time.Second, nil)
		running := 0
		for i, load := range s.load {
			day.peak = max(day.peak, load)
			if !s.down[i] {
				running++
			}
		}
		day.mean = max(day.mean, s.bytes/running)
		day.total += s.bytes / running
		day.falseDeaths = max(day.falseDeaths, s.wrongDeaths())
		if !s.allLive() {
			day.agreed = s.now - start + time.Second
		}
	}
	s.measure = false
}

func (s *sim) wrongDeaths() int {
	count := 0
	for i := range s.views {
		for j := range s.views {
			if !s.down[i] && !s.down[j] && sideOf(i) == sideOf(j) && s.state(i, j) == message.MemberDead {
				count++
			}
		}
	}
	return count
}

func (s *sim) loseDomain(day *badDay) {
	for i := 0; i < len(s.views); i += 8 {
		s.down[i] = true
	}
	s.watch(60*time.Second, day)
}

func (s *sim) healCut(day *badDay) {
	s.cut = func(from, to int) bool { return sideOf(from) != sideOf(to) }
	s.run(s.now+60*time.Second, nil)
	s.cut = nil
	s.watch(60*time.Second, day)
}

// loseRack stops a third of one domain, at most 40 VMs.
func (s *sim) loseRack(day *badDay) {
	for i := 0; i < min(40, len(s.views)/24); i++ {
		s.down[8*i] = true
	}
	s.watch(30*time.Second, day)
}

// Guards against gossip over the budget, false deaths and views that do not
// agree again after the loss of a domain or a rack and after a healed cut.
func TestBadDays(t *testing.T) {
	sizes := []int{250, 500, 1000}
	if raceEnabled || testing.Short() {
		sizes = sizes[:1]
	}
	cases := []struct {
		name string
		run  func(*sim, *badDay)
	}{{"domain lost", (*sim).loseDomain}, {"cut healed", (*sim).healCut}, {"rack lost", (*sim).loseRack}}
	for _, c := range cases {
		for _, n := range sizes {
			s := newSim(n, 8, 11, true)
			s.run(3*time.Second, nil)
			day := &badDay{}
			c.run(s, day)
			t.Logf("%-11s %4d VMs: busiest %d B/s, mean of the worst second %d B/s, total %d B, agreed after %v, %d false deaths",
				c.name, n, day.peak, day.mean, day.total, day.agreed, day.falseDeaths)
		}
	}
}
