package membership

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

// relayCount is the number of relays of a failure domain, which read the operators' table
// and the VM list from the platform. The one relay of package decide/relay, which watches
// the catalog, is chosen separately.
const relayCount = 2

// relaySalt makes the choice of relays independent of other rendezvous choices.
const relaySalt = 0x72656c6179

// memberCache is a list of members, sorted by id, that is valid for one version.
type memberCache struct {
	version uint64
	list    []message.Member
}

// patch replaces the record of a member if the cache is valid for version.
func (c *memberCache) patch(version uint64, m message.Member) {
	if c.version != version {
		return
	}
	i, found := slices.BinarySearchFunc(c.list, m.ID, compareMemberID)
	if found {
		c.list[i] = m
	}
}

func compareMemberID(m message.Member, id message.VMID) int {
	switch {
	case m.ID < id:
		return -1
	case m.ID > id:
		return 1
	default:
		return 0
	}
}

// fill returns the list for version. If the cache is out of date, it is rebuilt in
// place from the records of order for which accept returns true.
func (c *memberCache) fill(version uint64, order []*record, accept func(*record) bool) []message.Member {
	if c.version == version {
		return c.list
	}
	c.version = version
	c.list = c.list[:0]
	for _, r := range order {
		if accept(r) {
			c.list = append(c.list, r.member)
		}
	}
	return c.list
}

// domain is the view's state of one failure domain.
type domain struct {
	domainCheck
	digestComparison
	liveCount     int
	emptySince    time.Duration
	members       memberCache
	relaysVersion uint64 // View.version for which relays is valid
	relays        []message.VMID
	relayList     []message.Member
}

// domain returns the state of a failure domain and creates it if necessary.
func (v *View) domain(id message.DomainID) *domain {
	d, ok := v.domains[id]
	if !ok {
		d = &domain{emptySince: v.startedAt}
		v.domains[id] = d
		i, _ := slices.BinarySearch(v.domainOrder, id)
		v.domainOrder = slices.Insert(v.domainOrder, i, id)
	}
	return d
}

// Version returns a number that changes whenever the set of live members changes, or
// the domain or an address of one of them.
func (v *View) Version() uint64 {
	return v.version
}

// Self returns the VM's own record.
func (v *View) Self() message.Member {
	return v.self.member
}

// Live returns the members that are alive or suspect, this VM included, sorted by
// id. The list is shared and valid until Version changes. Incarnations and states in
// it are updated in place.
func (v *View) Live() []message.Member {
	return v.liveCache.fill(v.version, v.order, func(r *record) bool {
		return isLive(r.member.State)
	})
}

// Reachable returns the members that are alive, suspect or leaving, this VM
// included, sorted by id. The list is shared and valid until the next call of a
// method that takes the current time.
func (v *View) Reachable() []message.Member {
	if v.leavingCount == 0 {
		return v.Live()
	}
	return v.reachableCache.fill(v.recordsVersion, v.order, func(r *record) bool {
		return isReachable(r.member.State)
	})
}

// InDomain returns the live members of a failure domain, sorted by id. The list is
// shared and valid like that of Live.
func (v *View) InDomain(id message.DomainID) []message.Member {
	d, ok := v.domains[id]
	if !ok {
		return nil
	}
	return d.members.fill(v.version, v.order, func(r *record) bool {
		return r.member.Domain == id && isLive(r.member.State)
	})
}

// Member returns the record of a VM in any state. It reports false for VMs that are
// unknown or only in the platform's VM list.
func (v *View) Member(id message.VMID) (message.Member, bool) {
	r, ok := v.records[id]
	if !ok || r.member.State == 0 {
		return message.Member{}, false
	}
	return r.member, true
}

// DomainEmptyFor reports whether a failure domain has no live VM, and for how long.
// The time restarts when this VM was paused. For a domain that never had a live VM it
// counts from the start of the view.
func (v *View) DomainEmptyFor(id message.DomainID, now time.Duration) (time.Duration, bool) {
	d := v.domain(id)
	if d.liveCount > 0 {
		return 0, false
	}
	return now - d.emptySince, true
}

// Relays returns the relays of a failure domain: its two highest live members by
// rendezvous score, or fewer if it has fewer. The list is valid until the next call
// for the same domain.
func (v *View) Relays(id message.DomainID) []message.Member {
	d := v.domain(id)
	d.relayList = d.relayList[:0]
	for _, relay := range v.relayIDs(d, id) {
		d.relayList = append(d.relayList, v.records[relay].member)
	}
	return d.relayList
}

// IsRelay reports whether this VM is a relay of its failure domain.
func (v *View) IsRelay() bool {
	id := v.self.member.Domain
	return slices.Contains(v.relayIDs(v.domain(id), id), v.self.member.ID)
}

// relayIDs returns the ids of a domain's relays, computed once per version.
func (v *View) relayIDs(d *domain, id message.DomainID) []message.VMID {
	if d.relaysVersion == v.version {
		return d.relays
	}
	d.relaysVersion = v.version
	d.relays = d.relays[:0]
	members := v.InDomain(id)
	var top [relayCount]rendezvous.Ranked
	key := rendezvous.Mix(relaySalt, uint64(id))
	best := rendezvous.Top(top[:], key, len(members), func(i int) (uint64, uint32) {
		return uint64(members[i].ID), 1
	})
	for _, b := range best {
		d.relays = append(d.relays, members[b.Index].ID)
	}
	return d.relays
}
