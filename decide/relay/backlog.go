package relay

import "time"

const (
	// minLinkRate is the slowest link of a VM, 10 Mbit/s, in bytes per second.
	minLinkRate = 10e6 / 8
	// maxLinkDelay is the delay of packets by answers to pulls up to which a VM judges targets by
	// their silence. Callers retransmit after 200 ms.
	maxLinkDelay = 100 * time.Millisecond
	// delayRecovery is how long a VM does not judge targets after such a delay. It exceeds the
	// time in which callers send all retransmissions of a packet.
	delayRecovery = 2 * time.Second
)

// LinkBacklog estimates how long the answers to pulls delay the packets of callers at the VM's
// link. A relay whose domain pulls a large configuration sends some megabytes at once; packets
// wait behind them, and live targets look silent. The zero value has no backlog.
type LinkBacklog struct {
	clearAt       time.Duration // time at which the link has sent all answers
	delayingUntil time.Duration
}

// Add records an answer of the given size in bytes.
func (b *LinkBacklog) Add(now time.Duration, size int) {
	b.clearAt = max(b.clearAt, now) + time.Duration(float64(size)/minLinkRate*float64(time.Second))
	if b.clearAt-now > maxLinkDelay {
		b.delayingUntil = b.clearAt + delayRecovery
	}
}

// Delaying reports whether packets of callers are delayed, or were until a short time ago.
func (b *LinkBacklog) Delaying(now time.Duration) bool { return now < b.delayingUntil }
