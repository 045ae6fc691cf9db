package relay

import (
	"cmp"
	"slices"
	"time"
)

// maxSamples bounds the samples in one heartbeat, so that it fits into one datagram.
const maxSamples = 16

// SetSamples sets this VM's own samples. Only targets with failures need one.
func (m *Machine) SetSamples(samples []Sample) { m.ownSamples = worst(samples) }

// recordSamples stores the samples of a heartbeat from the own failure domain: those of
// a VM that polls this one, or the domain's sum from an upstream VM.
func (m *Machine) recordSamples(now time.Duration, p *peer, b Heartbeat) {
	if b.Domain != m.config.Self.Domain || b.HasItems {
		return
	}
	if !b.Reply && p != nil {
		p.samples = b.Samples
		return
	}
	if b.Reply && !m.isRelay {
		m.domainSamples, m.domainSamplesAt = b.Samples, now
	}
}

// DomainSamples returns the sums of the samples of all VMs of the own failure domain,
// most failures first. A VM that is not the relay and has received no sums within
// reportTTL returns its own samples. The caller must not change the list.
func (m *Machine) DomainSamples(now time.Duration) []Sample {
	if m.isRelay {
		return m.sumSamples(now)
	}
	if m.domainSamples != nil && now-m.domainSamplesAt < m.intervals.reportTTL {
		return m.domainSamples
	}
	return m.ownSamples
}

// sumSamples adds up the samples of this VM and of the VMs that poll it.
func (m *Machine) sumSamples(now time.Duration) []Sample {
	sums := make(map[uint32]Sample)
	add := func(samples []Sample) {
		for _, s := range samples {
			sum := sums[s.TargetCookie]
			sums[s.TargetCookie] = Sample{TargetCookie: s.TargetCookie, Requests: sum.Requests + s.Requests, Failures: sum.Failures + s.Failures}
		}
	}
	add(m.ownSamples)
	for _, p := range m.members.byDomain[m.config.Self.Domain] {
		if p.everHeard && now-p.lastHeardAt < m.intervals.reportTTL {
			add(p.samples)
		}
	}
	list := make([]Sample, 0, len(sums))
	for _, s := range sums {
		list = append(list, s)
	}
	return worst(list)
}

// worst returns at most maxSamples samples, most failures first.
func worst(samples []Sample) []Sample {
	samples = slices.Clone(samples)
	slices.SortFunc(samples, func(a, b Sample) int {
		return cmp.Or(cmp.Compare(b.Failures, a.Failures), cmp.Compare(a.TargetCookie, b.TargetCookie))
	})
	return samples[:min(len(samples), maxSamples)]
}
