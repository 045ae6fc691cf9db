package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
	"github.com/gypsumspan/gypsumspan/standin/target"
)

const (
	// maxLeaveTime is the time after which a leaving target must receive no more requests.
	maxLeaveTime = 3 * time.Second
	// settleTime is the time without faults after which every VM must have a table change.
	settleTime = 6 * time.Second
	// maxFlightTime is the longest time that a datagram to a target is in flight.
	maxFlightTime = 200 * time.Millisecond
)

// Oracle checks the promises of the system from what callers observed and what targets
// executed. It does not depend on how VMs decide.
type Oracle struct {
	fleet      *Fleet
	results    []Result
	notRun     map[uint64]bool // payload digests of calls that ended as "not run"
	idempotent map[uint64]bool // payload digests of calls that may run more than once
	leaving    map[message.TargetID]leavingRow
	revisions  map[string]uint64 // last table revision observed, by VM name and incarnation
	violations []string
}

func newOracle(f *Fleet) *Oracle {
	return &Oracle{
		fleet:      f,
		notRun:     make(map[uint64]bool),
		idempotent: make(map[uint64]bool),
		leaving:    make(map[message.TargetID]leavingRow),
		revisions:  make(map[string]uint64),
	}
}

func (o *Oracle) addViolation(format string, args ...any) {
	text := fmt.Sprintf("at %v: %s", o.fleet.Now(), fmt.Sprintf(format, args...))
	o.violations = append(o.violations, text)
}

// leavingRow is a table row in state leaving.
type leavingRow struct {
	since    time.Duration
	revision uint64
}

// checkDispatch checks a message that arrived at a target: a request must be meant for this
// target, and must not come too long after its row was set to leaving.
func (o *Oracle) checkDispatch(t *Target, m message.Message) {
	d, ok := m.Body.(*message.Dispatch)
	if !ok {
		return
	}
	if d.Target != t.id || d.Service != t.service {
		o.addViolation("target %016x received a request for another target or service", uint64(t.id))
	}
	row, leaving := o.leaving[t.id]
	elapsed := o.fleet.Now() - row.since
	if leaving && elapsed > maxLeaveTime && o.mustHaveRow(m.From.VM, row) {
		o.addViolation("target %016x received a request %v after its row was set to leaving", uint64(t.id), elapsed)
	}
}

// mustHaveRow reports whether a VM has had a row for longer than a datagram is in flight, or
// has had settleTime without faults to receive it. A VM that is partitioned from the store
// and from all VMs that have the row can't receive it.
func (o *Oracle) mustHaveRow(vm message.VMID, row leavingRow) bool {
	now := o.fleet.Now()
	for _, n := range o.fleet.vms {
		if n.member.ID == vm && n.machine.TableVersion() >= row.revision {
			return now-n.machine.TableChangedAt() > maxFlightTime
		}
	}
	return now-row.since > settleTime && o.fleet.sinceLastDisturbance() > settleTime
}

// recordTable records which targets of a changed service are leaving.
func (o *Oracle) recordTable(s *table.Service) {
	for i := range s.Targets {
		row := &s.Targets[i]
		if row.State != table.Leaving {
			delete(o.leaving, row.ID)
			continue
		}
		if _, ok := o.leaving[row.ID]; !ok {
			o.leaving[row.ID] = leavingRow{since: o.fleet.Now(), revision: o.fleet.Revision()}
		}
	}
}

// recordStart records a call before any of its datagrams is sent.
func (o *Oracle) recordStart(c Call) {
	o.idempotent[xxhash.Sum64(c.Payload)] = c.Idempotent
}

// recordResult records and checks the result of a call.
func (o *Oracle) recordResult(r Result) {
	o.results = append(o.results, r)
	digest := xxhash.Sum64(r.Call.Payload)
	if r.Err == nil && !target.IsAnswerTo(r.Call.Payload, r.Result.Payload) {
		o.addViolation("request %v/%d received the answer of another request", r.Key.Flow, r.Key.ID)
	}
	if r.NotRun() {
		o.notRun[digest] = true
	}
}

// checkTableVersions checks that no VM's table revision decreases.
func (o *Oracle) checkTableVersions() {
	for _, name := range o.fleet.vmNames {
		n := o.fleet.vms[name]
		id := fmt.Sprintf("%s/%d", name, n.member.Incarnation)
		revision := n.machine.TableVersion()
		if revision < o.revisions[id] {
			o.addViolation("table revision of VM %s decreased from %d to %d", name, o.revisions[id], revision)
		}
		o.revisions[id] = revision
	}
}

// Violations returns a line for each broken promise, sorted. It must be called after all
// calls and executions have ended.
func (o *Oracle) Violations() []string {
	all := append([]string(nil), o.violations...)
	executed := make(map[uint64][]string)
	for id, t := range o.fleet.targets {
		for _, e := range t.machine.Executions() {
			for range e.Count {
				run := fmt.Sprintf("target %016x flow %v request %d attempt %d", uint64(id), e.Key.Flow, e.Key.ID, e.Attempt)
				executed[e.Digest] = append(executed[e.Digest], run)
			}
		}
	}
	for digest, runs := range executed {
		if len(runs) > 1 && !o.idempotent[digest] {
			all = append(all, fmt.Sprintf("a non-idempotent request ran %d times: %v", len(runs), runs))
		}
		if o.notRun[digest] {
			all = append(all, fmt.Sprintf("a request whose call ended as \"not run\" ran: %v", runs))
		}
	}
	slices.Sort(all)
	return all
}

// Results returns the results of all calls in the order in which they ended.
func (o *Oracle) Results() []Result {
	return o.results
}
