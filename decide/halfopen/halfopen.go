// Package halfopen decides how VMs find out that the SYNs of a flow have reached two targets.
//
// The target at which the flow does not open holds it half-open and repeats its answer for seconds.
// The caller returns the cookie that it received last, so that a VM without a record of the flow
// believes that target. The VM that has sent it the SYN knows that the flow has not opened there (an
// unopened flow); the VM at which the flow has opened may know that another target may hold it (a
// contested flow). Neither knows the other, in whichever failure domain it is. Both tell the keepers
// of the flow, VMs chosen by its hash, and a keeper tells each of the other.
package halfopen

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/flow"
)

const (
	// RepeatTime is the time from a SYN to the last repetition of its target's answer: 8 times, after
	// 200 ms and then doubled times up to 1.6 s.
	RepeatTime = 9400 * time.Millisecond
	// MaxCorrectionAge is the age of a SYN up to which its target gets it again with another cookie.
	// Later the target may have given the flow up, and would take the SYN for a new flow.
	MaxCorrectionAge = 8 * time.Second
)

// Unopened is a flow whose SYN a VM has sent to a target, and of which it has received nothing since:
// routers may have moved the flow, or its caller has given up.
type Unopened struct {
	Flow         flow.Key
	TargetCookie uint32        // identifies the target
	TargetBorn   int64         // start of the target's process that got the SYN, in Unix milliseconds; 0: not known
	SYNSeq       uint32        // sequence number of the SYN, which tells flows of one four-tuple apart
	Copy         bool          // the VM got a copy of the SYN first, so that another VM may have sent the one before
	Age          time.Duration // since the SYN was sent
}

// Opened is a flow that has opened at a target, while another one may hold it half-open.
type Opened struct {
	Flow         flow.Key
	TargetCookie uint32        // identifies the target at which it has opened
	SYNSeq       uint32        // as that of Unopened
	Age          time.Duration // since it opened
}
