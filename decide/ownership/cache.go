package ownership

import "github.com/gypsumspan/gypsumspan/decide/message"

// generationSize is the maximum number of targets in one generation of the cache. An
// entry takes about 74 bytes.
const generationSize = 15_000

// cachedOwner is the cache entry of one target.
type cachedOwner struct {
	vm      message.VMID
	domain  message.DomainID // domain of vm; an operator may move a target to another domain
	score   float64
	version int // history.count of the domain up to which the entry is current
}

// ownerCache holds the looked-up owners of all targets that VMs of the home domain own,
// which every search looks up again, and of recently used other targets. The latter form
// two generations: an entry of the older generation that is used again moves to the
// recent one.
type ownerCache struct {
	homeDomain message.DomainID
	homeOwners map[message.TargetID]cachedOwner
	recent     map[message.TargetID]cachedOwner
	older      map[message.TargetID]cachedOwner
}

func newOwnerCache(homeDomain message.DomainID) ownerCache {
	return ownerCache{
		homeDomain: homeDomain,
		homeOwners: make(map[message.TargetID]cachedOwner),
		recent:     make(map[message.TargetID]cachedOwner),
		older:      make(map[message.TargetID]cachedOwner),
	}
}

// get returns the cached owner of a target in a failure domain.
func (c *ownerCache) get(target message.TargetID, domain message.DomainID) (cachedOwner, bool) {
	if domain == c.homeDomain {
		o, ok := c.homeOwners[target]
		return o, ok
	}
	if o, ok := c.recent[target]; ok {
		return o, o.domain == domain
	}
	o, ok := c.older[target]
	if !ok || o.domain != domain {
		return o, false
	}
	delete(c.older, target)
	c.put(target, o)
	return o, true
}

// put stores an entry. A full recent generation replaces the older one.
func (c *ownerCache) put(target message.TargetID, o cachedOwner) {
	if o.domain == c.homeDomain {
		c.homeOwners[target] = o
		return
	}
	if _, known := c.recent[target]; !known && len(c.recent) >= generationSize {
		c.recent, c.older = c.older, c.recent
		clear(c.recent)
	}
	c.recent[target] = o
}

func (c *ownerCache) remove(target message.TargetID) {
	delete(c.homeOwners, target)
	delete(c.recent, target)
	delete(c.older, target)
}

func (c *ownerCache) len() int {
	return len(c.homeOwners) + len(c.recent) + len(c.older)
}
