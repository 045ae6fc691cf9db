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
	growth  float64 // flows per second between the last two reports; negative when flows end
}

// expected returns the number of flows at now, if they go on to rise as between
// the last two reports, and by what began after them.
func (l *load) expected(now time.Duration, r rise) float64 {
	age := now - l.at
	flows := float64(l.flows) + l.growth*age.Seconds()
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
	// reportInterval is the time between two load reports of a target.
	reportInterval = time.Second
	// reportReceivers bounds the owners that get one report, so that the cost
	// does not grow with the square of a large service. They change every time.
	reportReceivers = 16
	// enoughReports is the number of other targets whose loads are enough to judge
	// a target's share in a large service.
	enoughReports = 8
	// inheritedRetention is how long flows of a crashed owner count that send
	// nothing. Callers that ended with the owner's VM never close theirs.
	inheritedRetention = 10 * time.Minute
	// loadRetention is how long a report counts.
	loadRetention = 20 * time.Second
	// shareExcess is the part of its share by which a target may exceed it before
	// new flows are passed on. It leaves room to the bound of 5%.
	shareExcess = 0.015
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
// target's own. Reports are up to a second old: compared with them as they are, a
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
		fall := -l.growth * reportInterval.Seconds()
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
		change += math.Abs(l.growth) * reportInterval.Seconds()
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

// sendLoadReports tells the other owners of each service about owned targets.
func (v *VM) sendLoadReports() {
	if v.now < v.reports {
		return
	}
	v.reports = v.now + reportInterval
	for _, t := range v.order {
		if len(t.epochs) == 0 || t.row.State == table.Leaving {
			continue
		}
		v.reportLoad(t)
	}
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
	var receivers []message.VMID
	start := v.rng.IntN(len(s.Targets))
	for i := range s.Targets {
		row := &s.Targets[(start+i)%len(s.Targets)]
		owner, ok := v.ownerOf(row.ID, row.DomainID)
		if !ok || owner == v.config.Self.ID || slices.Contains(receivers, owner) {
			continue
		}
		receivers = append(receivers, owner)
		v.sendControl(owner, report)
		if len(receivers) == reportReceivers {
			return
		}
	}
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
		next.growth = gained / (v.now - last.at).Seconds()
	}
	loads[m.Target] = next
}
