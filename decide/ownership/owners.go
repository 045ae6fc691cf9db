// Package ownership decides which VM owns a target, and when a VM takes over or
// hands over an ownership.
package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

// EmptyDomainWait is how long a failure domain must be without a live VM before
// the VMs of other domains own its targets. It is longer than a VM needs to be
// declared dead and replaced, since a cut looks the same from outside.
const EmptyDomainWait = 10 * time.Second

// maxChanges is the number of membership changes that a cached owner catches up
// with one by one. After more it is computed anew.
const maxChanges = 64

// change is one VM that joined or left the live set.
type change struct {
	vm     message.VMID
	domain message.DomainID
	joined bool
}

// Owners maps each target to its owner among the live VMs: the first VM of the
// target's failure domain in the rendezvous order of the target. While that
// domain is empty, another one takes its place. Results are cached; a membership
// change costs one hash for each cached target.
type Owners struct {
	byDomain map[message.DomainID][]message.VMID // sorted
	all      []message.VMID                      // sorted
	emptied  map[message.DomainID]time.Duration  // when the last live VM was gone
	changes  []change
	version  int                      // number of changes since the start
	versions map[message.DomainID]int // version of the last change by domain
	cache    map[message.TargetID]owner
	hashes   uint64
}

type owner struct {
	vm      message.VMID
	domain  message.DomainID // an operator may move a target to another one
	score   float64
	version int
}

// NewOwners returns the owners for an empty live set.
func NewOwners() *Owners {
	return &Owners{
		byDomain: make(map[message.DomainID][]message.VMID),
		emptied:  make(map[message.DomainID]time.Duration),
		versions: make(map[message.DomainID]int),
		cache:    make(map[message.TargetID]owner),
	}
}

// Update takes over a new live set. It reports whether the set has changed.
func (o *Owners) Update(now time.Duration, live []message.Member) bool {
	domains := make(map[message.DomainID][]message.VMID)
	for i := range live {
		domains[live[i].Domain] = append(domains[live[i].Domain], live[i].ID)
	}
	before := o.version
	for domain, vms := range o.byDomain {
		o.updateDomain(now, domain, vms, domains[domain])
	}
	for domain, vms := range domains {
		if _, ok := o.byDomain[domain]; !ok {
			o.updateDomain(now, domain, nil, vms)
		}
	}
	if o.version == before {
		return false
	}
	o.all = o.all[:0]
	for _, vms := range o.byDomain {
		o.all = append(o.all, vms...)
	}
	slices.Sort(o.all)
	return true
}

func (o *Owners) updateDomain(now time.Duration, domain message.DomainID, old, vms []message.VMID) {
	slices.Sort(vms)
	for _, vm := range old {
		if !contains(vms, vm) {
			o.add(change{vm: vm, domain: domain})
		}
	}
	for _, vm := range vms {
		if !contains(old, vm) {
			o.add(change{vm: vm, domain: domain, joined: true})
		}
	}
	switch {
	case len(vms) > 0:
		delete(o.emptied, domain)
	case len(old) > 0:
		o.emptied[domain] = now
	}
	o.byDomain[domain] = vms
}

func contains(sorted []message.VMID, vm message.VMID) bool {
	_, ok := slices.BinarySearch(sorted, vm)
	return ok
}

func (o *Owners) add(c change) {
	o.version++
	o.versions[c.domain] = o.version
	o.changes = append(o.changes, c)
	if len(o.changes) > 2*maxChanges {
		o.changes = slices.Delete(o.changes, 0, maxChanges)
	}
}

// Owner returns the owner of a target of a failure domain. It returns false
// while no VM may own the target.
func (o *Owners) Owner(now time.Duration, target message.TargetID, domain message.DomainID) (message.VMID, bool) {
	if len(o.byDomain[domain]) == 0 {
		if o.waits(now, domain) {
			return 0, false
		}
		domain = o.standIn(target)
	}
	vms := o.byDomain[domain]
	if len(vms) == 0 {
		return 0, false
	}
	entry, ok := o.cache[target]
	ok = ok && entry.domain == domain
	if ok && entry.version == o.version {
		return entry.vm, true
	}
	if !ok || !o.catchUp(&entry, target, domain) {
		entry.vm, entry.score = o.first(target, vms, 0)
		entry.domain = domain
	}
	entry.version = o.version
	o.cache[target] = entry
	return entry.vm, true
}

// Domain returns the failure domain whose VMs own a target: its own one, or the
// one in its place while its own one is empty, or 0 if there is none. It takes
// no account of EmptyDomainWait.
func (o *Owners) Domain(target message.TargetID, domain message.DomainID) message.DomainID {
	if o.DomainIsLive(domain) {
		return domain
	}
	return o.standIn(target)
}

// waits reports whether it is too early to own targets of an empty failure
// domain from outside.
func (o *Owners) waits(now time.Duration, domain message.DomainID) bool {
	emptied, known := o.emptied[domain]
	if known {
		return now-emptied < EmptyDomainWait
	}
	return now < EmptyDomainWait
}

// standIn returns the live failure domain whose VMs own a target of an empty one:
// the first in the rendezvous order of the target. The choice of a domain before
// that of a VM costs a hash for each domain, where the choice among all VMs would
// cost a hash for each VM of the fleet.
func (o *Owners) standIn(target message.TargetID) message.DomainID {
	var best message.DomainID
	bestScore := 0.0
	for domain, vms := range o.byDomain {
		if len(vms) == 0 {
			continue
		}
		o.hashes++
		s := rendezvous.Score(uint64(target), uint64(domain), 1)
		if s > bestScore || s == bestScore && domain < best {
			best, bestScore = domain, s
		}
	}
	return best
}

// catchUp applies the changes since the entry was computed. It returns false if
// the entry must be computed anew.
func (o *Owners) catchUp(entry *owner, target message.TargetID, domain message.DomainID) bool {
	missed := o.version - entry.version
	if missed > len(o.changes) {
		return false
	}
	for _, c := range o.changes[len(o.changes)-missed:] {
		if c.domain != domain {
			continue
		}
		if !c.joined {
			if c.vm == entry.vm {
				return false
			}
			continue
		}
		if s := score(target, c.vm); s > entry.score {
			entry.vm, entry.score = c.vm, s
		}
	}
	return true
}

// Next returns the VM after skip in the order of the target: the standby of
// owner skip, or the presumable owner before VM skip joined.
func (o *Owners) Next(target message.TargetID, domain message.DomainID, skip message.VMID) (message.VMID, bool) {
	vms := o.byDomain[domain]
	if len(vms) == 0 {
		vms = o.byDomain[o.standIn(target)]
	}
	if len(vms) == 1 && vms[0] == skip && !o.DomainIsLive(domain) {
		vms = o.all
	}
	vm, _ := o.first(target, vms, skip)
	return vm, vm != 0
}

// HasOther reports whether a live VM other than skip can own targets of a failure
// domain. Unlike Next it computes no hash, so it may be asked on every tick.
func (o *Owners) HasOther(domain message.DomainID, skip message.VMID) bool {
	vms := o.byDomain[domain]
	if len(vms) == 0 {
		vms = o.all
	}
	if len(vms) == 1 {
		return vms[0] != skip
	}
	return len(vms) > 1
}

// Before reports whether VM a comes before VM b in the order of the target.
func Before(target message.TargetID, a, b message.VMID) bool {
	return score(target, a) > score(target, b)
}

// Forget drops the cached owner of a target that left the table.
func (o *Owners) Forget(target message.TargetID) {
	delete(o.cache, target)
}

// DomainIsLive reports whether a failure domain has a live VM.
func (o *Owners) DomainIsLive(domain message.DomainID) bool {
	return len(o.byDomain[domain]) > 0
}

// Version changes whenever the targets that a VM of the failure domain owns may
// change: when the domain's live set does, or any live set while a domain is empty.
func (o *Owners) Version(domain message.DomainID) int {
	if len(o.emptied) > 0 {
		return o.version
	}
	return o.versions[domain]
}

// Hashes returns the number of rendezvous hashes computed since the start to find
// owners anew. A fleet that does not change needs none.
func (o *Owners) Hashes() uint64 {
	return o.hashes
}

// first returns the VM with the highest score for the target, leaving out skip.
func (o *Owners) first(target message.TargetID, vms []message.VMID, skip message.VMID) (message.VMID, float64) {
	var best message.VMID
	bestScore := 0.0
	o.hashes += uint64(len(vms))
	for _, vm := range vms {
		if vm == skip {
			continue
		}
		if s := score(target, vm); cmp.Compare(s, bestScore) > 0 {
			best, bestScore = vm, s
		}
	}
	return best, bestScore
}

func score(target message.TargetID, vm message.VMID) float64 {
	return rendezvous.Score(uint64(target), uint64(vm), 1)
}
