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
	// leaveBound is the time after which a leaving target must get no new work.
	leaveBound = 3 * time.Second
	// settleTime is the time without faults after which a table change must have
	// reached every VM within leaveBound.
	settleTime = 6 * time.Second
	// flightTime is the longest time that a datagram is under way to a target.
	flightTime = 200 * time.Millisecond
)

// Oracle checks the promises of a run against what callers saw and what targets
// executed. It knows nothing of how the fleet decides.
type Oracle struct {
	fleet      *Fleet
	results    []Result
	notRun     map[uint64]bool // digests of payloads whose call ended as "not run"
	idempotent map[uint64]bool // digests of payloads that may run more than once
	leaving    map[message.TargetID]leavingRow
	revisions  map[string]uint64 // last table revision seen at a VM
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

func (o *Oracle) violate(format string, args ...any) {
	text := fmt.Sprintf("at %v: %s", o.fleet.Now(), fmt.Sprintf(format, args...))
	o.violations = append(o.violations, text)
}

// leavingRow is a row of the table that says leaving.
type leavingRow struct {
	since    time.Duration
	revision uint64
}

// reached checks a message that arrived at a target.
func (o *Oracle) reached(t *Target, m message.Message) {
	d, ok := m.Body.(*message.Dispatch)
	if !ok {
		return
	}
	if d.Target != t.id || d.Service != t.service {
		o.violate("target %016x got a request of another service", uint64(t.id))
	}
	row, leaving := o.leaving[t.id]
	late := o.fleet.Now() - row.since
	if leaving && late > leaveBound && o.mustKnow(m.From.VM, row) {
		o.violate("target %016x got work %v after its row said leaving", uint64(t.id), late)
	}
}

// mustKnow reports whether a VM knows a row, or had the time to learn it. A VM
// that is cut off from the store and from all VMs that know it can't learn it.
func (o *Oracle) mustKnow(vm message.VMID, row leavingRow) bool {
	now := o.fleet.Now()
	for _, n := range o.fleet.vms {
		if n.member.ID == vm && n.machine.TableVersion() >= row.revision {
			return now-n.machine.TableChangedAt() > flightTime
		}
	}
	return now-row.since > settleTime && o.fleet.undisturbed() > settleTime
}

// tableChanged notes which targets are leaving.
func (o *Oracle) tableChanged(s *table.Service) {
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

// started notes a call before any of its datagrams is sent.
func (o *Oracle) started(c Call) {
	o.idempotent[xxhash.Sum64(c.Payload)] = c.Idempotent
}

// ended checks the end of a call.
func (o *Oracle) ended(r Result) {
	o.results = append(o.results, r)
	digest := xxhash.Sum64(r.Call.Payload)
	if r.Err == nil && !target.IsAnswerTo(r.Call.Payload, r.Result.Payload) {
		o.violate("request %v/%d got an answer that is not its own", r.Key.Flow, r.Key.ID)
	}
	if r.NotRun() {
		o.notRun[digest] = true
	}
}

// observe checks what holds at every moment: no VM's table goes back.
func (o *Oracle) observe() {
	for _, name := range o.fleet.order {
		n := o.fleet.vms[name]
		id := fmt.Sprintf("%s/%d", name, n.member.Incarnation)
		revision := n.machine.TableVersion()
		if revision < o.revisions[id] {
			o.violate("table of VM %s went back from revision %d to %d", name, o.revisions[id], revision)
		}
		o.revisions[id] = revision
	}
}

// Violations returns every broken promise. Call it after all calls have ended
// and late executions are over.
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
			all = append(all, fmt.Sprintf("a request that was answered \"not run\" ran: %v", runs))
		}
	}
	slices.Sort(all)
	return all
}

// Results returns the ended calls in order.
func (o *Oracle) Results() []Result {
	return o.results
}
