package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// largeDomain is a number of VMs for which a domain has a relay and two branches.
const largeDomain = 2*defaultVMsPerBranch + 22

// subscriberCounts returns the number of subscribers of each running VM that has any, by
// name.
func (f *fleet) subscriberCounts() map[string]int {
	counts := make(map[string]int)
	for _, v := range f.vms {
		if n := v.machine.Subscribers(f.now); v.up && n > 0 {
			counts[v.member.Name] = n
		}
	}
	return counts
}

// Guards against a relay that all VMs of a large domain poll, against calls of branches to
// the store, and against loads and samples that are lost or counted twice when a branch
// forwards them.
func TestBranchesOfALargeDomain(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 1, largeDomain)
	f.write("op", false)
	for _, v := range f.vms {
		v.machine.SetLoads([]Load{{TargetDomain: "d0", Service: "s", Flows: 10, ActiveRequests: 2}})
		v.machine.SetSamples([]Sample{{TargetCookie: 7, Requests: 10, Failures: 2}})
	}
	f.advance(10 * time.Second)
	counts := f.subscriberCounts()
	is.Equal(len(counts), 3)
	for _, n := range counts {
		is.True(n <= 3*defaultVMsPerBranch/2)
	}
	before := f.calls
	f.advance(10 * time.Second)
	is.True(f.calls-before <= 10*1000/int(watchWait.Milliseconds())+1) // calls of one relay
	for _, v := range f.vms {
		is.Equal(v.machine.DomainLoads(f.now), []Load{{Domain: "d0", TargetDomain: "d0", Service: "s", Flows: 10 * largeDomain, ActiveRequests: 2 * largeDomain}})
		is.Equal(v.machine.DomainSamples(f.now), []Sample{{TargetCookie: 7, Requests: 10 * largeDomain, Failures: 2 * largeDomain}})
	}
}

// Guards against VMs of a large domain that miss changes after the death of the relay, of
// a branch or of all of these, and against a relay that removes the entries of live VMs
// because they poll branches instead.
func TestALargeDomainSurvivesItsRelays(t *testing.T) {
	is := is.New(t)
	f := newFleet(8, 1, largeDomain)
	f.write("op", false)
	f.advance(6 * time.Second)
	check := func() {
		t.Helper()
		for range 60 {
			f.write("op", false)
			f.advance(100 * time.Millisecond)
			if v := f.stale(); v != nil {
				t.Fatalf("%s misses a change at %s", v.member.Name, f.now)
			}
		}
	}
	check()
	for name := range f.subscriberCounts() {
		f.byName(name).up = false
		check()
		break
	}
	for name := range f.subscriberCounts() {
		f.byName(name).up = false
	}
	check()
	f.advance(removeEntryAfter + 25*time.Second)
	is.True(len(f.removedEntries) > 0)
	for _, v := range f.vms {
		is.True(!f.removedEntries[v.machine.key] || !v.up)
	}
}

func (f *fleet) byName(name string) *vm {
	for _, v := range f.vms {
		if v.member.Name == name {
			return v
		}
	}
	return nil
}

// Guards against timeouts too short for a lost heartbeat, and against polls that are as
// frequent with a bound of 12 s as with 3 s.
func TestIntervalsFollowMaxAge(t *testing.T) {
	is := is.New(t)
	is.Equal(intervalsFor(2100*time.Millisecond).poll, minPollInterval)
	is.Equal(intervalsFor(8400*time.Millisecond).poll, 1200*time.Millisecond)
	for _, maxAge := range []time.Duration{time.Second, 3500 * time.Millisecond, 8400 * time.Millisecond} {
		x := intervalsFor(maxAge)
		is.True(x.deadAfter > 2*x.poll)
		is.True(x.subscriberTimeout > x.deadAfter)
		is.True(x.reportTTL > x.subscriberTimeout)
	}
}
