package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	homeZone    = "tas-north-a"
	nearestZone = "tas-north-b"
	// consumerDelay and zoneDelay are the site's, one way.
	consumerDelay = 3 * time.Millisecond
	zoneDelay     = 1400 * time.Microsecond
	// cycles is how often the machines of the zone are lost, and cycleOpens the rate of new flows
	// while they come back.
	cycles     = 3
	cycleOpens = 600.0
	// machinesDown is for how long the machines are killed: herd_kill, for_s = 2.0.
	machinesDown = 2 * time.Second
	// restTime is for how long the flows rest. A backend gives a flow up that has not opened after
	// 9.4 s; the idle time-out of flows is 15 s.
	restTime = 9600 * time.Millisecond
	// requestPause is the time between two requests after the rest.
	requestPause = 5 * time.Millisecond
	// lostAnswers is the share of the flows whose first SYN+ACK is lost.
	lostAnswers = 0.03
)

// twoZones is the case of flows that are opened while the machines of a zone come back, so that the
// copies of their SYNs go to a machine of another zone than the SYNs.
func twoZones(f *fleet, trouble bool) error {
	f.bounds = "[cold]\n"
	address := netip.MustParseAddrPort("198.18.0.1:8080")
	f.putConfig(
		[]route{{Name: "r-tare-sample", Host: "198.18.0.1", Prefix: "/8080/", Kind: "unsafe", Timeout: 2500, Target: 250, Priority: 1, Service: "weighbridge", Attempts: 2}},
		[]serviceEntry{{Name: "weighbridge", HealthPath: "/health", Connections: 4500}},
	)
	for i := range 6 {
		zone, delay := homeZone, consumerDelay
		if i%2 == 1 {
			zone, delay = nearestZone, consumerDelay+zoneDelay
		}
		b, err := f.addBackend(fmt.Sprintf("i-%x", 0xa10+i), "weighbridge", zone, 1+i, 0)
		if err != nil {
			return err
		}
		b.mu.Lock()
		b.loseFirst, b.delay = lostAnswers, delay
		b.mu.Unlock()
	}
	for i := range 4 {
		if _, err := f.addVM(1+i, []string{homeZone, homeZone, nearestZone, nearestZone}[i]); err != nil {
			return err
		}
	}
	f.checkReadiness()
	if !f.awaitRotation(10 * time.Second) {
		return errors.New("the VMs did not get into rotation")
	}
	far := map[netip.AddrPort]bool{f.vms[2].at(packetsPort): true, f.vms[3].at(packetsPort): true}
	var consumers []*consumer
	for i := range 16 {
		c, err := f.addConsumer(1 + i)
		if err != nil {
			return err
		}
		c.delay = func(node netip.AddrPort) time.Duration {
			if far[node] {
				return consumerDelay + zoneDelay
			}
			return consumerDelay
		}
		consumers = append(consumers, c)
	}
	time.Sleep(6 * time.Second)
	for cycle := range cycles {
		if err := f.loseAndStop(cycle, consumers, address, trouble); err != nil {
			return err
		}
	}
	return nil
}

// loseAndStop kills the machines of the home zone, opens flows while they come back, lets the flows
// rest, stops one of the machines as planned, and makes a request on each flow.
func (f *fleet) loseAndStop(cycle int, consumers []*consumer, address netip.AddrPort, trouble bool) error {
	if trouble {
		f.record.logf("disruption %d: herd_kill, the machines of %s are killed, for %s", cycle, homeZone, machinesDown)
		for _, v := range f.vms[:2] {
			v.signal(syscall.SIGKILL)
		}
		time.Sleep(machinesDown - 200*time.Millisecond)
	}
	var tasks sync.WaitGroup
	var mu sync.Mutex
	var flows []*clientFlow
	started := time.Now()
	restarted := !trouble
	for time.Since(started) < 1100*time.Millisecond {
		if !restarted && time.Since(started) >= 200*time.Millisecond {
			restarted = true
			for _, v := range f.vms[:2] {
				if err := v.start(); err != nil {
					return err
				}
			}
		}
		flow := consumers[rand.IntN(len(consumers))].newFlow(address)
		tasks.Go(func() {
			if flow.open(nil) == nil {
				mu.Lock()
				defer mu.Unlock()
				flows = append(flows, flow)
			}
		})
		time.Sleep(time.Duration(rand.ExpFloat64() / cycleOpens * float64(time.Second)))
	}
	tasks.Wait()
	f.record.logf("cycle %d: %d flows are open; they rest for %s", cycle, len(flows), restTime)
	time.Sleep(restTime)
	stopped := f.vms[cycle%2]
	stopped.signal(syscall.SIGTERM) // roll_term
	time.Sleep(1300 * time.Millisecond)
	broken := 0
	for _, flow := range flows {
		time.Sleep(requestPause)
		tasks.Go(func() {
			text := "sample from " + flow.src.String()
			own := f.ownerOf(flow.src)
			id, err := flow.request(text, 2500*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			f.record.logf("consumer: %q, own backend %s: answered by %q, %v", text, idOf(own), id, err)
			reset := errors.Is(err, errReset) || errors.Is(err, errSystemReset)
			if reset && own != nil && own.has(flow.src) {
				broken++
				f.record.breach("cycle %d: flow %s is %v; its backend %s lives, has the flow and has not sent that", cycle, flow.src, err, own.id)
			}
			flow.forget()
		})
	}
	tasks.Wait()
	f.record.logf("cycle %d: %d of %d flows broken", cycle, broken, len(flows))
	if !stopped.ended(6 * time.Second) {
		return fmt.Errorf("%s did not end", stopped.name)
	}
	if err := stopped.start(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	return nil
}

// ownerOf returns the backend at which a flow is open, or nil.
func (f *fleet) ownerOf(consumer netip.AddrPort) *backend {
	for _, b := range f.backends {
		if b.has(consumer) {
			return b
		}
	}
	return nil
}

func idOf(b *backend) string {
	if b == nil {
		return "none"
	}
	return b.id
}
