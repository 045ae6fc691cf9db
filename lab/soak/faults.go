package soak

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"github.com/gypsumspan/gypsumspan/store"
)

// fault disturbs a fleet; it returns what it has done.
type fault struct {
	weight int
	run    func(f *fleet) string
}

// faults are drawn by their weights.
func faults() []fault {
	return []fault{
		{3, (*fleet).killVMs},
		{3, (*fleet).stopVM},
		{2, (*fleet).pauseVM},
		{2, (*fleet).changeSettings},
		{4, (*fleet).disturbStoreConnection},
		{2, (*fleet).storeOutage},
		{1, (*fleet).dropHistory},
		{3, (*fleet).crashTarget},
		{3, (*fleet).drainTarget},
		{2, (*fleet).growService},
		{4, (*fleet).changeRoutes},
	}
}

// disturb draws faults until the time is over. They overlap.
func (f *fleet) disturb(till time.Time, meanGap time.Duration, trace func(string)) {
	list := faults()
	total := 0
	for _, x := range list {
		total += x.weight
	}
	for f.pause(time.Duration(f.rng.ExpFloat64()*float64(meanGap))) && time.Now().Before(till) {
		draw := f.rng.IntN(total)
		for _, x := range list {
			if draw < x.weight {
				trace(x.run(f))
				f.mu.Lock()
				f.counts.Faults++
				f.mu.Unlock()
				break
			}
			draw -= x.weight
		}
	}
}

// after runs work later, unless the run ends before.
func (f *fleet) after(d time.Duration, work func()) {
	f.running.Go(func() {
		if f.pause(d) {
			work()
		}
	})
}

// upTo returns a random time between a fifth of d and d.
func (f *fleet) upTo(d time.Duration) time.Duration {
	return d/5 + time.Duration(f.rng.Int64N(int64(d*4/5)))
}

func (f *fleet) anyVM() *vm { return f.vms[f.rng.IntN(len(f.vms))] }

// killVMs kills one VM or several at once, with a small chance all.
func (f *fleet) killVMs() string {
	n := 1 + f.rng.IntN(2)
	if f.rng.IntN(10) == 0 {
		n = len(f.vms)
	}
	first := f.rng.IntN(len(f.vms))
	for i := range n {
		f.vms[(first+i)%len(f.vms)].signal(syscall.SIGKILL, true)
	}
	return fmt.Sprintf("kill %d VMs from %s on", n, f.vms[first].name)
}

func (f *fleet) stopVM() string {
	v := f.anyVM()
	v.signal(syscall.SIGTERM, true)
	return "stop " + v.name
}

func (f *fleet) pauseVM() string {
	const longest = 2 * time.Second
	v := f.anyVM()
	d := f.upTo(longest)
	v.signal(syscall.SIGSTOP, false)
	f.after(d, func() { v.signal(syscall.SIGCONT, false) })
	return fmt.Sprintf("pause %s for %s", v.name, d)
}

// changeSettings writes other settings or faulty ones, with signals in a row.
func (f *fleet) changeSettings() string {
	v := f.anyVM()
	extra := []string{"[log]\nlevel = \"debug\"\n", "", "[log", "[log]\nlevel = \"loud\"\n"}[f.rng.IntN(4)]
	if err := v.writeSettings(extra); err != nil {
		f.broken("stand-in: %v", err)
	}
	for range 1 + f.rng.IntN(3) {
		v.signal(syscall.SIGHUP, false)
	}
	// A process that starts later must find good settings.
	if err := v.writeSettings(""); err != nil {
		f.broken("stand-in: %v", err)
	}
	return "change the settings of " + v.name
}

func (f *fleet) disturbStoreConnection() string {
	const longest = 3 * time.Second
	v := f.anyVM()
	mode := []proxyMode{refusing, silent, oneWay, slow}[f.rng.IntN(4)]
	d := f.upTo(longest)
	v.proxy.set(mode)
	f.after(d, func() { v.proxy.set(passing) })
	return fmt.Sprintf("store connection of %s in mode %d for %s", v.name, mode, d)
}

func (f *fleet) storeOutage() string {
	const longest = 2 * time.Second
	d := f.upTo(longest)
	f.engine.SetOutage(true)
	f.after(d, func() { f.engine.SetOutage(false) })
	return fmt.Sprintf("store outage for %s", d)
}

func (f *fleet) dropHistory() string {
	f.engine.Compact(f.engine.Revision())
	return "store drops its history"
}

// takeTarget chooses a target that may go: one of its service stays in each domain.
func (f *fleet) takeTarget() *target {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := make(map[string]int)
	var list []*target
	for _, t := range f.targets {
		if t.up && !t.draining {
			left[t.service+t.domain]++
			list = append(list, t)
		}
	}
	t := list[f.rng.IntN(len(list))]
	if left[t.service+t.domain] < 2 {
		return nil
	}
	return t
}

// crashTarget ends a target without a word. Its address may serve another service
// later.
func (f *fleet) crashTarget() string {
	t := f.takeTarget()
	if t == nil {
		return "no target to crash"
	}
	at, reused := t.Address(), f.rng.IntN(2) == 0
	f.endTarget(t)
	f.after(lapse, func() { f.put(store.Txn{Deletes: []string{t.entry().Delete()}}) })
	if reused {
		f.after(reuse, func() { f.addTarget(otherService(t.service), t.domain, at) })
	} else {
		f.after(reuse, func() { f.addTarget(t.service, t.domain, netip.AddrPort{}) })
	}
	return "crash " + t.Name
}

func otherService(service string) string {
	if service == streams {
		return checkins
	}
	return streams
}

// drainTarget replaces a target as planned: it ends once it has no flow, or later.
func (f *fleet) drainTarget() string {
	const drains = 4 * time.Second
	t := f.takeTarget()
	if t == nil {
		return "no target to drain"
	}
	f.addTarget(t.service, t.domain, netip.AddrPort{})
	f.mu.Lock()
	t.draining = true
	entry := t.entry()
	f.mu.Unlock()
	f.put(store.Txn{Puts: []store.Put{entry.Put()}})
	f.after(drains, func() {
		f.endTarget(t)
		f.put(store.Txn{Deletes: []string{entry.Delete()}})
	})
	return "drain " + t.Name
}

func (f *fleet) growService() string {
	service := []string{streams, checkins}[f.rng.IntN(2)]
	domain := domainName(f.rng.IntN(domains))
	f.addTarget(service, domain, netip.AddrPort{})
	return "add a target of " + service
}

// changeRoutes adds a route or removes one, in a row.
func (f *fleet) changeRoutes() string {
	n := 1 + f.rng.IntN(4)
	for range n {
		f.mu.Lock()
		if len(f.extra) > 0 && f.rng.IntN(2) == 0 {
			f.extra = f.extra[1:]
		} else {
			f.nextPort++
			f.extra = append(f.extra, f.nextPort)
		}
		f.mu.Unlock()
		f.configure()
	}
	return fmt.Sprintf("%d changes of routes", n)
}

// heal ends every disturbance.
func (f *fleet) heal() {
	f.engine.SetOutage(false)
	for _, v := range f.vms {
		v.proxy.set(passing)
		v.signal(syscall.SIGCONT, false)
	}
}
