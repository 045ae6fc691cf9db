package membership

import (
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// frameBytes is the overhead that services/peers and yamux add to each message.
const frameBytes = 16

// outage holds the measurements of one outage in a fleet of 8 failure domains.
type outage struct {
	peakBytes, meanBytes int           // sent in one second: by the busiest VM, and by the mean VM in the worst second
	totalBytes, maxBytes int           // sent in all: by the mean VM, and by the busiest VM
	agreedAfter          time.Duration // time until all views agree
	domainAgreedAfter    time.Duration // time until the views of the first domain agree on it
	falseDeaths          int           // highest count of countFalseDeaths
}

// sideOf returns the half of the fleet to which a VM belongs in a partition.
func sideOf(vm int) int { return vm % 8 / 4 }

// measureOutage runs for d and updates the result after each second.
func (s *sim) measureOutage(d time.Duration, result *outage) {
	start := s.now
	s.measure = true
	sums := make([]int, len(s.views))
	for s.now < start+d {
		s.bytes = 0
		s.load = make([]int, len(s.views))
		for range 10 {
			s.run(s.now+100*time.Millisecond, nil)
			if !s.firstDomainAgrees() {
				result.domainAgreedAfter = s.now - start
			}
			if !s.allLive() {
				result.agreedAfter = s.now - start
			}
		}
		running := 0
		for i, load := range s.load {
			result.peakBytes = max(result.peakBytes, load)
			sums[i] += load
			result.maxBytes = max(result.maxBytes, sums[i])
			if !s.down[i] {
				running++
			}
		}
		result.meanBytes = max(result.meanBytes, s.bytes/running)
		result.totalBytes += s.bytes / running
		result.falseDeaths = max(result.falseDeaths, s.countFalseDeaths())
	}
	s.measure = false
}

// firstDomainAgrees reports whether the running VMs of the first domain agree on the
// live members of that domain.
func (s *sim) firstDomainAgrees() bool {
	want := 0
	for i := 0; i < len(s.views); i += 8 {
		if !s.down[i] {
			want++
		}
	}
	for i := 0; i < len(s.views); i += 8 {
		if !s.down[i] && len(s.views[i].InDomain(s.views[i].Self().Domain)) != want {
			return false
		}
	}
	return true
}

// countFalseDeaths counts the pairs of running VMs of one side of which the first has
// the second as dead.
func (s *sim) countFalseDeaths() int {
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

// loseDomain stops all VMs of the first domain.
func (s *sim) loseDomain(result *outage) {
	for i := 0; i < len(s.views); i += 8 {
		s.down[i] = true
	}
	s.measureOutage(60*time.Second, result)
}

// healPartition partitions the fleet into halves for a minute, in which one VM in 60
// dies, and measures after the heal.
func (s *sim) healPartition(result *outage) {
	s.drop = func(from, to int) bool { return sideOf(from) != sideOf(to) }
	s.run(s.now+30*time.Second, nil)
	for i := 7; i < len(s.views); i += 59 {
		s.down[i] = true
	}
	s.run(s.now+30*time.Second, nil)
	s.drop = nil
	s.measureOutage(60*time.Second, result)
}

// loseRack stops a third of one domain, at most 40 VMs.
func (s *sim) loseRack(result *outage) {
	for i := 0; i < min(40, len(s.views)/24); i++ {
		s.down[8*i] = true
	}
	s.measureOutage(60*time.Second, result)
}

// Guards against gossip over the budget, false deaths and views that do not agree
// again after the loss of a domain or a rack and after a healed partition.
func TestBadDays(t *testing.T) {
	sizes := []int{250, 500, 1000}
	if raceEnabled || testing.Short() {
		sizes = sizes[:1]
	}
	// Of the 7 kB/s for control traffic, 3.7 kB/s are for load reports, tables and
	// handovers at 15,000 VMs (docs/CAPACITY.md, 2.3).
	const maxBytesPerMinute = 60 * (7_000 - 3_700)
	cases := []struct {
		name                           string
		run                            func(*sim, *outage)
		agreedAfter, domainAgreedAfter time.Duration
	}{
		{"domain lost", (*sim).loseDomain, 8 * time.Second, 0},
		{"cut healed", (*sim).healPartition, 12 * time.Second, 0},
		{"rack lost", (*sim).loseRack, 30 * time.Second, 7 * time.Second},
	}
	for _, c := range cases {
		for _, n := range sizes {
			s := newSim(n, 8, 11, true)
			s.run(3*time.Second, nil)
			result := &outage{}
			c.run(s, result)
			t.Logf("%-11s %4d VMs: busiest %d B/s, mean of the worst second %d B/s, total %d B, busiest %d B, agreed after %v, first domain %v, %d false deaths",
				c.name, n, result.peakBytes, result.meanBytes, result.totalBytes, result.maxBytes, result.agreedAfter, result.domainAgreedAfter, result.falseDeaths)
			if result.meanBytes > 7_000 || result.maxBytes > maxBytesPerMinute || result.agreedAfter > c.agreedAfter || result.domainAgreedAfter > c.domainAgreedAfter || result.falseDeaths > 0 {
				t.Errorf("%s, %d VMs: exceeds a bound", c.name, n)
			}
		}
	}
}
