package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// largeDomain is a number of VMs that makes three branches.
const largeDomain = 2*defaultPerBranch + 22

// askers returns the number of VMs that ask each VM that is asked at all.
func (f *fleet) askers() map[string]int {
	counts := make(map[string]int)
	for _, v := range f.vms {
		if n := v.machine.Subscribers(f.now); v.up && n > 0 {
			counts[v.member.Name] = n
		}
	}
	return counts
}

// Guards against a relay with as many askers as its domain has VMs, against calls of
// branches to the store, and against loads and samples that are lost or counted twice
// on their way over two steps.
func TestBranchesOfALargeDomain(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 1, largeDomain)
	f.write("op", false)
	for _, v := range f.vms {
		v.machine.SetLoads([]Load{{TargetDomain: "d0", Service: "s", Flows: 10, ActiveRequests: 2}})
		v.machine.SetSamples([]Sample{{TargetCookie: 7, Requests: 10, Failures: 2}})
	}
	f.advance(10 * time.Second)
	counts := f.askers()
	is.Equal(len(counts), 3)
	for _, n := range counts {
		is.True(n <= 3*defaultPerBranch/2)
	}
	before := f.calls
	f.advance(10 * time.Second)
	is.True(f.calls-before <= 10*1000/int(watchWait.Milliseconds())+1) // of one relay
	for _, v := range f.vms {
		is.Equal(v.machine.DomainLoads(f.now), []Load{{Domain: "d0", TargetDomain: "d0", Service: "s", Flows: 10 * largeDomain, ActiveRequests: 2 * largeDomain}})
		is.Equal(v.machine.DomainSamples(f.now), []Sample{{TargetCookie: 7, Requests: 10 * largeDomain, Failures: 2 * largeDomain}})
	}
}

// Guards against VMs of a large domain without news after their relay, a branch or
// all of these have died, and against a relay that removes the entries of live VMs,
// which ask branches.
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
	for name := range f.askers() {
		f.byName(name).up = false
		check()
		break
	}
	for name := range f.askers() {
		f.byName(name).up = false
	}
	check()
	f.advance(forgetAfter + 25*time.Second)
	is.True(len(f.forgotten) > 0)
	for _, v := range f.vms {
		is.True(!f.forgotten[v.machine.key] || !v.up)
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

// Guards against intervals that leave no room for a lost beat, or that cost as much
// with a bound of 12 s as with 3 s.
func TestTimesFollowTheBound(t *testing.T) {
	is := is.New(t)
	is.Equal(timesOf(2100*time.Millisecond).ask, leastAskInterval)
	is.Equal(timesOf(8400*time.Millisecond).ask, 1200*time.Millisecond)
	for _, maxAge := range []time.Duration{time.Second, 3500 * time.Millisecond, 8400 * time.Millisecond} {
		x := timesOf(maxAge)
		is.True(x.deadAfter > 2*x.ask)
		is.True(x.subscriberFor > x.deadAfter)
		is.True(x.loadFor > x.subscriberFor)
	}
}
