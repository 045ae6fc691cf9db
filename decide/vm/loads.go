package vm

import (
	"math"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// load is what another owner said about its target.
type load struct {
	flows   uint32
	weight  uint32
	ejected bool
	at      time.Duration
	growth  float64       // flows per second between the last two reports; negative when flows end
	window  time.Duration // between the last two reports
}

// expected returns the number of flows at now, if they go on to rise as between
// the last two reports, and by what began after them. The growth is carried on for
// no longer than it was seen, or carryTime: a target that is silent has settled.
func (l *load) expected(now time.Duration, r rise) float64 {
	age := now - l.at
	flows := float64(l.flows) + l.growth*min(age, max(carryTime, l.window)).Seconds()
	if r.since > 0 {
		flows += r.flows * float64(l.weight) * min(maxRise, float64(age)/float64(r.since))
	}
	return flows
}

// rise is what a target has gained since its own last report, in flows per weight.
// Other targets can't have reported such a gain yet.
type rise struct {
	flows float64
	since time.Duration
}

// maxRise bounds the part of a rise that is added to a report older than the
// own one, since a rise over a short time is mostly chance.
const maxRise = 2

const (
	// reportRefresh is the time after which a load report is repeated when nothing
	// changed. A receiver of rotating reports needs several within loadRetention.
	reportRefresh = 5 * time.Second
	// reportMinimum is the shortest time between two reports of changed flows. When
	// four targets renew all flows within 6 s, a target that was added gains a sixth
	// of its share in a second. Reports that old left it 5 to 11% off its share.
	reportMinimum = 100 * time.Millisecond
	// reportChange is the part of a target's flows by which they may differ from
	// what the receivers of its last report expect.
	reportChange = 0.005
	// reportRate is the number of load reports that a VM sends per second because
	// flows changed. At about 40 B each they stay below 2 kB/s.
	reportRate = 48
	// reportReceivers bounds the owners that get one report, so that the cost
	// does not grow with the square of a large service. They change every time.
	reportReceivers = 16
	// ownerCheck is the time between two searches for owners that have no report.
	ownerCheck = time.Second
	// carryTime is how long the growth between two reports is carried forward, even
	// if they are closer together.
	carryTime = time.Second
	// enoughReports is the number of other targets whose loads are enough to judge
	// a target's share in a large service.
	enoughReports = 8
	// inheritedRetention is how long flows of a crashed owner count that send
	// nothing. Callers that ended with the owner's VM never close theirs.
	inheritedRetention = 10 * time.Minute
	// loadRetention is how long a report counts.
	loadRetention = 20 * time.Second
	// shareExcess is the part of its share by which a target may exceed it before
	// new flows are passed on. Together the others' excess is missing at one target:
	// with weights 3, 3, 2 and 1, 1.5% were up to 12% of the share of the last one.
	shareExcess = 0.005
	// shareSlack is the number of flows that a target may have beyond its share
	// in any case, so that few flows don't travel along the ranking.
	shareSlack = 4
)

// withinShare reports whether a target may take one more flow by its weight,
// compared with the service's other targets (bounded loads: Mirrokni, Thorup,
// Zadimoghaddam, "Consistent hashing with bounded loads", SODA 2018).
func (v *VM) withinShare(t *target) bool {
	flows, weight := v.expectedLoad(t)
	if weight == 0 {
		return true
	}
	share := (flows + 1) * float64(t.row.Weight) / float64(weight)
	bound := (share*(1+shareExcess) + shareSlack) * v.coldShare(t)
	return float64(t.flowCount()) < bound
}

// expectedLoad returns the flows and weights of a service's targets now, with the
// target's own. Reports are of an earlier time: compared with them as they are, a
// target that gets its share of a fast rise would seem to be above it.
func (v *VM) expectedLoad(t *target) (flows float64, weight uint64) {
	if v.declines(t.service) {
		reported, weight := v.serviceLoad(t)
		return float64(reported), weight
	}
	r := v.riseOf(t)
	flows = float64(t.flowCount())
	weight = uint64(t.row.Weight)
	v.eachLoad(t.service, func(id message.TargetID, l load) {
		if id != t.id && !l.ejected {
			flows += l.expected(v.now, r)
			weight += uint64(l.weight)
		}
	})
	return flows, weight
}

// riseOf returns the rise at a target. It is 0 unless the service was at rest:
// while flows move between targets, the gain of one says nothing of the others.
func (v *VM) riseOf(t *target) rise {
	own, ok := v.loads[t.service][t.id]
	if !ok || v.now <= own.at || t.row.Weight == 0 || !v.wasAtRest(t.service) {
		return rise{}
	}
	gained := float64(t.flowCount()) - float64(own.flows)
	return rise{flows: max(0, gained) / float64(t.row.Weight), since: v.now - own.at}
}

// declines reports whether a target of a service had fewer flows at its last
// report than before. Flows then move between targets, or end, and what a target
// gained in the last second does not go on: such targets overshoot if it is
// carried forward.
func (v *VM) declines(service message.ServiceID) bool {
	for _, l := range v.loads[service] {
		fall := -l.growth * carryTime.Seconds()
		if v.now-l.at <= loadRetention && fall > shareSlack {
			return true
		}
	}
	return false
}

// wasAtRest reports whether the flows of all targets of a service changed little
// between their last two reports.
func (v *VM) wasAtRest(service message.ServiceID) bool {
	var flows, change float64
	v.eachLoad(service, func(_ message.TargetID, l load) {
		flows += float64(l.flows)
		change += math.Abs(l.growth) * carryTime.Seconds()
	})
	return change <= shareExcess*flows+shareSlack
}

// serviceLoad returns the flows and weights of a service's targets as far as
// they are known, with the target's own.
func (v *VM) serviceLoad(t *target) (flows, weight uint64) {
	flows = uint64(t.flowCount())
	weight = uint64(t.row.Weight)
	v.eachLoad(t.service, func(id message.TargetID, l load) {
		if id != t.id && !l.ejected {
			flows += uint64(l.flows)
			weight += uint64(l.weight)
		}
	})
	return flows, weight
}

// eachLoad calls visit for every report that still counts, in the order of the
// table, so that sums of floating-point numbers do not depend on a map's order.
func (v *VM) eachLoad(service message.ServiceID, visit func(id message.TargetID, l load)) {
	s := v.table.Service(service)
	if s == nil {
		return
	}
	for i := range s.Targets {
		id := s.Targets[i].ID
		if l, ok := v.loads[service][id]; ok && v.now-l.at <= loadRetention {
			visit(id, l)
		}
	}
}

// knowsLoads reports whether this VM has heard from enough of a service's other
// targets to compare with them.
func (v *VM) knowsLoads(t *target, s *table.Service) bool {
	known := 0
	v.eachLoad(t.service, func(id message.TargetID, _ load) {
		if id != t.id {
			known++
		}
	})
	return known >= min(enoughReports, activeTargets(s)/2)
}

// inheritLoad counts the flows that a previous owner last reported. After a crash
// they are adopted one by one as their packets arrive; until then the target would
// seem to have room for as many new flows.
func (v *VM) inheritLoad(t *target) {
	l, ok := v.loads[t.service][t.id]
	if ok && v.now-l.at <= loadRetention {
		t.inherited = int(l.flows)
		t.inheritedUntil = v.now + inheritedRetention
	}
}

// flowCount returns the flows of a target, with those of a previous owner that
// have not been adopted yet.
func (t *target) flowCount() int {
	return t.flows.Len() + t.inherited
}

// coldShare is the part of its share that a target takes during slow start.
func (v *VM) coldShare(t *target) float64 {
	return t.health.Share(v.now)
}

// reporting is what a VM has told other owners about an owned target.
type reporting struct {
	sent      bool
	last      load          // the last report
	checked   time.Duration // last search for owners without a report
	receivers []receiver    // of the last report
}

// receiver is one run of a VM that got a report. A VM that has restarted knows none.
type receiver struct {
	vm          message.VMID
	incarnation uint64
}

// sendLoadReports tells the other owners of each service about owned targets.
// Reports that are due in any case go out at once. Those of changed flows share
// reportRate, in turn.
func (v *VM) sendLoadReports() {
	v.refillReports()
	first := v.nextReport
	for i := range v.order {
		at := (first + i) % len(v.order)
		t := v.order[at]
		if len(t.epochs) == 0 || t.row.State == table.Leaving {
			continue
		}
		if v.reportDue(t) {
			v.reportLoad(t)
		} else if v.reportCredit > 0 && v.flowsChanged(t) {
			v.nextReport = at + 1
			v.reportLoad(t)
		}
	}
}

// refillReports adds what reportRate allows since the last tick.
func (v *VM) refillReports() {
	passed := v.now - v.reportFilled
	v.reportFilled = v.now
	v.reportCredit = min(reportReceivers, v.reportCredit+reportRate*passed.Seconds())
}

// reportDue reports whether a report is needed even if the flows did not change:
// a refresh, a changed row or health, or an owner that has none.
func (v *VM) reportDue(t *target) bool {
	last := &t.reporting.last
	if !t.reporting.sent || v.now-last.at >= reportRefresh {
		return true
	}
	if last.weight != t.row.Weight || last.ejected != t.ejected {
		return true
	}
	if v.now-t.reporting.checked < ownerCheck {
		return false
	}
	t.reporting.checked = v.now
	return v.lacksReport(t)
}

// flowsChanged reports whether the flows of a target differ from its last report,
// or from what other owners expect by its last two.
func (v *VM) flowsChanged(t *target) bool {
	last := &t.reporting.last
	if v.now-last.at < reportMinimum {
		return false
	}
	flows := float64(t.flowCount())
	allowed := reportChange*flows + shareSlack
	return math.Abs(flows-float64(last.flows)) > allowed || math.Abs(flows-last.expected(v.now, rise{})) > allowed
}

// lacksReport reports whether an owner of another target of the service did not
// get the last report. Where there are more owners than receivers, some never did.
func (v *VM) lacksReport(t *target) bool {
	s := v.table.Service(t.service)
	if s == nil || len(s.Targets) > reportReceivers+1 {
		return false
	}
	for i := range s.Targets {
		r, _, ok := v.receiverFor(&s.Targets[i])
		if ok && !slices.Contains(t.reporting.receivers, r) {
			return true
		}
	}
	return false
}

// receiverFor returns the owner of a target and its control address, if it is
// another VM.
func (v *VM) receiverFor(row *table.Target) (receiver, message.Address, bool) {
	owner, ok := v.ownerOf(row.ID, row.DomainID)
	if !ok || owner == v.config.Self.ID {
		return receiver{}, message.Address{}, false
	}
	m, ok := v.members.Member(owner)
	return receiver{vm: owner, incarnation: m.Incarnation}, message.VMAddress(owner, m.Control), ok
}

func (v *VM) reportLoad(t *target) {
	s := v.table.Service(t.service)
	if s == nil {
		return
	}
	report := &message.LoadReport{
		Service: t.service,
		Target:  t.id,
		Flows:   uint32(t.flowCount()),
		Weight:  t.row.Weight,
		Ejected: t.ejected,
	}
	v.loadReport(report)
	receivers := t.reporting.receivers[:0]
	start := v.rng.IntN(len(s.Targets))
	for i := 0; i < len(s.Targets) && len(receivers) < reportReceivers; i++ {
		r, to, ok := v.receiverFor(&s.Targets[(start+i)%len(s.Targets)])
		if ok && !slices.Contains(receivers, r) {
			receivers = append(receivers, r)
			v.send(to, report)
		}
	}
	t.reporting = reporting{sent: true, last: v.loads[t.service][t.id], checked: v.now, receivers: receivers}
	v.reportCredit = max(-reportRate, v.reportCredit-float64(len(receivers)))
}

func (v *VM) loadReport(m *message.LoadReport) {
	if _, ok := v.row(m.Service, m.Target); !ok {
		return
	}
	loads := v.loads[m.Service]
	if loads == nil {
		loads = make(map[message.TargetID]load)
		v.loads[m.Service] = loads
	}
	next := load{flows: m.Flows, weight: m.Weight, ejected: m.Ejected, at: v.now}
	if last, ok := loads[m.Target]; ok && v.now > last.at {
		gained := float64(m.Flows) - float64(last.flows)
		next.window = v.now - last.at
		next.growth = gained / next.window.Seconds()
	}
	loads[m.Target] = next
}
