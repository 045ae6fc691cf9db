package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// received delivers the grants of a VM that are in transit, and returns them by name of the VM
// that took them.
func (f *fleet) received(granter *vm) map[string][]Grant {
	got := make(map[string][]Grant)
	for _, d := range f.inFlight {
		if len(d.heartbeat.Grants) > 0 && d.from == granter {
			d.to.machine.HandleHeartbeat(f.now, 0, d.from.member.HeartbeatAddr, d.heartbeat)
			got[d.to.member.Name] = append(got[d.to.member.Name], d.to.machine.TakeOutput().Grants...)
		}
	}
	return got
}

// newGrantFleet returns a domain whose VMs have a random number, except the last one, which is of
// a build without.
func newGrantFleet(seed uint64, vms int) (f *fleet, granter *vm) {
	f = newFleet(seed, 1, vms)
	for i, v := range f.vms[:vms-1] {
		v.machine.config.Boot = uint64(i + 1)
	}
	f.write("op", false)
	f.advance(10 * time.Second)
	for _, v := range f.vms {
		if v.machine.IsRelay() {
			granter = v
		}
	}
	return f, granter
}

// Guards against tokens that reach a VM only with its next poll, against a grant that is lost
// with one datagram, and against VMs of older builds that count as pollers.
func TestGrantsAreSentAtOnceAndAgain(t *testing.T) {
	is := is.New(t)
	f, granter := newGrantFleet(3, 5)
	pollers := granter.machine.Pollers(f.now)
	is.Equal(len(pollers), 3) // of 5 VMs, without the relay and the one of an older build
	grants := []Grant{{TargetCookie: 1, Born: 2, Tokens: 3}}
	granter.machine.SetGrants(pollers[0].Process, grants)
	granter.nextTick = f.now
	f.step(granter)
	is.Equal(f.received(granter), map[string][]Grant{pollers[0].VM: grants})
	again := 0
	for range 150 {
		f.advance(simStep)
		for _, d := range f.inFlight {
			if len(d.heartbeat.Grants) > 0 && d.at == f.now-simStep+heartbeatDelay {
				again++
			}
		}
	}
	is.True(again >= 2) // polls in 1.5 s
	granter.machine.SetGrants(pollers[0].Process, nil)
	f.advance(time.Second)
	for _, d := range f.inFlight {
		is.Equal(len(d.heartbeat.Grants), 0)
	}
}

// Guards against tokens that a process uses which were granted to an earlier one of its VM.
func TestGrantsAreForOneProcess(t *testing.T) {
	is := is.New(t)
	f, granter := newGrantFleet(4, 4)
	process := granter.machine.Pollers(f.now)[0].Process
	restarted := f.byName(process.VM)
	restarted.machine.config.Boot = 99
	granter.machine.SetGrants(process, []Grant{{TargetCookie: 1, Born: 2, Tokens: 3}})
	granter.nextTick = f.now
	f.step(granter)
	is.Equal(len(f.received(granter)[process.VM]), 0)
	f.advance(2 * time.Second) // it has polled again
	is.Equal(len(granter.machine.Pollers(f.now)), 2)
	for _, p := range granter.machine.Pollers(f.now) {
		is.True(p != Poller{Process: process, VMs: 1})
	}
}

// Guards against a heartbeat with more grants than fit into a datagram.
func TestManyGrantsTakeSeveralHeartbeats(t *testing.T) {
	is := is.New(t)
	f, granter := newGrantFleet(5, 3)
	process := granter.machine.Pollers(f.now)[0].Process
	var grants []Grant
	for i := range uint32(2*maxGrants + 1) {
		grants = append(grants, Grant{TargetCookie: i + 1, Born: 1, Tokens: 1})
	}
	granter.machine.SetGrants(process, grants)
	granter.nextTick = f.now
	f.step(granter)
	is.Equal(f.received(granter)[process.VM], grants)
}

// Guards against VMs of a large domain that get no tokens because they poll a branch: the relay
// counts a branch for about as many VMs as poll it.
func TestBranchesStandForTheirVMs(t *testing.T) {
	is := is.New(t)
	f, granter := newGrantFleet(7, largeDomain)
	vms := 1
	for _, p := range granter.machine.Pollers(f.now) {
		vms += p.VMs
	}
	is.True(vms >= largeDomain*9/10 && vms <= largeDomain*11/10)
}
