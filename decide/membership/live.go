package membership

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

// relayCount is the number of relays of a failure domain.
const relayCount = 2

// relaySalt keeps the choice of relays apart from other rendezvous choices.
const relaySalt = 0x72656c6179

// cache is a list of members by id that is valid for one version.
type cache struct {
	version uint64
	list    []message.Member
}

// patch replaces the cached record of a member if the cache is valid.
func (c *cache) patch(version uint64, m message.Member) {
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

// fill rebuilds the cache from the records that keep accepts, in the same memory.
func (c *cache) fill(version uint64, order []*record, keep func(*record) bool) []message.Member {
	if c.version == version {
		return c.list
	}
	c.version = version
	c.list = c.list[:0]
	for _, r := range order {
		if keep(r) {
			c.list = append(c.list, r.member)
		}
	}
	return c.list
}

// domain is what the view keeps of one failure domain.
type domain struct {
	silence
	comparison
	live       int
	emptySince time.Duration
	members    cache
	relayAt    uint64 // version for which relays were chosen
	relays     []message.VMID
	relayList  []message.Member
}

func (v *View) domain(id message.DomainID) *domain {
	d, ok := v.domains[id]
	if !ok {
		d = &domain{emptySince: v.started}
		v.domains[id] = d
		i, _ := slices.BinarySearch(v.domainOrder, id)
		v.domainOrder = slices.Insert(v.domainOrder, i, id)
	}
	return d
}

// Version changes whenever the set of live members changes, or the domain or an
// address of one of them.
func (v *View) Version() uint64 {
	return v.version
}

// Self returns the VM's own record.
func (v *View) Self() message.Member {
	return v.self.member
}

// Live returns the members that are alive or suspect, this VM included, by id.
// The list is shared; it is valid until Version changes, apart from incarnations
// and states, which are kept up to date in it.
func (v *View) Live() []message.Member {
	return v.live.fill(v.version, v.order, func(r *record) bool {
		return isLive(r.member.State)
	})
}

// Reachable returns the members that are alive, suspect or leaving, this VM
// included, by id. The list is shared and valid until the next call of a method
// that receives now.
func (v *View) Reachable() []message.Member {
	if v.leaving == 0 {
		return v.Live()
	}
	return v.reach.fill(v.changes, v.order, func(r *record) bool {
		return isReachable(r.member.State)
	})
}

// InDomain returns the live members of a failure domain, by id. The list is
// shared like that of Live.
func (v *View) InDomain(id message.DomainID) []message.Member {
	d, ok := v.domains[id]
	if !ok {
		return nil
	}
	return d.members.fill(v.version, v.order, func(r *record) bool {
		return r.member.Domain == id && isLive(r.member.State)
	})
}

// Member returns the record of a VM in any state that gossip knows. It reports
// false for VMs that are unknown or only listed by the platform.
func (v *View) Member(id message.VMID) (message.Member, bool) {
	r, ok := v.records[id]
	if !ok || r.member.State == 0 {
		return message.Member{}, false
	}
	return r.member, true
}

// DomainEmptyFor reports whether no VM of a failure domain is live, and for
// how long. The time restarts when this VM was paused; for a domain of which no
// VM was ever live it counts from the start of the view.
func (v *View) DomainEmptyFor(id message.DomainID, now time.Duration) (time.Duration, bool) {
	d := v.domain(id)
	if d.live > 0 {
		return 0, false
	}
	return now - d.emptySince, true
}

// Relays returns the relays of a failure domain: its two best live members by
// rendezvous hash, or fewer if it has fewer. The list is valid until the next call.
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

// relayIDs returns the choice of relays, made once per version.
func (v *View) relayIDs(d *domain, id message.DomainID) []message.VMID {
	if d.relayAt == v.version {
		return d.relays
	}
	d.relayAt = v.version
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
