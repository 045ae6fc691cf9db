package admission

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// KindConfig is the configuration of one kind of work from the operators' table.
type KindConfig struct {
	Urgency table.Urgency
	Share   uint32 // relative; 0 counts as 1, so that no kind starves
}

// DefaultQueueCapacity is the maximum number of waiting items if Config sets none.
const DefaultQueueCapacity = 256

// Config configures a Queue.
type Config struct {
	Limit         int          // largest number of requests in progress at the target
	Kinds         []KindConfig // indexed by message.KindID
	QueueCapacity int          // maximum number of waiting items of all kinds; 0 or less: DefaultQueueCapacity
	Seed          uint64       // seed of the hash that maps callers to buckets
}

// Item is a request for a slot.
type Item struct {
	Key      message.RequestKey
	Attempt  uint32
	Kind     message.KindID
	Caller   uint64        // hash of the caller's address
	Deadline time.Duration // time since the start of the VM
}

// Outcome is the decision on an item.
type Outcome uint8

// The outcomes.
const (
	// Dispatch: the item has a slot and must be sent to the target.
	Dispatch Outcome = iota + 1
	// Queued: the item waits.
	Queued
	// Refused: the item is not in the queue and holds no slot.
	Refused
)

// String returns the outcome as it appears in logs and metrics.
func (o Outcome) String() string {
	switch o {
	case Dispatch:
		return "dispatch"
	case Queued:
		return "queued"
	case Refused:
		return "refused"
	default:
		return "unknown"
	}
}

// Verdict is the result of Offer or Next for one item.
type Verdict struct {
	Outcome    Outcome
	Cause      message.Cause // why the item or the victim is refused
	RetryAfter time.Duration // for the refused item or the victim; 0 for an unknown kind
	Victim     Item          // evicted waiting item, which must be refused
	HasVictim  bool
}
