// Package coldstart limits the new flows of cold targets, those that have started a short time
// ago, of services that state how many requests a cold target bears.
//
// A permit for one start of one target is a key in the store. A VM that has written it, the
// holder, splits the limit of the target into tokens and grants them to processes of its
// failure domain. A process with n tokens sends the target at most n new flows in any second.
// Tokens are never taken back, and each is granted to one process only, so that the sum over
// all VMs keeps the limit whatever they know of each other.
//
// Holder decides which permits to claim and who gets the tokens, Allowance whether a process
// may send a flow.
package coldstart

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
)

// Start identifies one start of one target as grants do.
type Start struct {
	Cookie uint32 // of the target
	Born   int64  // start of the target in Unix milliseconds
}

// StartOf returns the present start of a target.
func StartOf(t *catalog.Target) Start { return Start{Cookie: uint32(t.Cookie), Born: t.Born} }

// Limit is how far the new flows of a cold target may exceed the requests that it bears.
type Limit struct {
	Overage float64 // factor
	Slack   int     // further flows in any second
}

// tokens returns the number of flows that a cold target may get in any second; 0 if its service
// has no limit.
func (l Limit) tokens(c catalog.ColdStart) int {
	if c.RequestsPerSecond <= 0 {
		return 0
	}
	const maxTokens = 1 << 20 // far above what any target bears, and small enough for every use
	// The margin keeps products that are whole numbers, such as 0.7 x 10, from being rounded down.
	const margin = 1e-9
	return int(math.Min(maxTokens, math.Floor(c.RequestsPerSecond*l.Overage+float64(l.Slack)+margin)))
}

// permit is the value of a permit's key.
type permit struct {
	born   int64 // start of the target that it is for
	boot   uint64
	domain string // of the holder, which is that of the target
	vm     string
}

// encode returns the value of the key: born, boot in hexadecimal digits and DOMAIN/VM, separated
// by spaces.
func (p permit) encode() []byte {
	return []byte(strconv.FormatInt(p.born, 10) + " " + strconv.FormatUint(p.boot, 16) + " " + p.domain + "/" + p.vm)
}

// decodePermit decodes the value of a permit. ok is false if it is malformed.
func decodePermit(value []byte) (p permit, ok bool) {
	fields := strings.SplitN(string(value), " ", 3)
	if len(fields) != 3 {
		return permit{}, false
	}
	var errBorn, errBoot error
	p.born, errBorn = strconv.ParseInt(fields[0], 10, 64)
	p.boot, errBoot = strconv.ParseUint(fields[1], 16, 64)
	p.domain, p.vm, ok = strings.Cut(fields[2], "/")
	return p, ok && errBorn == nil && errBoot == nil
}

const (
	// spacing is the period to which the limit of a cold target applies.
	spacing = time.Second
	// usageRetention is how long the use of tokens is remembered after they were last granted.
	// Holders repeat grants until the target is warm.
	usageRetention = time.Minute
)
