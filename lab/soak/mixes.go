package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

const (
	// mixWeight and domainLossWeight are the weights of mixes, for which faults has weights as well.
	mixWeight        = 5
	domainLossWeight = 4
	// coldTime is how long a target is cold after a restart, and coldPerSecond the number of requests
	// that it bears in a second. Its limit of new flows in a second is coldPerSecond x coldOverage +
	// coldSlack.
	coldTime      = 2 * time.Second
	coldPerSecond = 4
	coldOverage   = 1.5
	coldSlack     = 5
	// storeSettleTime is the time after a disturbance of the store from which all VMs learn of a
	// restart at once.
	storeSettleTime = 1500 * time.Millisecond
)

// injectMixes injects, at random times until the deadline, mixes of faults and planned work that
// have broken flows or limits before. It draws from a random stream of its own, as injectRewinds.
func (f *fleet) injectMixes(deadline time.Time, meanGap time.Duration, trace func(string)) {
	const stream = 2
	f.injectOneOf([]func(*rand.Rand) string{f.loseAnswersThenStop, f.pauseWhileFlowsRest, f.restartDomain}, stream, mixWeight, deadline, meanGap, trace)
}

// injectDomainLosses injects losses of all VMs of a failure domain while flows open, at random times
// until the deadline.
func (f *fleet) injectDomainLosses(deadline time.Time, meanGap time.Duration, trace func(string)) {
	const stream = 3
	f.injectOneOf([]func(*rand.Rand) string{f.loseDomainThenStop}, stream, domainLossWeight, deadline, meanGap, trace)
}

// injectOneOf injects one of several mixes at random times, at a rate given by their weight among that of
// the faults.
func (f *fleet) injectOneOf(mixes []func(*rand.Rand) string, stream uint64, weight float64, deadline time.Time, meanGap time.Duration, trace func(string)) {
	rng := rand.New(rand.NewPCG(f.seed, stream))
	total := 0
	for _, x := range faults() {
		total += x.weight
	}
	gap := float64(meanGap) * float64(total) / weight
	for f.sleep(time.Duration(rng.ExpFloat64()*gap)) && time.Now().Before(deadline) {
		trace(mixes[rng.IntN(len(mixes))](rng))
		f.mu.Lock()
		f.counts.Faults++
		f.counts.Mixes++
		f.mu.Unlock()
	}
}

// loseAnswersThenStop loses a part of the targets' answers to SYNs for a time, and stops a VM while
// targets may still repeat them.
func (f *fleet) loseAnswersThenStop(rng *rand.Rand) string {
	rate := 0.05 + 0.4*rng.Float64()
	length := time.Second + time.Duration(rng.Int64N(int64(time.Second)))
	delay := length/2 + time.Duration(rng.Int64N(int64(3*time.Second)))
	v := f.vms[rng.IntN(len(f.vms))]
	f.setAnswerLoss(rate)
	f.after(length, func() { f.setAnswerLoss(0) })
	f.after(delay, func() { v.signal(syscall.SIGTERM, true) })
	return fmt.Sprintf("%.2f of the answers to SYNs are lost for %s, %s stops after %s", rate, length, v.name, delay)
}

// loseDomainThenStop kills, pauses or stops all VMs of a failure domain, so that flows open through VMs
// of both, while a part of the targets' answers to SYNs is lost. It stops or kills a VM of one of the
// domains while targets may still repeat them.
func (f *fleet) loseDomainThenStop(rng *rand.Rand) string {
	const killInterval = 100 * time.Millisecond // processes start again at once
	rate := []float64{0.05, 0.2, 0.45}[rng.IntN(3)]
	away := 400*time.Millisecond + time.Duration(rng.Int64N(int64(1200*time.Millisecond)))
	domain := rng.IntN(domains)
	how := []string{"killed", "paused", "stopped"}[rng.IntN(3)]
	f.setAnswerLoss(rate)
	f.after(away+time.Second, func() { f.setAnswerLoss(0) })
	for i, v := range f.vms[domain*vmsPerDomain : (domain+1)*vmsPerDomain] {
		switch how {
		case "killed":
			for at := time.Duration(0); at < away; at += killInterval {
				f.after(at, func() { v.signal(syscall.SIGKILL, true) })
			}
		case "paused":
			v.signal(syscall.SIGSTOP, false)
			f.after(away+time.Duration(i)*killInterval, func() { v.signal(syscall.SIGCONT, false) })
		default:
			f.after(time.Duration(i)*killInterval, func() { v.signal(syscall.SIGTERM, true) })
		}
	}
	delay := away + time.Duration(rng.Int64N(int64(5*time.Second)))
	last := f.vms[rng.IntN(len(f.vms))]
	end := []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGKILL}[rng.IntN(3)]
	f.after(delay, func() { last.signal(end, true) })
	return fmt.Sprintf("VMs of %s are %s for %s, %.2f of the answers to SYNs are lost, %s gets %s after %s", domainName(domain), how, away, rate, last.name, end, delay)
}

func (f *fleet) setAnswerLoss(rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		t.LoseAnswers(rate)
	}
}

// pauseWhileFlowsRest pauses a VM long enough for routers to move its flows.
func (f *fleet) pauseWhileFlowsRest(rng *rand.Rand) string {
	v := f.vms[rng.IntN(len(f.vms))]
	length := 500*time.Millisecond + time.Duration(rng.Int64N(int64(3*time.Second)))
	v.signal(syscall.SIGSTOP, false)
	f.after(length, func() { v.signal(syscall.SIGCONT, false) })
	return fmt.Sprintf("pause %s for %s while flows rest", v.name, length)
}

// restartDomain ends targets of a failure domain and starts them again under their ids, cold.
func (f *fleet) restartDomain(rng *rand.Rand) string {
	domain := domainName(rng.IntN(domains))
	downtime := 100*time.Millisecond + time.Duration(rng.Int64N(int64(2900*time.Millisecond)))
	if !f.awaitQuietStore(downtime + coldTime) {
		return "no restart, the run ends"
	}
	f.mu.Lock()
	var list []*target
	for _, t := range f.targets {
		if t.up && !t.draining && t.domain == domain {
			list = append(list, t)
		}
	}
	f.mu.Unlock()
	if rng.IntN(2) == 0 && len(list) > 1 {
		list = list[:1]
	}
	for _, t := range list {
		t.SetDown(true)
	}
	f.after(downtime, func() {
		for _, t := range list {
			f.startAgain(t)
		}
	})
	return fmt.Sprintf("%d targets of %s restart after %s", len(list), domain, downtime)
}

// startAgain starts a target again under its id, and checks its limit when it is warm.
func (f *fleet) startAgain(t *target) {
	f.mu.Lock()
	if !t.up {
		f.mu.Unlock()
		return
	}
	startedAt := time.Now()
	t.born, t.coldUntil = startedAt, startedAt.Add(coldTime)
	t.SetDown(false)
	f.mu.Unlock()
	f.putEntry(t)
	f.after(coldTime, func() { f.checkColdLimit(t, startedAt) })
}

// checkColdLimit checks the new flows that a target took while it was cold since startedAt. VMs that
// can't reach the store do not learn of the restart: docs/design/cold-targets.md.
func (f *fleet) checkColdLimit(t *target, startedAt time.Time) {
	const limit = coldPerSecond*coldOverage + coldSlack
	openings := t.Openings()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !t.born.Equal(startedAt) || !t.up || f.storeTrouble.Add(storeSettleTime).After(startedAt) || time.Since(f.lastStall) < coldTime+time.Second {
		return
	}
	f.counts.ColdStarts++
	openings = slices.DeleteFunc(openings, func(at time.Time) bool { return at.After(startedAt.Add(coldTime)) })
	for i, first := range openings {
		n := 0
		for _, at := range openings[i:] {
			if at.Sub(first) < time.Second {
				n++
			}
		}
		if n > limit {
			f.violations = append(f.violations, fmt.Sprintf("cold target %s got %d new flows in a second, its limit is %v", t.Name, n, limit))
			return
		}
	}
}

// awaitQuietStore waits until the store has not been disturbed for storeSettleTime, and keeps other
// faults from disturbing it for d. It returns false if the run ends before.
func (f *fleet) awaitQuietStore(d time.Duration) bool {
	f.mu.Lock()
	wait := max(time.Until(f.storeTrouble.Add(storeSettleTime)), 0)
	f.quietUntil = time.Now().Add(wait + d)
	f.mu.Unlock()
	return f.sleep(wait)
}

// storeIsQuiet reports whether the store must not be disturbed now.
func (f *fleet) storeIsQuiet() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.quietUntil)
}

// recordStoreTrouble records that the store, or a VM's connection to it, is disturbed for a time.
func (f *fleet) recordStoreTrouble(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if end := time.Now().Add(d); end.After(f.storeTrouble) {
		f.storeTrouble = end
	}
}
