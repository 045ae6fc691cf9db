package vm

import (
	"math"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// targetLoad is the last load report on a target.
type targetLoad struct {
	flows    uint32
	weight   uint32
	ejected  bool
	at       time.Duration // when the report arrived
	growth   float64       // flows per second between the last two reports; negative if flows ended
	interval time.Duration // time between the last two reports
}

// expectedFlows extrapolates the number of flows to now: by the growth between the last
// two reports, and by r, the gain of another target, scaled to the weight in l and to the
// age of l (see maxGainFactor). The growth is extrapolated over at most the interval in
// which it was measured, or extrapolationTime if that is longer: a target that sends no
// newer report has a stable load.
func (l *targetLoad) expectedFlows(now time.Duration, r flowGain) float64 {
	age := now - l.at
	flows := float64(l.flows) + l.growth*min(age, max(extrapolationTime, l.interval)).Seconds()
	if r.elapsed > 0 {
		flows += r.flows * float64(l.weight) * min(maxGainFactor, float64(age)/float64(r.elapsed))
	}
	return flows
}

// flowGain is the gain in flows of a target since its own last report. Reports
// of other targets don't include such a gain yet.
type flowGain struct {
	flows   float64 // per unit of weight
	elapsed time.Duration
}

// maxGainFactor bounds the factor by which a gain is scaled to an older report, since a
// gain over a short time is mostly random.
const maxGainFactor = 2

const (
	// reportRefreshInterval is the time after which an unchanged load report is sent again.
	// If the receivers rotate, each needs several reports within loadRetention.
	reportRefreshInterval = 5 * time.Second
	// minReportInterval is the shortest time between two reports of changed flows. When
	// four targets renew all flows within 6 s, an added target gains a sixth of its share
	// in a second; reports of that age left it 5 to 11% off its share.
	minReportInterval = 100 * time.Millisecond
	// reportThreshold is the fraction of a target's flows by which they may differ, in
	// addition to shareSlackFlows, from what the receivers of its last reports expect.
	reportThreshold = 0.005
	// maxReportRate bounds the load reports per second that a VM sends because of changed
	// flows. At about 40 B each they stay below 2 kB/s.
	maxReportRate = 48
	// maxReportReceivers bounds the owners that get one report, so that the cost of a
	// large service does not grow quadratically. The selection changes with each report.
	maxReportReceivers = 16
	// ownerCheckInterval is the time between two checks for owners that lack the last
	// report.
	ownerCheckInterval = time.Second
	// extrapolationTime is the time after a report up to which the growth is extrapolated
	// even if the last two reports are closer together.
	extrapolationTime = time.Second
	// minKnownLoads is the number of other targets whose loads suffice to compute a
	// target's share in a large service.
	minKnownLoads = 8
	// inheritedRetention is how long the flows of a crashed owner count without a packet.
	// Callers that stopped together with the owner's VM never close theirs.
	inheritedRetention = 10 * time.Minute
	// loadRetention is how long a load report is valid.
	loadRetention = 20 * time.Second
	// shareTolerance is the fraction of its share by which a target may exceed it before
	// new flows overflow to the next rank. The excess of all targets can be missing at a
	// single one: with weights 3, 3, 2 and 1, a tolerance of 1.5% left the last target up
	// to 12% below its share.
	shareTolerance = 0.005
	// shareSlackFlows is the number of flows that a target may have beyond its share, so
	// that a few flows are not forwarded along the ranking.
	shareSlackFlows = 4
)

// withinShare reports whether a target may accept one more flow by its weight, compared
// with the other targets of the service (bounded loads: Mirrokni, Thorup, Zadimoghaddam,
// "Consistent hashing with bounded loads", SODA 2018).
func (v *VM) withinShare(t *target) bool {
	flows, weight := v.expectedLoad(t)
	if weight == 0 {
		return true
	}
	share := (flows + 1) * float64(t.row.Weight) / float64(weight)
	bound := (share*(1+shareTolerance) + shareSlackFlows) * v.slowStartShare(t)
	return float64(t.flowCount()) < bound
}

// expectedLoad returns the extrapolated flows and the weights of a service's targets,
// including t, without ejected others. Without extrapolation, a target that gets its share
// of a fast rise would seem to exceed it, since the reports of the others are older. While
// a target declines, it returns the reported loads; see hasDecliningTarget.
func (v *VM) expectedLoad(t *target) (flows float64, weight uint64) {
	if v.hasDecliningTarget(t.service) {
		reported, weight := v.reportedLoad(t)
		return float64(reported), weight
	}
	r := v.flowGainOf(t)
	flows = float64(t.flowCount())
	weight = uint64(t.row.Weight)
	v.eachLoad(t.service, func(id message.TargetID, l targetLoad) {
		if id != t.id && !l.ejected {
			flows += l.expectedFlows(v.now, r)
			weight += uint64(l.weight)
		}
	})
	return flows, weight
}

// flowGainOf returns the gain in flows at a target. It is 0 unless the service was stable:
// while flows move between targets, the gain of one does not predict the others.
func (v *VM) flowGainOf(t *target) flowGain {
	own, ok := v.loads[t.service][t.id]
	if !ok || v.now <= own.at || t.row.Weight == 0 || !v.wasStable(t.service) {
		return flowGain{}
	}
	gained := float64(t.flowCount()) - float64(own.flows)
	return flowGain{flows: max(0, gained) / float64(t.row.Weight), elapsed: v.now - own.at}
}

// hasDecliningTarget reports whether a target of a service lost flows between its last two
// reports, by more than shareSlackFlows in extrapolationTime. Flows then move between
// targets, or end, and a target that gained flows in the last second gains no more:
// extrapolation would overestimate it.
func (v *VM) hasDecliningTarget(service message.ServiceID) bool {
	for _, l := range v.loads[service] {
		fall := -l.growth * extrapolationTime.Seconds()
		if v.now-l.at <= loadRetention && fall > shareSlackFlows {
			return true
		}
	}
	return false
}

// wasStable reports whether the flows of all targets of a service changed little between
// their last two reports.
func (v *VM) wasStable(service message.ServiceID) bool {
	var flows, change float64
	v.eachLoad(service, func(_ message.TargetID, l targetLoad) {
		flows += float64(l.flows)
		change += math.Abs(l.growth) * extrapolationTime.Seconds()
	})
	return change <= shareTolerance*flows+shareSlackFlows
}

// reportedLoad returns the flows and weights of a service's targets by their last reports,
// without ejected ones, and including the present flows of t.
func (v *VM) reportedLoad(t *target) (flows, weight uint64) {
	flows = uint64(t.flowCount())
	weight = uint64(t.row.Weight)
	v.eachLoad(t.service, func(id message.TargetID, l targetLoad) {
		if id != t.id && !l.ejected {
			flows += uint64(l.flows)
			weight += uint64(l.weight)
		}
	})
	return flows, weight
}

// eachLoad calls visit for every valid report in the order of the table, so that
// floating-point sums do not depend on the iteration order of a map.
func (v *VM) eachLoad(service message.ServiceID, visit func(id message.TargetID, l targetLoad)) {
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

// hasEnoughLoads reports whether this VM has load reports of enough other targets of a
// service to compute shares.
func (v *VM) hasEnoughLoads(t *target, s *table.Service) bool {
	known := 0
	v.eachLoad(t.service, func(id message.TargetID, _ targetLoad) {
		if id != t.id {
			known++
		}
	})
	return known >= min(minKnownLoads, activeTargets(s)/2)
}

// inheritLoad sets the inherited flows of a target to those that its previous owner last
// reported. After a crash they are adopted one by one as their packets arrive; without
// this count the target would seem to have room for as many new flows.
func (v *VM) inheritLoad(t *target) {
	l, ok := v.loads[t.service][t.id]
	if ok && v.now-l.at <= loadRetention {
		t.inheritedFlows = int(l.flows)
		t.inheritedUntil = v.now + inheritedRetention
	}
}

// flowCount returns the flows of a target, including inherited ones that are not adopted
// yet.
func (t *target) flowCount() int {
	return t.flows.Len() + t.inheritedFlows
}

// slowStartShare returns the fraction of its share that a target gets during slow start.
func (v *VM) slowStartShare(t *target) float64 {
	return t.health.Share(v.now)
}

// reportState is the state of the load reports that a VM sends for an owned target.
type reportState struct {
	reported        bool
	lastReport      targetLoad
	ownersCheckedAt time.Duration    // last check for owners without a report
	receivers       []reportReceiver // receivers of lastReport
}

// reportReceiver is one incarnation of a VM that got a report. A VM loses its reports when
// it restarts.
type reportReceiver struct {
	vm          message.VMID
	incarnation uint64
}

// sendLoadReports sends the loads of owned targets to the other owners of their services.
// Reports that reportDue asks for are sent at once, but use the same credit. Those of
// changed flows share maxReportRate in round-robin order. Leaving targets are not reported.
func (v *VM) sendLoadReports() {
	v.refillReportCredit()
	first := v.nextReportIndex
	for i := range v.sortedTargets {
		at := (first + i) % len(v.sortedTargets)
		t := v.sortedTargets[at]
		if len(t.epochs) == 0 || t.row.State == table.Leaving {
			continue
		}
		if v.reportDue(t) {
			v.sendLoadReport(t)
		} else if v.reportCredit > 0 && v.reportOutdated(t) {
			v.nextReportIndex = at + 1
			v.sendLoadReport(t)
		}
	}
}

// refillReportCredit adds the credit that maxReportRate allows since the last tick.
func (v *VM) refillReportCredit() {
	elapsed := v.now - v.reportCreditAt
	v.reportCreditAt = v.now
	v.reportCredit = min(maxReportReceivers, v.reportCredit+maxReportRate*elapsed.Seconds())
}

// reportDue reports whether a report is needed even if the flows did not change: as a
// refresh, for a changed weight or ejection, or for an owner that lacks the last report.
func (v *VM) reportDue(t *target) bool {
	lastReport := &t.reportState.lastReport
	if !t.reportState.reported || v.now-lastReport.at >= reportRefreshInterval {
		return true
	}
	if lastReport.weight != t.row.Weight || lastReport.ejected != t.ejected {
		return true
	}
	if v.now-t.reportState.ownersCheckedAt < ownerCheckInterval {
		return false
	}
	t.reportState.ownersCheckedAt = v.now
	return v.ownerLacksReport(t)
}

// reportOutdated reports whether the flows of a target differ by more than the threshold
// from its last report, or from the extrapolation of its last two.
func (v *VM) reportOutdated(t *target) bool {
	lastReport := &t.reportState.lastReport
	if v.now-lastReport.at < minReportInterval {
		return false
	}
	flows := float64(t.flowCount())
	allowed := reportThreshold*flows + shareSlackFlows
	return math.Abs(flows-float64(lastReport.flows)) > allowed || math.Abs(flows-lastReport.expectedFlows(v.now, flowGain{})) > allowed
}

// ownerLacksReport reports whether an owner of another target of the service did not get
// the last report. In a service with more targets than one report reaches it returns
// false, since some owners always lack the last one.
func (v *VM) ownerLacksReport(t *target) bool {
	s := v.table.Service(t.service)
	if s == nil || len(s.Targets) > maxReportReceivers+1 {
		return false
	}
	for i := range s.Targets {
		r, _, ok := v.receiverFor(&s.Targets[i])
		if ok && !slices.Contains(t.reportState.receivers, r) {
			return true
		}
	}
	return false
}

// receiverFor returns the owner of a target and its control address, or false if the owner
// is unknown or this VM.
func (v *VM) receiverFor(row *table.Target) (reportReceiver, message.Address, bool) {
	owner, ok := v.ownerOf(row.ID, row.DomainID)
	if !ok || owner == v.config.Self.ID {
		return reportReceiver{}, message.Address{}, false
	}
	m, ok := v.members.Member(owner)
	return reportReceiver{vm: owner, incarnation: m.Incarnation}, message.VMAddress(owner, m.Control), ok
}

func (v *VM) sendLoadReport(t *target) {
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
	v.recordLoad(report)
	receivers := t.reportState.receivers[:0]
	start := v.rng.IntN(len(s.Targets))
	for i := 0; i < len(s.Targets) && len(receivers) < maxReportReceivers; i++ {
		r, to, ok := v.receiverFor(&s.Targets[(start+i)%len(s.Targets)])
		if ok && !slices.Contains(receivers, r) {
			receivers = append(receivers, r)
			v.send(to, report)
		}
	}
	t.reportState = reportState{reported: true, lastReport: v.loads[t.service][t.id], ownersCheckedAt: v.now, receivers: receivers}
	v.reportCredit = max(-maxReportRate, v.reportCredit-float64(len(receivers)))
}

func (v *VM) recordLoad(m *message.LoadReport) {
	if _, ok := v.row(m.Service, m.Target); !ok {
		return
	}
	loads := v.loads[m.Service]
	if loads == nil {
		loads = make(map[message.TargetID]targetLoad)
		v.loads[m.Service] = loads
	}
	next := targetLoad{flows: m.Flows, weight: m.Weight, ejected: m.Ejected, at: v.now}
	if last, ok := loads[m.Target]; ok && v.now > last.at {
		gained := float64(m.Flows) - float64(last.flows)
		next.interval = v.now - last.at
		next.growth = gained / next.interval.Seconds()
	}
	loads[m.Target] = next
}
