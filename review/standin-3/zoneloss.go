package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	lostZone  = "luz-a"
	otherZone = "zug-b"
	// The machines of the zone are back after machinesBack, its backends after backendsBack.
	machinesBack = 600 * time.Millisecond
	backendsBack = 1300 * time.Millisecond
	lossRounds   = 5
	// lossColdRate is cold_per_s, and lossLimit cold_per_s x cold_overage + cold_slack.
	lossColdRate = 4
	lossLimit    = 4*1.5 + 5
	// opensPerSecond is the rate of new flows in the zone.
	opensPerSecond = 108.0
	// transit is more than the time from a consumer to a backend, so that a flow which arrives in
	// a window that is shorter by it was sent in the second.
	transit = 20 * time.Millisecond
)

// zoneLoss is the case of a zone that loses power. Its machines and its backends are back within
// 1.5 s, one of the backends under the id that it had.
func zoneLoss(f *fleet, trouble bool) error {
	return f.runLosses(trouble, f.loseZone)
}

// runLosses has backends with a limit serve new flows, and disrupts them again and again.
func (f *fleet) runLosses(trouble bool, disrupt func(round int, servers []*backend) error) error {
	f.bounds = "[cold]\noverage = 1.5\nslack = 5\n"
	f.applyMS = 5000
	address := netip.MustParseAddrPort("198.18.0.1:8443")
	f.putConfig(
		[]route{{Name: "r-tip-post", Host: "198.18.0.1", Prefix: "/8443/", Kind: "unsafe", Timeout: 2500, Target: 400, Priority: 1, Service: "tip-ledger", Attempts: 2}},
		[]serviceEntry{{Name: "tip-ledger", HealthPath: "/health", Connections: 3187, ColdSeconds: coldTime.Seconds(), ColdPerS: lossColdRate}},
	)
	servers := make([]*backend, 5)
	var err error
	for i := range servers {
		if servers[i], err = f.addBackend(fmt.Sprintf("i-%x", 0xa10+i), "tip-ledger", lostZone, 1+i, 0); err != nil {
			return err
		}
	}
	for i := range 5 {
		if _, err := f.addBackend(fmt.Sprintf("i-%x", 0xc10+i), "tip-ledger", otherZone, 101+i, 0); err != nil {
			return err
		}
	}
	for i := range 4 {
		if _, err := f.addVM(1+i, lostZone); err != nil {
			return err
		}
	}
	f.checkReadiness()
	if !f.awaitRotation(10 * time.Second) {
		return errors.New("the VMs did not get into rotation")
	}
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	for i := range 4 {
		c, err := f.addConsumer(1 + i)
		if err != nil {
			return err
		}
		tasks.Go(func() { f.openRandomly(c, address, opensPerSecond/4, stop) })
	}
	time.Sleep(14 * time.Second)
	for round := range lossRounds {
		if trouble {
			if err := disrupt(round, servers); err != nil {
				return err
			}
		}
		time.Sleep(coldTime + 4*time.Second)
		for _, b := range servers {
			f.judgeCold(round, b)
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	tasks.Wait()
	return nil
}

// loseZone takes the power from the zone, and gives it back. The old entries of backends lapse after
// three reports of silence.
func (f *fleet) loseZone(round int, servers []*backend) error {
	f.record.logf("disruption %d: zone_loss, %s is without power", round, lostZone)
	lost := time.Now()
	for _, v := range f.vms {
		v.signal(syscall.SIGKILL)
	}
	for _, b := range servers {
		b.end()
	}
	time.Sleep(time.Until(lost.Add(machinesBack)))
	for _, v := range f.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(lost.Add(backendsBack)))
	return f.restart(round, servers, 3*beatInterval-backendsBack)
}

// restart starts the backends of the zone again, the first one under its id. The old entries of the
// others lapse after a time.
func (f *fleet) restart(round int, servers []*backend, lapse time.Duration) error {
	for i, old := range servers {
		id := old.id
		if i > 0 {
			id = fmt.Sprintf("i-%x", 0xd000+0x100*round+i)
			time.AfterFunc(lapse, old.removeEntry)
		}
		b, err := f.addBackend(id, "tip-ledger", lostZone, 1+i, coldTime)
		if err != nil {
			return err
		}
		servers[i] = b
	}
	return nil
}

// openRandomly opens flows at random times, each with one request, until stop is closed. A request
// whose flow did not open is tried up to two times more, each with a new flow.
func (f *fleet) openRandomly(c *consumer, address netip.AddrPort, perSecond float64, stop chan struct{}) {
	var tasks sync.WaitGroup
	for {
		select {
		case <-stop:
			tasks.Wait()
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
		}
		tasks.Go(func() {
			for try := range 3 {
				flow := c.newFlow(address)
				text, id := fmt.Sprintf("post from %s", flow.src), ""
				err := flow.open(nil)
				opened := err == nil
				if opened {
					id, err = flow.request(text, 2500*time.Millisecond)
					flow.abort()
				}
				f.record.logf("consumer: try %d of %q answered by %q, %v", try, text, id, err)
				if opened {
					return
				}
			}
		})
	}
}

// judgeCold checks how many requests a backend has got in any second while it was cold: it took the
// opening packets of their flows, and ran them.
func (f *fleet) judgeCold(round int, b *backend) {
	b.mu.Lock()
	times, end, isCold := slices.Clone(b.taken), b.born.Add(b.coldFor), b.coldFor > 0
	b.mu.Unlock()
	if !isCold {
		return
	}
	slices.SortFunc(times, func(a, c time.Time) int { return a.Compare(c) })
	times = slices.DeleteFunc(times, func(t time.Time) bool { return !t.Before(end) })
	most, from := 0, 0
	for i := range times {
		n := 0
		for _, t := range times[i:] {
			if t.Sub(times[i]) < time.Second-transit {
				n++
			}
		}
		if n > most {
			most, from = n, i
		}
	}
	f.record.logf("round %d: backend %s got %d requests while it was cold, at most %d in a second", round, b.id, len(times), most)
	if most > lossLimit {
		f.record.breach("round %d: the cold backend %s got %d requests in the second from %s after its start; %v are allowed",
			round, b.id, most, times[from].Sub(b.born).Round(time.Millisecond), lossLimit)
	}
}
