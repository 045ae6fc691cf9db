package relay

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"
)

const (
	// reportInterval is the time between two heartbeats to the same VM that carry reports.
	// Choices depend on sums over some seconds, and a full datagram in each heartbeat would
	// take most of the 7 KB/s that a VM may use.
	reportInterval = time.Second
	// maxHeartbeatBytes is the size of the largest heartbeat; the wire format refuses more.
	maxHeartbeatBytes = 1400
	// maxHeaderBytes bounds the size of a heartbeat without its lists and names: revisions,
	// the confirmation and the number of the process.
	maxHeaderBytes = 110
)

// reportState holds the reports that this VM sends and has received.
type reportState struct {
	own       []TargetReport
	polled    []TargetReport            // own reports as of the last poll of an upstream VM
	domain    map[uint32]ReceivedReport // sums of the domain, from an upstream VM
	others    map[uint32]ReceivedReport // the same without this VM's part
	firstSent int                       // index of the first report of the next heartbeat
}

func newReportState() reportState {
	return reportState{domain: make(map[uint32]ReceivedReport), others: make(map[uint32]ReceivedReport)}
}

// SetReports sets this VM's own reports, of targets in its failure domain.
func (m *Machine) SetReports(reports []TargetReport) { m.reports.own = reports }

// recordReports stores the reports of a heartbeat from the own failure domain: those of a
// VM that polls this one, or the domain's sums from an upstream VM.
func (m *Machine) recordReports(now time.Duration, p *peer, b Heartbeat) {
	if p == nil || p.Domain != m.config.Self.Domain || len(b.Reports) == 0 {
		return
	}
	if !b.Reply {
		p.reports, p.reportsAt = b.Reports, now
		return
	}
	if m.isRelay {
		return
	}
	for _, r := range b.Reports {
		m.reports.domain[r.TargetCookie] = ReceivedReport{TargetReport: r, At: now}
	}
	for _, r := range withoutOwn(b.Reports, m.reports.polled) {
		m.reports.others[r.TargetCookie] = ReceivedReport{TargetReport: r, At: now}
	}
}

// OtherReports returns the sums of the reports of the other VMs of the failure domain,
// sorted by cookie, without expired ones.
func (m *Machine) OtherReports(now time.Duration) []ReceivedReport {
	var list []ReceivedReport
	if m.isRelay {
		for _, r := range m.sumReports(now, nil) {
			list = append(list, ReceivedReport{TargetReport: r, At: now})
		}
		return list
	}
	for _, r := range m.reports.others {
		if now-r.At < m.intervals.reportTTL {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b ReceivedReport) int { return cmp.Compare(a.TargetCookie, b.TargetCookie) })
	return list
}

// sumReports adds up own and the reports of the VMs that poll this one, sorted by cookie.
func (m *Machine) sumReports(now time.Duration, own []TargetReport) []TargetReport {
	sums := make(map[uint32]TargetReport)
	AddReports(sums, own)
	for _, p := range m.members.byDomain[m.config.Self.Domain] {
		if p.everHeard && now-p.reportsAt < m.intervals.reportTTL {
			AddReports(sums, p.reports)
		}
	}
	return sortedReports(maps.Values(sums))
}

// domainReports returns the domain's sums: as the relay from the VMs that poll this one,
// else as received.
func (m *Machine) domainReports(now time.Duration) []TargetReport {
	if m.isRelay {
		return m.sumReports(now, m.reports.own)
	}
	return sortedReports(func(yield func(TargetReport) bool) {
		for _, r := range m.reports.domain {
			if now-r.At < m.intervals.reportTTL && !yield(r.TargetReport) {
				return
			}
		}
	})
}

// pollWithReports adds reports to a poll of a VM of the own failure domain, if that is due:
// those of this VM and of the VMs that poll it. A relay sends only its own; see poll.
func (m *Machine) pollWithReports(now time.Duration, p *peer, b *Heartbeat) {
	if p.Domain != m.config.Self.Domain || !m.reportsDue(now, p) {
		return
	}
	reports := m.reports.own
	if !m.isRelay {
		reports = m.sumReports(now, reports)
	}
	m.reports.polled = m.reports.own
	m.fitReports(b, reports)
}

// sendDomainReports sends the domain's sums to p, a VM of the own failure domain that polls
// this one, if that is due. They are a heartbeat of their own: beside the loads of all
// domains, those of the 38 targets in a domain of Niwl would not fit into one datagram.
func (m *Machine) sendDomainReports(now time.Duration, p *peer) {
	if p == nil || p.Domain != m.config.Self.Domain || !m.reportsDue(now, p) {
		return
	}
	b := m.heartbeat(now, true, nil)
	m.fitReports(&b, m.domainReports(now))
	if len(b.Reports) > 0 {
		m.out.Heartbeats = append(m.out.Heartbeats, Outgoing{To: p.HeartbeatAddr, Heartbeat: b})
	}
}

// reportsDue reports whether a heartbeat to p carries reports, and if so sets the time of
// the next one that does.
func (m *Machine) reportsDue(now time.Duration, p *peer) bool {
	if m.config.NoReports || now < p.nextReports {
		return false
	}
	// Polls are not exactly regular. Without the margin every third would carry reports.
	p.nextReports = now + reportInterval - m.intervals.poll/2
	return true
}

// pruneReports drops expired reports.
func (m *Machine) pruneReports(now time.Duration) {
	expired := func(_ uint32, r ReceivedReport) bool { return now-r.At >= m.intervals.reportTTL }
	maps.DeleteFunc(m.reports.domain, expired)
	maps.DeleteFunc(m.reports.others, expired)
}

// fitReports adds as many reports to b as fit into its datagram. If not all do, the next
// heartbeat begins with the first that was left out. It must be called when all other
// fields of b are set.
func (m *Machine) fitReports(b *Heartbeat, reports []TargetReport) {
	room := maxHeartbeatBytes - sizeWithoutReports(b)
	first := m.reports.firstSent
	if first >= len(reports) {
		first = 0
	}
	for i := range reports {
		r := reports[(first+i)%len(reports)]
		if room -= r.size(); room < 0 {
			m.reports.firstSent = (first + i) % len(reports)
			return
		}
		b.Reports = append(b.Reports, r)
	}
}

// sizeWithoutReports returns an upper bound of the encoded size of b without reports.
func sizeWithoutReports(b *Heartbeat) int {
	const (
		fixedLoad = 2 + 3*2 + 2 // tags and lengths
		maxSample = 18
		maxGrant  = 30
	)
	size := maxHeaderBytes + len(b.Name) + len(b.Domain) + maxSample*len(b.Samples) + maxGrant*len(b.Grants)
	for _, l := range b.Loads {
		size += fixedLoad + len(l.Domain) + len(l.TargetDomain) + len(l.Service) + varintSize(l.Flows) + varintSize(l.ActiveRequests)
	}
	return size
}

// size returns the encoded size of r: tags, varints and two 32-bit numbers.
func (r TargetReport) size() int {
	const fixed = 2 + 3 + 2*5
	return fixed + varintSize(r.TargetCookie) + varintSize(r.Flows) + varintSize(r.ActiveRequests)
}

// varintSize returns the size of a number in base 128.
func varintSize(x uint32) int {
	const bitsPerByte = 7
	return (bits.Len32(x|1) + bitsPerByte - 1) / bitsPerByte
}

// AddReports adds reports to sums, by cookie of the target.
func AddReports(sums map[uint32]TargetReport, reports []TargetReport) {
	for _, r := range reports {
		sum := sums[r.TargetCookie]
		sums[r.TargetCookie] = TargetReport{
			TargetCookie:   r.TargetCookie,
			Flows:          sum.Flows + r.Flows,
			ActiveRequests: sum.ActiveRequests + r.ActiveRequests,
			Requests:       sum.Requests + r.Requests,
			RelativeTime:   sum.RelativeTime + r.RelativeTime,
		}
	}
}

// OtherReports returns sums without a VM's own part of them, sorted by cookie.
func OtherReports(sums map[uint32]TargetReport, own []TargetReport) []TargetReport {
	return withoutOwn(sortedReports(maps.Values(sums)), own)
}

func sortedReports(reports func(yield func(TargetReport) bool)) []TargetReport {
	return slices.SortedFunc(reports, func(a, b TargetReport) int { return cmp.Compare(a.TargetCookie, b.TargetCookie) })
}

// withoutOwn returns sums without own, a VM's part of them. The result is never below 0: a
// VM that passes on sums may have received own later or not at all.
func withoutOwn(sums, own []TargetReport) []TargetReport {
	parts := make(map[uint32]TargetReport, len(own))
	for _, r := range own {
		parts[r.TargetCookie] = r
	}
	list := make([]TargetReport, 0, len(sums))
	for _, sum := range sums {
		part := parts[sum.TargetCookie]
		sum.Flows -= min(part.Flows, sum.Flows)
		sum.ActiveRequests -= min(part.ActiveRequests, sum.ActiveRequests)
		sum.Requests = max(0, sum.Requests-part.Requests)
		sum.RelativeTime = max(0, sum.RelativeTime-part.RelativeTime)
		list = append(list, sum)
	}
	return list
}
