package membership

import (
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// Config holds the parameters of a View. Fields other than Self and Seeds have
// defaults that replace zero values.
type Config struct {
	// Self is the record of this VM. Its Incarnation must be higher than in the
	// VM's previous run. VMs have no disk, so it is set to the wall clock in
	// milliseconds at start. If gossip has a higher one, the VM raises its own
	// above that.
	Self message.Member
	// Seeds are the control addresses of VMs to join through while no other VM is
	// known.
	Seeds []netip.AddrPort
	// Interval is the time between two heartbeats to a neighbour. Default 500 ms.
	Interval time.Duration
	// SuspectAfter is the time without an answer after which a neighbour is
	// suspected. Default 1.5 s.
	SuspectAfter time.Duration
	// DeadAfter is the time without an answer after which a neighbour is declared
	// dead. Default 3 s.
	DeadAfter time.Duration
	// RefutationGrace is the minimum time for which a member is suspect before
	// gossip alone can declare it dead. It lets a member refute claims that are
	// outdated after a partition. Default 1 s.
	RefutationGrace time.Duration
	// PauseThreshold is the time between two ticks above which this VM counts as
	// having been paused. Default 1.5 s.
	PauseThreshold time.Duration
	// Neighbours is the number of neighbours in the VM's own failure domain; one
	// in each of two other domains is added. Default 4.
	Neighbours int
	// MaxUpdates is the maximum number of gossiped records in one heartbeat.
	// Default 32, about 2 kB.
	MaxUpdates int
	// GossipRate and GossipBurst are the rate, in bytes per second, and the size,
	// in bytes, of the token bucket for gossip beyond regular heartbeats. Over a
	// minute they allow 1.8 kB/s, which with 4.9 kB/s of other control traffic at
	// 15,000 VMs stays below 7 kB/s. The burst covers the loss of a rack of 40 VMs
	// in the own failure domain. Defaults 1,000 and 48,000.
	GossipRate  int
	GossipBurst int
	// CandidateInterval is the time between two probes of VMs that are dead or
	// only in the VM list. It is extended if these are few for a large fleet.
	// Default 5 s.
	CandidateInterval time.Duration
	// DeadRetention is the time for which dead members are kept, so that outdated
	// gossip can't revive them and a healed partition is detected. Gossip of one
	// change ends within seconds, or minutes when a domain is lost. Default 1 h.
	DeadRetention time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.Interval, 500*time.Millisecond)
	setDefault(&c.SuspectAfter, 1500*time.Millisecond)
	setDefault(&c.DeadAfter, 3*time.Second)
	setDefault(&c.RefutationGrace, time.Second)
	setDefault(&c.PauseThreshold, 1500*time.Millisecond)
	setDefault(&c.Neighbours, 4)
	setDefault(&c.MaxUpdates, 32)
	setDefault(&c.GossipRate, 1_000)
	setDefault(&c.GossipBurst, 48_000)
	setDefault(&c.CandidateInterval, 5*time.Second)
	setDefault(&c.DeadRetention, time.Hour)
	if c.Self.ID == 0 {
		c.Self.ID = message.VMIDOf(c.Self.Name)
	}
	c.Self.Incarnation = max(c.Self.Incarnation, 1)
	c.Self.State = message.MemberAlive
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
