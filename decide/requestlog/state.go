package requestlog

import "time"

// State is the state of one request in the log. The values are sent in
// message.LogRecord.State, so they must not change.
type State uint8

// The states of a request.
const (
	// Queued: the current attempt waits and was not sent to the target.
	Queued State = iota + 1
	// Dispatched: the request was sent to the target, or may have been.
	Dispatched
	// Done: the target's whole answer has arrived.
	Done
	// Refused: the current attempt did not run and never will.
	Refused
)

// String returns the state as it appears in logs and metrics.
func (s State) String() string {
	switch s {
	case Queued:
		return "queued"
	case Dispatched:
		return "dispatched"
	case Done:
		return "done"
	case Refused:
		return "refused"
	default:
		return "unknown"
	}
}

// mayHaveRun reports whether a target may have executed a request in state s. An unknown
// state counts as executed.
func (s State) mayHaveRun() bool {
	return s != Queued && s != Refused
}

// Verdict is the decision on one received datagram of a request.
type Verdict uint8

// The verdicts of Begin.
const (
	// Fresh: a new attempt was added in state Queued.
	Fresh Verdict = iota + 1
	// Pending: this or an earlier attempt is queued, or this owner has dispatched it and
	// waits for the answer. The duplicate must not run.
	Pending
	// Replay: the answer is complete; Answer returns it.
	Replay
	// RefusedBefore: this attempt was refused as "not run"; Cause returns why.
	RefusedBefore
	// OldAttempt: a higher attempt exists. The datagram is ignored.
	OldAttempt
	// Evicted: the request may have run and its complete answer is not available here.
	// Restart allows a further attempt of an idempotent request.
	Evicted
)

// String returns the verdict as it appears in logs and metrics.
func (v Verdict) String() string {
	switch v {
	case Fresh:
		return "fresh"
	case Pending:
		return "pending"
	case Replay:
		return "replay"
	case RefusedBefore:
		return "refused_before"
	case OldAttempt:
		return "old_attempt"
	case Evicted:
		return "evicted"
	default:
		return "unknown"
	}
}

// Defaults of Config.
const (
	// DefaultRetention is how long an entry outlives its request's deadline.
	// Duplicates that arrive later are refused with message.MayHaveRun.
	DefaultRetention = 10 * time.Second
	// DefaultMaxAnswerBytes bounds the recorded answers of one target, in bytes.
	DefaultMaxAnswerBytes = 4 << 20
)

// Config sets the bounds of a Log. Values of 0 or less select the defaults.
type Config struct {
	Retention      time.Duration // time after the deadline of a request
	MaxAnswerBytes int           // payloads and a fixed overhead for each part
}

func (c Config) withDefaults() Config {
	if c.Retention <= 0 {
		c.Retention = DefaultRetention
	}
	if c.MaxAnswerBytes <= 0 {
		c.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	return c
}
