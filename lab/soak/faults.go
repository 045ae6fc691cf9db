package soak

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"
)

// fault is a kind of fault. run injects it and returns a description.
type fault struct {
	weight int
	run    func(f *fleet) string
}

// faults returns all kinds of faults. They are selected at random by weight.
func faults() []fault {
	return []fault{
		{3, (*fleet).killVMs},
		{3, (*fleet).stopVM},
		{2, (*fleet).pauseVM},
		{2, (*fleet).changeSettings},
		{4, (*fleet).disturbStoreConn},
		{2, (*fleet).storeOutage},
		{1, (*fleet).dropHistory},
		{3, (*fleet).crashTarget},
		{3, (*fleet).drainTarget},
		{2, (*fleet).growService},
		{4, (*fleet).changeRoutes},
	}
}

// injectFaults injects random faults until the deadline. Their effects may overlap.
func (f *fleet) injectFaults(deadline time.Time, meanGap time.Duration, trace func(string)) {
	list := faults()
	total := 0
	for _, x := range list {
		total += x.weight
	}
	for f.sleep(time.Duration(f.rng.ExpFloat64()*float64(meanGap))) && time.Now().Before(deadline) {
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

// after runs work after d, unless the run ends before.
func (f *fleet) after(d time.Duration, work func()) {
	f.tasks.Go(func() {
		if f.sleep(d) {
			work()
		}
	})
}

// randomDuration returns a random duration between a fifth of maxDuration and
// maxDuration.
func (f *fleet) randomDuration(maxDuration time.Duration) time.Duration {
	return maxDuration/5 + time.Duration(f.rng.Int64N(int64(maxDuration*4/5)))
}

func (f *fleet) anyVM() *vm { return f.vms[f.rng.IntN(len(f.vms))] }

// killVMs kills one or two VMs at once, or all with a probability of 0.1.
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
	const maxPause = 2 * time.Second
	v := f.anyVM()
	d := f.randomDuration(maxPause)
	v.signal(syscall.SIGSTOP, false)
	f.after(d, func() { v.signal(syscall.SIGCONT, false) })
	return fmt.Sprintf("pause %s for %s", v.name, d)
}

// changeSettings writes changed or invalid settings, and sends one to three SIGHUPs.
func (f *fleet) changeSettings() string {
	v := f.anyVM()
	extra := []string{"[log]\nlevel = \"debug\"\n", "", "[log", "[log]\nlevel = \"loud\"\n"}[f.rng.IntN(4)]
	if err := v.writeSettings(extra); err != nil {
		f.recordViolation("stand-in: %v", err)
	}
	for range 1 + f.rng.IntN(3) {
		v.signal(syscall.SIGHUP, false)
	}
	// A process that starts later must find valid settings.
	if err := v.writeSettings(""); err != nil {
		f.recordViolation("stand-in: %v", err)
	}
	return "change the settings of " + v.name
}

func (f *fleet) disturbStoreConn() string {
	const maxDisturbance = 3 * time.Second
	if f.storeIsQuiet() {
		return "no disturbance, the store is to be quiet"
	}
	v := f.anyVM()
	mode := []proxyMode{refusing, blackhole, oneWay, delayed}[f.rng.IntN(4)]
	d := f.randomDuration(maxDisturbance)
	v.proxy.set(mode)
	f.recordStoreTrouble(d)
	f.after(d, func() { v.proxy.set(passing) })
	return fmt.Sprintf("store connection of %s in mode %d for %s", v.name, mode, d)
}

func (f *fleet) storeOutage() string {
	const maxOutage = 2 * time.Second
	d := f.randomDuration(maxOutage)
	if f.storeIsQuiet() {
		return "no outage, the store is to be quiet"
	}
	f.engine.SetOutage(true)
	f.recordStoreTrouble(d)
	f.after(d, func() { f.engine.SetOutage(false) })
	return fmt.Sprintf("store outage for %s", d)
}

func (f *fleet) dropHistory() string {
	f.engine.Compact(f.engine.Revision())
	return "store drops its history"
}

// chooseTarget selects a random target, or returns nil if it is the only one of its
// service in its domain.
func (f *fleet) chooseTarget() *target {
	f.mu.Lock()
	defer f.mu.Unlock()
	remaining := make(map[string]int)
	var list []*target
	for _, t := range f.targets {
		if t.up && !t.draining {
			remaining[t.service+t.domain]++
			list = append(list, t)
		}
	}
	t := list[f.rng.IntN(len(list))]
	if remaining[t.service+t.domain] < 2 {
		return nil
	}
	return t
}

// crashTarget stops a target without draining. Half of the time a target of another
// service reuses its address.
func (f *fleet) crashTarget() string {
	t := f.chooseTarget()
	if t == nil {
		return "no target to crash"
	}
	address, reused := t.Address(), f.rng.IntN(2) == 0
	f.endTarget(t)
	f.after(entryExpiry, func() { f.removeEntry(t) })
	if reused {
		f.after(addressReuseDelay, func() { f.addTarget(otherService(t.service), t.domain, address) })
	} else {
		f.after(addressReuseDelay, func() { f.addTarget(t.service, t.domain, netip.AddrPort{}) })
	}
	return "crash " + t.Name
}

func otherService(service string) string {
	if service == streams {
		return checkins
	}
	return streams
}

// drainTarget replaces a target: it drains for drainTime, then stops.
func (f *fleet) drainTarget() string {
	const drainTime = 4 * time.Second
	t := f.chooseTarget()
	if t == nil {
		return "no target to drain"
	}
	f.addTarget(t.service, t.domain, netip.AddrPort{})
	f.mu.Lock()
	t.draining = true
	f.mu.Unlock()
	f.putEntry(t)
	f.after(drainTime, func() {
		f.endTarget(t)
		f.removeEntry(t)
	})
	return "drain " + t.Name
}

func (f *fleet) growService() string {
	service := []string{streams, checkins}[f.rng.IntN(2)]
	domain := domainName(f.rng.IntN(domains))
	f.addTarget(service, domain, netip.AddrPort{})
	return "add a target of " + service
}

// changeRoutes makes one to four changes in a row, each of which adds or removes a route.
func (f *fleet) changeRoutes() string {
	n := 1 + f.rng.IntN(4)
	for range n {
		f.mu.Lock()
		if len(f.extraRoutePorts) > 0 && f.rng.IntN(2) == 0 {
			f.extraRoutePorts = f.extraRoutePorts[1:]
		} else {
			f.lastRoutePort++
			f.extraRoutePorts = append(f.extraRoutePorts, f.lastRoutePort)
		}
		f.mu.Unlock()
		f.configure()
	}
	return fmt.Sprintf("%d changes of routes", n)
}

// endFaults ends all faults that are in progress.
func (f *fleet) endFaults() {
	f.engine.SetOutage(false)
	f.setAnswerLoss(0)
	for _, v := range f.vms {
		v.proxy.set(passing)
		v.signal(syscall.SIGCONT, false)
	}
}
