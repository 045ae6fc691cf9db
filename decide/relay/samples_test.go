package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against samples that are counted twice, lost, or sent to VMs of another failure
// domain, and against outdated ones that stay after they are withdrawn.
func TestSamplesOfADomainReachItsVMs(t *testing.T) {
	is := is.New(t)
	f := newFleet(5, 2, 4)
	f.write("op", false)
	for _, v := range f.vms {
		target := uint32(7)
		if v.member.Domain == "d1" {
			target = 9
		}
		v.machine.SetSamples([]Sample{{TargetCookie: target, Requests: 10, Failures: 2}})
	}
	f.advance(8 * time.Second)
	want := map[string][]Sample{
		"d0": {{TargetCookie: 7, Requests: 40, Failures: 8}},
		"d1": {{TargetCookie: 9, Requests: 40, Failures: 8}},
	}
	for _, v := range f.vms {
		is.Equal(v.machine.DomainSamples(f.now), want[v.member.Domain])
	}
	for _, v := range f.vms {
		v.machine.SetSamples(nil)
	}
	f.advance(2 * time.Second)
	for _, v := range f.vms {
		is.Equal(len(v.machine.DomainSamples(f.now)), 0)
	}
}

// Guards against a heartbeat larger than a datagram: only the worst targets are sent.
func TestSamplesAreBounded(t *testing.T) {
	is := is.New(t)
	m := New(Config{Self: Member{Name: "me", Domain: "a"}, MemberPrefix: prefix, MaxAge: maxAge})
	var many []Sample
	for i := range uint32(100) {
		many = append(many, Sample{TargetCookie: i, Requests: 50, Failures: float32(i)})
	}
	m.SetSamples(many)
	got := m.DomainSamples(0)
	is.Equal(len(got), maxSamples)
	is.Equal(got[0], Sample{TargetCookie: 99, Requests: 50, Failures: 99})
	is.Equal(got[maxSamples-1].TargetCookie, uint32(100-maxSamples))
}
