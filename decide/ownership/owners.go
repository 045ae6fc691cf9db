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
// VMs of other domains own its targets. Other domains cannot distinguish a network
// partition from the loss of all VMs, so it exceeds the time in which a VM is
// declared dead and replaced.
const EmptyDomainWait = 10 * time.Second

// maxCatchUpChanges is the number of most recent membership changes that a domain's
// history keeps at least; it keeps up to twice as many. A cached owner that is further
// behind than the history reaches is recomputed.
const maxCatchUpChanges = 64

// membershipChange is one VM that joined or left the live set.
type membershipChange struct {
	vm     message.VMID
	joined bool
}

// Owners maps each target to its owner among the live VMs: the VM of the target's
// failure domain with the highest rendezvous score for the target. While that domain
// is empty, the target has no owner for EmptyDomainWait and then belongs to a fallback
// domain. Owners are cached; a VM that joins costs one hash for each cached target of
// its domain, and a VM that leaves a recomputation for each target that it owned, both
// at the next lookup of the target.
type Owners struct {
	byDomain   map[message.DomainID][]message.VMID // sorted
	all        []message.VMID                      // sorted
	emptySince map[message.DomainID]time.Duration  // time at which the last live VM left
	history    map[message.DomainID]*history
	version    int // number of membership changes since the start
	cache      ownerCache
	hashes     uint64
}

// history holds the recent membership changes of one failure domain.
type history struct {
	changes     []membershipChange
	count       int // of all changes since the start
	lastVersion int // Owners.version after the last change
}

// NewOwners returns the Owners of a VM in failure domain homeDomain, with an empty
// live set. All owners in that domain stay cached, and recently used ones of others.
func NewOwners(homeDomain message.DomainID) *Owners {
	return &Owners{
		byDomain:   make(map[message.DomainID][]message.VMID),
		emptySince: make(map[message.DomainID]time.Duration),
		history:    make(map[message.DomainID]*history),
		cache:      newOwnerCache(homeDomain),
	}
}

// Update replaces the live set. It reports whether the set has changed.
func (o *Owners) Update(now time.Duration, live []message.Member) bool {
	domains, all := o.groupByDomain(live)
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

// groupByDomain returns the sorted VMs of each failure domain, and of all domains. A
// live set in ascending order of ids, as from package membership, is not sorted again.
func (o *Owners) groupByDomain(live []message.Member) (domains map[message.DomainID][]message.VMID, all []message.VMID) {
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
	o.recordChanges(domain, old, vms)
	switch {
	case len(vms) > 0:
		delete(o.emptySince, domain)
	case len(old) > 0:
		o.emptySince[domain] = now
	}
	o.byDomain[domain] = vms
}

// recordChanges records the changes between two sorted live sets of a domain.
func (o *Owners) recordChanges(domain message.DomainID, old, vms []message.VMID) {
	for len(old) > 0 || len(vms) > 0 {
		switch {
		case len(vms) == 0 || len(old) > 0 && old[0] < vms[0]:
			o.recordChange(domain, membershipChange{vm: old[0]})
			old = old[1:]
		case len(old) == 0 || vms[0] < old[0]:
			o.recordChange(domain, membershipChange{vm: vms[0], joined: true})
			vms = vms[1:]
		default:
			old, vms = old[1:], vms[1:]
		}
	}
}

func (o *Owners) recordChange(domain message.DomainID, c membershipChange) {
	h := o.history[domain]
	if h == nil {
		h = &history{}
		o.history[domain] = h
	}
	o.version++
	h.lastVersion = o.version
	h.count++
	h.changes = append(h.changes, c)
	if len(h.changes) > 2*maxCatchUpChanges {
		h.changes = slices.Delete(h.changes, 0, maxCatchUpChanges)
	}
}

// Owner returns the designated owner of a target of a failure domain. It returns false
// while no VM may own the target.
func (o *Owners) Owner(now time.Duration, target message.TargetID, domain message.DomainID) (message.VMID, bool) {
	if len(o.byDomain[domain]) == 0 {
		if o.inEmptyDomainWait(now, domain) {
			return 0, false
		}
		domain = o.fallbackDomain(target)
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
	if !ok || !h.applyChanges(&entry, target) {
		entry.vm, entry.score = o.highestRanked(target, vms, 0)
		entry.domain = domain
	}
	entry.version = h.count
	o.cache.put(target, entry)
	return entry.vm, true
}

// OwningDomain returns the failure domain whose VMs own a target: its own domain, or the
// fallback domain while its own is empty, or 0 if all domains are empty. It ignores
// EmptyDomainWait.
func (o *Owners) OwningDomain(target message.TargetID, domain message.DomainID) message.DomainID {
	if o.DomainIsLive(domain) {
		return domain
	}
	return o.fallbackDomain(target)
}

// inEmptyDomainWait reports whether EmptyDomainWait of an empty failure domain has not
// elapsed yet. A domain that never had a live VM counts as empty since time 0.
func (o *Owners) inEmptyDomainWait(now time.Duration, domain message.DomainID) bool {
	emptySince, known := o.emptySince[domain]
	if known {
		return now-emptySince < EmptyDomainWait
	}
	return now < EmptyDomainWait
}

// fallbackDomain returns the live failure domain whose VMs own a target of an empty
// one: the domain with the highest rendezvous score for the target, or 0 if there is
// none. Choosing the domain first costs one hash per domain; choosing among all VMs
// would cost one hash per VM of the fleet.
func (o *Owners) fallbackDomain(target message.TargetID) message.DomainID {
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

// applyChanges applies the changes since the entry was computed. It returns false if
// the entry must be recomputed.
func (h *history) applyChanges(entry *cachedOwner, target message.TargetID) bool {
	pending := h.count - entry.version
	if pending > len(h.changes) {
		return false
	}
	for _, c := range h.changes[len(h.changes)-pending:] {
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

// OwnerExcluding returns the owner of a target among the live VMs without excluded.
// If excluded is the owner, the result is its standby; if excluded has just joined,
// the result is the presumable previous owner. It returns false if excluded is the only
// live VM of the target's own domain, or no other VM is live. It ignores EmptyDomainWait
// and uses no cached owners.
func (o *Owners) OwnerExcluding(target message.TargetID, domain message.DomainID, excluded message.VMID) (message.VMID, bool) {
	vms := o.byDomain[domain]
	if len(vms) == 0 {
		vms = o.byDomain[o.fallbackDomain(target)]
	}
	if len(vms) == 1 && vms[0] == excluded && !o.DomainIsLive(domain) {
		vms = o.all
	}
	vm, _ := o.highestRanked(target, vms, excluded)
	return vm, vm != 0
}

// HasOtherCandidate reports whether a live VM other than excluded can own targets of
// a failure domain. Unlike OwnerExcluding it computes no hash, so it may be called on
// every tick.
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

// Before reports whether VM a ranks before VM b in the rendezvous order of the target.
func Before(target message.TargetID, a, b message.VMID) bool {
	return score(target, a) > score(target, b)
}

// Forget removes the cached owner of a target that was removed from the table.
func (o *Owners) Forget(target message.TargetID) {
	o.cache.remove(target)
}

// DomainIsLive reports whether a failure domain has a live VM.
func (o *Owners) DomainIsLive(domain message.DomainID) bool {
	return len(o.byDomain[domain]) > 0
}

// Version changes whenever the targets that a VM of the failure domain owns may
// change: when the domain's live set changes, or any live set while a domain is empty
// that had live VMs. The end of EmptyDomainWait does not change it.
func (o *Owners) Version(domain message.DomainID) int {
	if len(o.emptySince) > 0 {
		return o.version
	}
	if h := o.history[domain]; h != nil {
		return h.lastVersion
	}
	return 0
}

// HashCount returns the number of rendezvous hashes computed since the start to find
// owners and fallback domains, without those that update cached owners for VMs that
// joined. Looking up a cached owner adds none, or one for each live domain if the
// target's own domain is empty.
func (o *Owners) HashCount() uint64 {
	return o.hashes
}

// highestRanked returns the VM with the highest score for the target, without excluded.
func (o *Owners) highestRanked(target message.TargetID, vms []message.VMID, excluded message.VMID) (message.VMID, float64) {
	var best message.VMID
	bestScore := 0.0
	o.hashes += uint64(len(vms))
	for _, vm := range vms {
		if vm == excluded {
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
