package admission

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// KindConfig is what the operators' table says about one kind of work.
type KindConfig struct {
	Urgency table.Urgency
	Share   uint32 // relative; 0 counts as 1, so that no kind starves
}

// DefaultQueueCapacity is the number of waiting items if Config names none.
const DefaultQueueCapacity = 256

// Config sets up a Queue.
type Config struct {
	Limit         int          // largest number of requests in progress at the target
	Kinds         []KindConfig // indexed by message.KindID
	QueueCapacity int          // waiting items of all kinds; 0 or less: DefaultQueueCapacity
	Seed          uint64       // of the hash from callers to buckets
}

// Item is one request that asks for a slot.
type Item struct {
	Key      message.RequestKey
	Attempt  uint32
	Kind     message.KindID
	Caller   uint64        // hash of the caller's address
	Deadline time.Duration // absolute, on the VM's clock
}

// Outcome is what happens to an item.
type Outcome uint8

// The outcomes.
const (
	// Dispatch: the item holds a slot now and is to be sent to the target.
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

// Verdict is the decision on one item.
type Verdict struct {
	Outcome    Outcome
	Cause      message.Cause // why the item or the victim is refused
	RetryAfter time.Duration // for the refused item or the victim
	Victim     Item          // a waiting item that gave way and must be refused
	HasVictim  bool
}
