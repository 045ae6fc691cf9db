package target

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// Defaults of Config.
const (
	DefaultSlots      = 3
	DefaultBacklog    = 3
	DefaultMedian     = 5 * time.Millisecond
	DefaultColdFactor = 3.0
)

// RequestProfile describes the requests of one kind.
type RequestProfile struct {
	Median     time.Duration // of the service time; zero: DefaultMedian
	Sigma      float64       // of the log-normal service time; 0: constant
	AnswerSize int           // bytes; 0: as long as the request and the digest
}

// Config describes a target. Zero fields take the defaults.
type Config struct {
	ID       message.TargetID
	Slots    int              // requests executed at once
	Backlog  int              // requests that wait for a slot; more are shed. -1: none
	Profiles []RequestProfile // by message.KindID; missing kinds take the defaults
	// ColdFor is the time after a start in which the target has ColdSlots slots
	// (0: one) and service times are ColdFactor times as long.
	ColdFor    time.Duration
	ColdSlots  int
	ColdFactor float64
	// RequireOpen sheds requests of unknown flows that lack the open marker, as
	// a server does that keeps state for each connection.
	RequireOpen bool
	// DropDuplicates drops a datagram that repeats an earlier one of the same sender.
	// Set it where the network duplicates datagrams; otherwise a copy counts as
	// a second execution, so that the oracle sees owners that dispatch twice.
	DropDuplicates bool
}

func (c Config) withDefaults() Config {
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.Backlog == 0 {
		c.Backlog = DefaultBacklog
	}
	c.Backlog = max(c.Backlog, 0)
	if c.ColdSlots == 0 {
		c.ColdSlots = 1
	}
	if c.ColdFactor == 0 {
		c.ColdFactor = DefaultColdFactor
	}
	return c
}

// work returns the description of a kind.
func (c *Config) work(kind message.KindID) RequestProfile {
	w := RequestProfile{Median: DefaultMedian}
	if int(kind) < len(c.Profiles) {
		w = c.Profiles[kind]
	}
	if w.Median == 0 {
		w.Median = DefaultMedian
	}
	return w
}

// serviceTime draws a log-normal service time.
func (w RequestProfile) serviceTime(rng *rand.Rand, factor float64) time.Duration {
	scale := factor * math.Exp(w.Sigma*rng.NormFloat64())
	return time.Duration(float64(w.Median) * scale)
}

// digestSize is the length of the digest at the start of an answer, in bytes.
const digestSize = 8

// AnswerTo returns the answer of size bytes to a request payload: the payload's
// xxHash64 and then the payload again and again. A size too small for the
// digest means the length of the digest and one payload.
func AnswerTo(payload []byte, size int) []byte {
	if size < digestSize {
		size = digestSize + len(payload)
	}
	answer := make([]byte, digestSize, size)
	binary.BigEndian.PutUint64(answer, xxhash.Sum64(payload))
	for len(answer) < size && len(payload) > 0 {
		rest := min(size-len(answer), len(payload))
		answer = append(answer, payload[:rest]...)
	}
	return answer
}

// IsAnswerTo reports whether answer is a whole answer to the request payload,
// of any length that AnswerTo makes.
func IsAnswerTo(payload, answer []byte) bool {
	if len(answer) < digestSize {
		return false
	}
	return string(AnswerTo(payload, len(answer))) == string(answer)
}

// EchoedPayload returns the part of an answer of AnswerTo after the digest.
func EchoedPayload(answer []byte) []byte {
	return answer[min(digestSize, len(answer)):]
}
