package relay

import (
	"cmp"
	"slices"
	"time"
)

// maxSamples bounds the samples in one beat, so that it fits one datagram.
const maxSamples = 16

// SetSamples sets what this VM has seen of targets: those with bad requests.
func (m *Machine) SetSamples(samples []Sample) { m.ownSamples = worst(samples) }

// noteSamples takes in the samples of a beat of the own failure domain: those of a VM
// that asks, or the domain's sum from its relay.
func (m *Machine) noteSamples(now time.Duration, p *peer, b Heartbeat) {
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

// DomainSamples returns what the VMs of the own failure domain have seen of targets,
// the worst first. The caller must not change the list.
func (m *Machine) DomainSamples(now time.Duration) []Sample {
	if m.isRelay {
		return m.sumSamples(now)
	}
	if m.domainSamples != nil && now-m.domainSamplesAt < m.times.loadFor {
		return m.domainSamples
	}
	return m.ownSamples
}

// sumSamples adds up the samples of this VM and of those that ask it.
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
		if p.everHear && now-p.heard < m.times.loadFor {
			add(p.samples)
		}
	}
	list := make([]Sample, 0, len(sums))
	for _, s := range sums {
		list = append(list, s)
	}
	return worst(list)
}

// worst returns the samples that fit one beat, those with most bad requests first.
func worst(samples []Sample) []Sample {
	samples = slices.Clone(samples)
	slices.SortFunc(samples, func(a, b Sample) int {
		return cmp.Or(cmp.Compare(b.Failures, a.Failures), cmp.Compare(a.TargetCookie, b.TargetCookie))
	})
	return samples[:min(len(samples), maxSamples)]
}
