package day

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
)

// deadFlowTally records how long callers wait on flows whose target has died or is cut off
// from all VMs: from the request, or from the death if that is later, to the reset of the
// flow or the end of the request.
type deadFlowTally struct {
	waits    []time.Duration
	timedOut int // requests that ended by their timeout
}

// DeadFlowReport is the outcome of the requests in progress on flows of dead targets. It
// leaves out requests whose flow was reset before them, and non-idempotent ones: their flows
// are not reset while a target is only silent.
type DeadFlowReport struct {
	Requests  int     `json:"requests"`
	TimedOut  int     `json:"timed_out"` // not ended by a reset
	MeanWait  float64 `json:"mean_wait"` // seconds until the reset or the timeout
	P95Wait   float64 `json:"p95_wait"`
	WorstWait float64 `json:"worst_wait"`
}

// targetDied marks the open flows of a target that has died or is cut off.
func (o *oracle) targetDied(t *target) {
	for k := range t.conns {
		if f := o.fleet.callers.flows[k]; f != nil && f.target == t {
			f.targetDead, f.targetDiedAt = true, o.now()
		}
	}
}

// targetReachable ends the marks of targetDied when a target is no longer cut off.
func (o *oracle) targetReachable(t *target) {
	for k := range t.conns {
		if f := o.fleet.callers.flows[k]; f != nil && f.target == t {
			f.targetDead = false
		}
	}
}

// deadFlowEnded records the wait on a flow, if its target is dead and it has a request.
func (o *oracle) deadFlowEnded(f *flowState, timedOut bool) {
	if !f.targetDead || f.request == nil || f.request.done && !timedOut || f.kind.catalogKind() == catalog.NonIdempotent {
		return
	}
	o.deadFlows.waits = append(o.deadFlows.waits, o.now()-max(f.targetDiedAt, f.requestAt))
	if timedOut {
		o.deadFlows.timedOut++
	}
}

func (d *deadFlowTally) report() DeadFlowReport {
	r := DeadFlowReport{Requests: len(d.waits), TimedOut: d.timedOut}
	if r.Requests == 0 {
		return r
	}
	sorted := slices.Sorted(slices.Values(d.waits))
	sum := time.Duration(0)
	for _, wait := range sorted {
		sum += wait
	}
	r.MeanWait = sum.Seconds() / float64(r.Requests)
	r.P95Wait = sorted[(r.Requests-1)*95/100].Seconds()
	r.WorstWait = sorted[r.Requests-1].Seconds()
	return r
}
