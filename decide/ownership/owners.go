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
	history  map[message.DomainID]*history
	version  int // number of changes since the start
	cache    ownerCache
	hashes   uint64
}

// history is the recent changes of one failure domain.
type history struct {
	changes []change
	count   int // since the start
	last    int // version after the last change
}

// NewOwners returns the owners for an empty live set, for a VM of failure domain
// home. Owners in that domain stay cached; of others only those looked up last.
func NewOwners(home message.DomainID) *Owners {
	return &Owners{
		byDomain: make(map[message.DomainID][]message.VMID),
		emptied:  make(map[message.DomainID]time.Duration),
		history:  make(map[message.DomainID]*history),
		cache:    newOwnerCache(home),
	}
}

// Update takes over a new live set. It reports whether the set has changed.
func (o *Owners) Update(now time.Duration, live []message.Member) bool {
	domains, all := o.split(live)
	before := o.version
	for domain, vms := range o.byDomain {
		o.updateDomain(now, domain, vms, domains[domain])
	}
	for domain, vms := range domains {
		if _, ok := o.byDomain[domain]; !ok {
			o.updateDomain(now, domain, nil, vms)
		}
	}
	o.all = all
	return o.version != before
}

// split returns the sorted VMs of each failure domain, and of all. A live set
// that is sorted by id, as membership keeps it, needs no further sorting.
func (o *Owners) split(live []message.Member) (domains map[message.DomainID][]message.VMID, all []message.VMID) {
	all = make([]message.VMID, 0, len(live))
	domains = make(map[message.DomainID][]message.VMID, len(o.byDomain))
	for domain, vms := range o.byDomain {
		domains[domain] = make([]message.VMID, 0, len(vms)+1)
	}
	for i := range live {
		all = append(all, live[i].ID)
		domains[live[i].Domain] = append(domains[live[i].Domain], live[i].ID)
	}
	sortIDs(all)
	for _, vms := range domains {
		sortIDs(vms)
	}
	return domains, all
}

func sortIDs(ids []message.VMID) {
	if !slices.IsSorted(ids) {
		slices.Sort(ids)
	}
}

func (o *Owners) updateDomain(now time.Duration, domain message.DomainID, old, vms []message.VMID) {
	o.addDifferences(domain, old, vms)
	switch {
	case len(vms) > 0:
		delete(o.emptied, domain)
	case len(old) > 0:
		o.emptied[domain] = now
	}
	o.byDomain[domain] = vms
}

// addDifferences records the changes from one sorted live set to another.
func (o *Owners) addDifferences(domain message.DomainID, old, vms []message.VMID) {
	for len(old) > 0 || len(vms) > 0 {
		switch {
		case len(vms) == 0 || len(old) > 0 && old[0] < vms[0]:
			o.add(domain, change{vm: old[0]})
			old = old[1:]
		case len(old) == 0 || vms[0] < old[0]:
			o.add(domain, change{vm: vms[0], joined: true})
			vms = vms[1:]
		default:
			old, vms = old[1:], vms[1:]
		}
	}
}

func (o *Owners) add(domain message.DomainID, c change) {
	h := o.history[domain]
	if h == nil {
		h = &history{}
		o.history[domain] = h
	}
	o.version++
	h.last = o.version
	h.count++
	h.changes = append(h.changes, c)
	if len(h.changes) > 2*maxChanges {
		h.changes = slices.Delete(h.changes, 0, maxChanges)
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
	h := o.history[domain]
	entry, ok := o.cache.get(target, domain)
	if ok && entry.version == h.count {
		return entry.vm, true
	}
	if !ok || !h.catchUp(&entry, target) {
		entry.vm, entry.score = o.first(target, vms, 0)
		entry.domain = domain
	}
	entry.version = h.count
	o.cache.put(target, entry)
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
func (h *history) catchUp(entry *owner, target message.TargetID) bool {
	missed := h.count - entry.version
	if missed > len(h.changes) {
		return false
	}
	for _, c := range h.changes[len(h.changes)-missed:] {
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

// OwnerExcluding returns the owner of a target if VM excluded were not live: the
// standby of owner excluded, or the presumable owner before VM excluded joined.
func (o *Owners) OwnerExcluding(target message.TargetID, domain message.DomainID, excluded message.VMID) (message.VMID, bool) {
	vms := o.byDomain[domain]
	if len(vms) == 0 {
		vms = o.byDomain[o.standIn(target)]
	}
	if len(vms) == 1 && vms[0] == excluded && !o.DomainIsLive(domain) {
		vms = o.all
	}
	vm, _ := o.first(target, vms, excluded)
	return vm, vm != 0
}

// HasOtherCandidate reports whether a live VM other than excluded can own targets of a failure
// domain. Unlike OwnerExcluding it computes no hash, so it may be asked on every tick.
func (o *Owners) HasOtherCandidate(domain message.DomainID, excluded message.VMID) bool {
	vms := o.byDomain[domain]
	if len(vms) == 0 {
		vms = o.all
	}
	if len(vms) == 1 {
		return vms[0] != excluded
	}
	return len(vms) > 1
}

// Before reports whether VM a comes before VM b in the order of the target.
func Before(target message.TargetID, a, b message.VMID) bool {
	return score(target, a) > score(target, b)
}

// Forget drops the cached owner of a target that left the table.
func (o *Owners) Forget(target message.TargetID) {
	o.cache.remove(target)
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
	if h := o.history[domain]; h != nil {
		return h.last
	}
	return 0
}

// HashCount returns the number of rendezvous hashes computed since the start to find
// owners anew. A fleet that does not change needs none.
func (o *Owners) HashCount() uint64 {
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
