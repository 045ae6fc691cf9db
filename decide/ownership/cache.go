package ownership

import "github.com/gypsumspan/gypsumspan/decide/message"

// generationSize is the number of targets in one generation of the cache, about
// 74 bytes each.
const generationSize = 15_000

// owner is what the cache keeps of one target.
type owner struct {
	vm      message.VMID
	domain  message.DomainID // an operator may move a target to another one
	score   float64
	version int // count of the history of the domain
}

// ownerCache holds the owners of all targets that the VMs of the home domain own,
// which a VM looks up on every search, and of the other targets that were looked
// up last: all of the recent generation and those of the one before. What is used
// again moves to the recent one.
type ownerCache struct {
	home   message.DomainID
	near   map[message.TargetID]owner
	recent map[message.TargetID]owner
	older  map[message.TargetID]owner
}

func newOwnerCache(home message.DomainID) ownerCache {
	return ownerCache{
		home:   home,
		near:   make(map[message.TargetID]owner),
		recent: make(map[message.TargetID]owner),
		older:  make(map[message.TargetID]owner),
	}
}

// get returns the owner of a target in a failure domain.
func (c *ownerCache) get(target message.TargetID, domain message.DomainID) (owner, bool) {
	if domain == c.home {
		o, ok := c.near[target]
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

// put stores an entry. A full generation becomes the older one, in place of the
// one before.
func (c *ownerCache) put(target message.TargetID, o owner) {
	if o.domain == c.home {
		c.near[target] = o
		return
	}
	if _, known := c.recent[target]; !known && len(c.recent) >= generationSize {
		c.recent, c.older = c.older, c.recent
		clear(c.recent)
	}
	c.recent[target] = o
}

func (c *ownerCache) remove(target message.TargetID) {
	delete(c.near, target)
	delete(c.recent, target)
	delete(c.older, target)
}

func (c *ownerCache) len() int {
	return len(c.near) + len(c.recent) + len(c.older)
}
