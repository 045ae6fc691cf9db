package day

import (
	"math/rand/v2"
	"time"
)

const (
	// mixProbability is the probability that a random day has a certain mix.
	mixProbability = 0.3
	// mixedColdPerSecond is the limit of cold targets on days on which targets restart together.
	mixedColdPerSecond = 4
	// mixedLinkMbps is the rate of the links on days of large configurations.
	mixedLinkMbps = 10
)

// addMixes adds mixes of disruptions to a random day.
func addMixes(d *Day, seed uint64) {
	const stream = 12 // differs from that of RandomDay
	rng := rand.New(rand.NewPCG(seed, stream))
	latest := max(d.Length.D()-recoveryTime, time.Second)
	if rng.Float64() < mixProbability {
		d.Disruptions = append(d.Disruptions, workAfterLostAnswers(rng, latest)...)
	}
	if rng.Float64() < mixProbability {
		d.Disruptions = append(d.Disruptions, pauses(rng, latest)...)
	}
	if rng.Float64() < mixProbability {
		d.Site = d.Site.withColdLimit(mixedColdPerSecond)
		d.Disruptions = append(d.Disruptions, restartsOfADomain(rng, d.Site, latest)...)
	}
	if rng.Float64() < mixProbability {
		d.Site = d.Site.withLinks(mixedLinkMbps)
		d.Disruptions = append(d.Disruptions, changesAsVMsReturn(rng, d.Site, latest)...)
	}
	if rng.Float64() < mixProbability {
		d.Disruptions = append(d.Disruptions, openingsAsADomainReturns(rng, d.Site, latest)...)
	}
}

// withColdLimit returns a copy of the site whose targets bear only so many requests per second while
// they are cold.
func (s *Site) withColdLimit(perSecond float64) *Site {
	limited := *s
	limited.Services = append([]Service(nil), s.Services...)
	for i := range limited.Services {
		limited.Services[i].ColdPerSecond = perSecond
	}
	return &limited
}

// withLinks returns a copy of the site whose VMs have links of a rate in Mbit/s.
func (s *Site) withLinks(mbps float64) *Site {
	limited := *s
	limited.LinkMbps = mbps
	return &limited
}

// changesAsVMsReturn returns short cuts of VMs, and changes of the configuration and leaving targets at
// the moment at which the bounds hold for these again. The configuration may be large, and the changes
// follow each other. The store is left alone, so that nothing excuses a late change.
func changesAsVMsReturn(rng *rand.Rand, site *Site, latest time.Duration) (list []Disruption) {
	if rng.IntN(2) == 0 {
		list = append(list, Disruption{Kind: "config_big", At: inMilliseconds(uniform(rng, 0, latest/4)), Count: 300 + rng.IntN(1100)})
	}
	at := uniform(rng, 0, latest/2)
	for range 1 + rng.IntN(3) {
		length := uniform(rng, 300*time.Millisecond, 6*time.Second)
		returnAt := min(at+length+uniform(rng, 0, site.Bounds.SettleTime.D()), latest)
		list = append(list,
			Disruption{Kind: "vm_cut", At: inMilliseconds(at), For: inMilliseconds(length), Share: uniformFloat(rng, 0.05, 0.4)},
			Disruption{Kind: "config_storm", At: inMilliseconds(returnAt), For: inMilliseconds(uniform(rng, 0, 4*time.Second)), Interval: inMilliseconds(uniform(rng, 100*time.Millisecond, time.Second))},
			Disruption{Kind: "target_leave", At: inMilliseconds(min(returnAt+uniform(rng, 0, time.Second), latest)), For: inMilliseconds(uniform(rng, 0, 6*time.Second)), Share: uniformFloat(rng, 0.05, 0.3)})
		at = min(returnAt+uniform(rng, 0, 3*time.Second), latest)
	}
	return list
}

// workAfterLostAnswers returns a loss of answers to SYNs, and planned stops of VMs while targets may
// still repeat these answers.
func workAfterLostAnswers(rng *rand.Rand, latest time.Duration) []Disruption {
	at := uniform(rng, 0, latest/2)
	length := uniform(rng, time.Second, 8*time.Second)
	return []Disruption{
		{Kind: "answer_loss", At: inMilliseconds(at), For: inMilliseconds(length), Magnitude: uniformFloat(rng, 0.02, 0.2)},
		{Kind: "vm_roll", At: inMilliseconds(min(at+uniform(rng, 0, length+10*time.Second), latest)), Share: uniformFloat(rng, 0.2, 1)},
	}
}

// openingsAsADomainReturns returns the loss of all VMs of a failure domain, one way or another, while
// callers open flows and answers to SYNs are lost, so that the SYNs of a flow go to VMs of two failure
// domains. The flows rest, VMs stop, end or come in one of the domains, and the flows are used. Between
// the loss and the use there is time for VMs to settle, so that nothing excuses a broken flow.
func openingsAsADomainReturns(rng *rand.Rand, site *Site, latest time.Duration) []Disruption {
	domains := rng.Perm(len(site.Domains))
	lost, other := site.Domains[domains[0]], site.Domains[domains[len(domains)-1]]
	rest := uniform(rng, site.Bounds.SettleTime.D()+3*time.Second, 13*time.Second)
	at := uniform(rng, 0, max(latest-rest, time.Second)/2)
	away := uniform(rng, 1500*time.Millisecond, 3*time.Second)
	openAt := at + uniform(rng, away-restSpread, away+restSpread)
	workAt := openAt + rest - uniform(rng, 0, 2*time.Second)
	loss := Disruption{Kind: []string{"vm_power_loss", "vm_power_loss", "vm_pause", "vm_cut", "vm_roll"}[rng.IntN(5)], At: inMilliseconds(at), For: inMilliseconds(away), Share: 1, Domain: lost}
	if loss.Kind == "vm_roll" {
		loss.Interval = inMilliseconds(uniform(rng, 50*time.Millisecond, 400*time.Millisecond))
	}
	work := Disruption{Kind: []string{"vm_roll", "vm_roll", "vm_kill", "vm_add"}[rng.IntN(4)], At: inMilliseconds(workAt), Share: uniformFloat(rng, 0.2, 1), Domain: []string{lost, lost, other}[rng.IntN(3)]}
	return []Disruption{
		loss,
		{Kind: "answer_loss", At: inMilliseconds(at), For: inMilliseconds(away + 2*restSpread), Magnitude: []float64{0.03, 0.1, 0.4}[rng.IntN(3)]},
		{Kind: "flows_rest", At: inMilliseconds(openAt), For: inMilliseconds(rest), Count: 50 + rng.IntN(400), Domain: lost},
		work,
	}
}

// pauses returns several pauses of VMs, after which flows that opened meanwhile come back to them.
func pauses(rng *rand.Rand, latest time.Duration) (list []Disruption) {
	for range 1 + rng.IntN(3) {
		list = append(list, Disruption{
			Kind: "vm_pause", At: inMilliseconds(uniform(rng, 0, latest)), For: inMilliseconds(uniform(rng, 300*time.Millisecond, 4500*time.Millisecond)),
			Share: uniformFloat(rng, 0.05, 0.3),
		})
	}
	return list
}

// restartsOfADomain returns restarts of targets of one failure domain, after short and long stops,
// close to each other.
func restartsOfADomain(rng *rand.Rand, site *Site, latest time.Duration) (list []Disruption) {
	at := uniform(rng, 0, latest)
	for range 1 + rng.IntN(3) {
		list = append(list, Disruption{
			Kind: "target_restart", At: inMilliseconds(min(at, latest)), For: inMilliseconds(uniform(rng, 100*time.Millisecond, 3*time.Second)),
			Share: []float64{1, 0.5, 0.05}[rng.IntN(3)], Domain: site.Domains[rng.IntN(len(site.Domains))],
		})
		at += uniform(rng, 0, 4*time.Second)
	}
	return list
}

// restartTargets restarts targets of one failure domain, of all services or one.
func (s *disruptor) restartTargets(d Disruption) {
	const spread = 50 * time.Millisecond
	domain := s.domainIndex(d)
	var list []*target
	for _, t := range s.targets.all {
		if t.up && !t.draining && t.node.domain == domain && (d.Scope == "" || d.Scope == t.service.Name) {
			list = append(list, t)
		}
	}
	s.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, t := range list[:d.countOf(len(list))] {
		t.restartAfter(d.For.D() + uniform(s.rng, 0, spread))
	}
}

func (s *disruptor) loseAnswers(d Disruption) {
	s.targets.answerLoss = d.Magnitude
	s.timeline.after(d.For.D(), func() { s.targets.answerLoss = 0 })
}
