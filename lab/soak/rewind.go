package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gypsumspan/gypsumspan/store"
)

const (
	// rewindWeight is the weight of rewinds, for which faults has weights as well.
	rewindWeight = 2
	// maxRewindAge is the largest age of the copy from which the store returns.
	maxRewindAge = 3 * time.Second
	// maxRewindOutage is how long the store is unavailable at most before it returns.
	maxRewindOutage = time.Second
	// maxRewrite is the time after its return in which operator and targets have written
	// again what they wrote.
	maxRewrite = 2 * time.Second
)

// injectRewinds rewinds the store at random times until the deadline. It draws from a random
// stream of its own, so that the other faults of a seed do not depend on it.
func (f *fleet) injectRewinds(deadline time.Time, meanGap time.Duration, trace func(string)) {
	rng := rand.New(rand.NewPCG(f.seed, 1))
	total := 0
	for _, x := range faults() {
		total += x.weight
	}
	gap := float64(meanGap) * float64(total) / rewindWeight
	for f.sleep(time.Duration(rng.ExpFloat64()*gap)) && time.Now().Before(deadline) {
		trace(f.rewindStore(rng))
		f.mu.Lock()
		f.counts.Faults++
		f.counts.Rewinds++
		f.mu.Unlock()
	}
}

// rewindStore returns the store to a copy some seconds old, once or twice in a row, each time
// after a brief outage, and then has operator and targets write again.
func (f *fleet) rewindStore(rng *rand.Rand) string {
	draw := func(limit time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(limit))) }
	age, outage, rewrite := draw(maxRewindAge), draw(maxRewindOutage), draw(maxRewrite)
	if f.storeIsQuiet() {
		return "no rewind, the store is to be quiet"
	}
	backup := f.engine.Copy()
	f.sleep(age)
	times := 1
	if rng.IntN(3) == 0 {
		times = 2 // the second time before all VMs have followed the first
	}
	f.recordStoreTrouble(time.Duration(times) * (outage + rewrite))
	for range times {
		f.engine.SetOutage(true)
		f.sleep(outage)
		f.engine.Rewind(backup)
		f.engine.SetOutage(false)
		f.sleep(rewrite)
	}
	f.writeAgain()
	return fmt.Sprintf("store returns %d times from a copy %s old, each time out for %s, written again after %s", times, age, outage, rewrite)
}

// writeAgain writes the configuration and the entries of the targets, and removes the entries
// that were removed before.
func (f *fleet) writeAgain() {
	f.writing.Lock()
	defer f.writing.Unlock()
	f.putConfiguration()
	f.mu.Lock()
	targets := f.targets
	f.mu.Unlock()
	for _, t := range targets {
		f.mu.Lock()
		entry, up, removed := t.entry(), t.up, t.removed
		f.mu.Unlock()
		switch {
		case removed:
			f.put(store.Txn{Deletes: []string{entry.Delete()}})
		case up:
			f.put(store.Txn{Puts: []store.Put{entry.Put()}})
		}
	}
}

// putEntry writes the entry of a target.
func (f *fleet) putEntry(t *target) {
	f.writing.Lock()
	defer f.writing.Unlock()
	f.mu.Lock()
	entry := t.entry()
	f.mu.Unlock()
	f.put(store.Txn{Puts: []store.Put{entry.Put()}})
}

// removeEntry removes the entry of a target that has ended.
func (f *fleet) removeEntry(t *target) {
	f.writing.Lock()
	defer f.writing.Unlock()
	f.mu.Lock()
	t.removed = true
	entry := t.entry()
	f.mu.Unlock()
	f.put(store.Txn{Deletes: []string{entry.Delete()}})
}
