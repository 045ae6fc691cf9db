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

// RequestProfile describes how requests of one kind are executed.
type RequestProfile struct {
	Median     time.Duration // of the service time; 0: DefaultMedian
	Sigma      float64       // of the logarithm of the service time (log-normal); 0: constant time
	AnswerSize int           // in bytes; 0: the size of the digest and the request payload
}

// Config describes a target. Zero fields mean the defaults.
type Config struct {
	ID       message.TargetID
	Slots    int              // largest number of requests executed concurrently
	Backlog  int              // largest number of queued requests, further ones are shed; -1: none
	Profiles []RequestProfile // by message.KindID; missing kinds use the defaults
	// ColdFor is the time after a start during which the target is cold: it has ColdSlots
	// slots (0: one) and its service times are multiplied by ColdFactor.
	ColdFor    time.Duration
	ColdSlots  int
	ColdFactor float64
	// RequireOpen makes the target shed requests of unknown flows without the open marker,
	// as a server with per-connection state does.
	RequireOpen bool
	// DropDuplicates makes the target drop a duplicate of an earlier datagram of the same
	// sender. Set it where the network duplicates datagrams. Without it a duplicate
	// counts as a second execution, so that the oracle detects an owner that dispatches
	// an attempt twice.
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

// profile returns the profile of a kind with its defaults.
func (c *Config) profile(kind message.KindID) RequestProfile {
	p := RequestProfile{Median: DefaultMedian}
	if int(kind) < len(c.Profiles) {
		p = c.Profiles[kind]
	}
	if p.Median == 0 {
		p.Median = DefaultMedian
	}
	return p
}

// serviceTime returns a random service time from the log-normal distribution, multiplied by
// factor.
func (p RequestProfile) serviceTime(rng *rand.Rand, factor float64) time.Duration {
	scale := factor * math.Exp(p.Sigma*rng.NormFloat64())
	return time.Duration(float64(p.Median) * scale)
}

// digestSize is the size of the digest at the start of an answer, in bytes.
const digestSize = 8

// AnswerTo returns the answer of size bytes to a request payload: the big-endian xxHash64 of
// the payload, then the payload repeated. If size is less than the size of the digest, the
// answer is the digest and one copy of the payload.
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

// IsAnswerTo reports whether answer is a complete answer to the request payload, of any size
// that AnswerTo can return.
func IsAnswerTo(payload, answer []byte) bool {
	if len(answer) < digestSize {
		return false
	}
	return string(AnswerTo(payload, len(answer))) == string(answer)
}

// EchoedPayload returns the part of an answer after the digest: the repeated payload.
func EchoedPayload(answer []byte) []byte {
	return answer[min(digestSize, len(answer)):]
}
