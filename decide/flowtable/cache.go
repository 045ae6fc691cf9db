package flowtable

import "github.com/gypsumspan/gypsumspan/decide/message"

// Cache remembers the targets of flows at an ingress VM. It holds at most twice
// its size and forgets the entries that were not used for the longest time, in
// whole generations.
type Cache struct {
	size     int
	current  map[message.FlowID]message.TargetID
	previous map[message.FlowID]message.TargetID
}

// NewCache returns an empty cache.
func NewCache(size int) *Cache {
	return &Cache{size: size, current: make(map[message.FlowID]message.TargetID)}
}

// Get returns the flow's target, or 0.
func (c *Cache) Get(flow message.FlowID) message.TargetID {
	if t, ok := c.current[flow]; ok {
		return t
	}
	t, ok := c.previous[flow]
	if !ok {
		return 0
	}
	c.Put(flow, t)
	return t
}

// Put remembers the flow's target.
func (c *Cache) Put(flow message.FlowID, target message.TargetID) {
	if len(c.current) >= c.size {
		c.previous = c.current
		c.current = make(map[message.FlowID]message.TargetID)
	}
	c.current[flow] = target
}

// Delete forgets the flow.
func (c *Cache) Delete(flow message.FlowID) {
	delete(c.current, flow)
	delete(c.previous, flow)
}

// Len returns the number of entries, counting one that is in both generations twice.
func (c *Cache) Len() int {
	return len(c.current) + len(c.previous)
}
