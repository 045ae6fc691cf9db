package day

import (
	"strings"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/decide/revision"
)

const (
	// maxRewriteDelay is the longest time from the return of the store from an older copy
	// until the operators and the targets have written again what they wrote.
	maxRewriteDelay = 2 * time.Second
	// evacuationPause is the pause between attempts to set or withdraw an evacuation that
	// the store does not answer.
	evacuationPause = 500 * time.Millisecond
	// coldLead is how long before the end of an evacuation its targets become cold.
	coldLead = time.Second
	// Variants of domain_evacuate.
	evacuateCold = "cold"
	evacuateWarm = "warm"
)

// loggedWrite is a write of the store, with what it replaced.
type loggedWrite struct {
	at       time.Duration
	before   revision.Revision // of the store
	key      string
	replaced relay.Item // valid if existed
	existed  bool
}

// rewind returns the store to its state at a time, without the entries of VMs, in a new era.
func (s *store) rewind(to time.Duration) {
	for len(s.log) > 0 && s.log[len(s.log)-1].at > to {
		w := s.log[len(s.log)-1]
		s.log = s.log[:len(s.log)-1]
		s.revision = revision.New(s.revision.Era(), w.before.Number())
		if w.existed {
			s.items[w.key] = w.replaced
		} else {
			delete(s.items, w.key)
		}
	}
	s.revision = revision.New(s.revision.Era()+1, s.revision.Number())
	for key, item := range s.items {
		if strings.HasPrefix(key, memberPrefix) {
			delete(s.items, key)
			continue
		}
		item.Revision = revision.New(s.revision.Era(), item.Revision.Number())
		s.items[key] = item
	}
	// A further rewind may return to before this one.
	for i := range s.log {
		s.log[i].replaced.Revision = revision.New(s.revision.Era(), s.log[i].replaced.Revision.Number())
	}
	s.compact()
	watchers := s.watchers
	s.watchers = nil
	for _, wake := range watchers {
		wake()
	}
}

// storeRewind makes the store unavailable, and then returns it from a copy that is Magnitude
// seconds older than the outage. The operators and the targets write again what they wrote.
func (s *disruptor) storeRewind(d Disruption) {
	s.outage(d.For.D(), func() {
		s.store.rewind(s.store.lostAt - time.Duration(d.Magnitude*float64(time.Second)))
		s.timeline.after(uniform(s.rng, 0, maxRewriteDelay), s.operator.rewrite)
		s.targets.rewrite()
	})
}

// rewrite writes the configuration and the evacuations again that a rewind may have lost.
func (o *operator) rewrite() {
	config := o.config
	if !o.store.put(catalog.Change{Configuration: &config}) {
		// VMs may have to believe the copy before the operators can write again.
		for _, e := range o.evacuations {
			clear(e.informed)
		}
		o.timeline.after(evacuationPause, o.rewrite)
		return
	}
	o.writtenAt = o.timeline.now()
	for _, domain := range o.site.Domains {
		e := catalog.Evacuation{Domain: domain, Active: o.evacuations[domain] != nil && o.evacuations[domain].accepted}
		if e.Active || o.store.hasEvacuation(domain) {
			o.store.put(catalog.Change{Evacuation: &e})
		}
	}
}

// rewrite makes every target write its entry again some time after now. Entries of targets
// that no longer run expire.
func (ts *targets) rewrite() {
	for _, t := range ts.all {
		if t.up && t.listed {
			ts.timeline.after(uniform(ts.beatRNG, 0, maxRewriteDelay-ts.site.Bounds.Heartbeat.D()), t.writeEntry)
		} else if !t.up && ts.store.has(t.id) {
			ts.timeline.after(expiryHeartbeats*ts.site.Bounds.Heartbeat.D(), func() {
				if !t.up {
					t.removeEntry()
				}
			})
		}
	}
}

// evacuationRequest is a request of the operators to evacuate a failure domain.
type evacuationRequest struct {
	requests   int  // disruptions that want it
	accepted   bool // by the store, and not withdrawn since
	acceptedAt time.Duration
	// informed holds the VMs that must know of it, with the number of their process: they
	// were settled at the end of the bound. A process does not forget it, also not in a rewind.
	informed map[*vm]int
}

// evacuate asks the store to evacuate a failure domain, until it accepts. withdrawn ends it.
func (o *operator) evacuate(domain string) {
	e := o.evacuations[domain]
	if e == nil {
		e = &evacuationRequest{}
		o.evacuations[domain] = e
	}
	e.requests++
	o.updateEvacuation(domain)
}

// withdraw withdraws an evacuation once no other disruption wants it.
func (o *operator) withdraw(domain string) {
	o.evacuations[domain].requests--
	o.updateEvacuation(domain)
}

// updateEvacuation writes the evacuation of a domain as wanted, until the store accepts it.
func (o *operator) updateEvacuation(domain string) {
	e := o.evacuations[domain]
	wanted := e.requests > 0
	if wanted == e.accepted {
		return
	}
	if !o.store.put(catalog.Change{Evacuation: &catalog.Evacuation{Domain: domain, Active: wanted}}) {
		o.timeline.after(evacuationPause, func() { o.updateEvacuation(domain) })
		return
	}
	e.accepted, e.acceptedAt, e.informed = wanted, o.timeline.now(), make(map[*vm]int)
	o.timeline.after(o.site.Bounds.evacuateWithin(), func() { o.recordInformed(e, e.informed) })
}

// recordInformed records the VMs that must know of an evacuation from now on.
func (o *operator) recordInformed(e *evacuationRequest, informed map[*vm]int) {
	for _, v := range o.fleet.vms {
		if e.accepted && v.up && o.fleet.oracle.vmSettled(v) && o.fleet.oracle.storeSettled() {
			informed[v] = v.generation
		}
	}
}

// evacuateDomain evacuates a failure domain for a time. The targets become cold before the end.
func (s *disruptor) evacuateDomain(d Disruption) {
	index := s.domainIndex(d)
	s.operator.evacuate(s.site.Domains[index])
	if d.Variant != evacuateWarm {
		s.timeline.after(max(d.For.D()-coldLead, 0), func() { s.targets.cool(index) })
	}
	s.timeline.after(d.For.D(), func() { s.operator.withdraw(s.site.Domains[index]) })
}

// configurationApplied checks that a process of a VM never goes to an older configuration.
func (o *oracle) configurationApplied(v *vm, version uint64) {
	if v.appliedBy == v.generation && version < v.appliedVersion {
		o.recordViolation(ConfigReverted, "%s applied version %d after %d", v.name, version, v.appliedVersion)
	}
	v.appliedBy, v.appliedVersion = v.generation, version
}

// cool makes the targets of a failure domain cold.
func (ts *targets) cool(domain int) {
	for _, t := range ts.all {
		if t.up && !t.draining && t.node.domain == domain {
			t.coldUntil = ts.timeline.now() + t.service.Cold.D()
			t.writeEntry()
		}
	}
}

// evacuatedTarget checks a flow that a VM opened at a target of an evacuated failure domain.
func (o *oracle) evacuatedTarget(t *target, from sender, flow string) {
	domain := o.site.Domains[t.node.domain]
	e := o.operator.evacuations[domain]
	if e == nil || !e.accepted || o.now()-e.acceptedAt <= o.site.Bounds.evacuateWithin() {
		return
	}
	generation, informed := e.informed[from.vm]
	if informed && generation == from.generation || o.vmSettled(from.vm) && o.storeSettled() {
		o.recordViolation(Evacuated, "%s sent flow %s to %s in %s, evacuated since %s", from.vm.name, flow, t.id, domain, e.acceptedAt)
	}
}
