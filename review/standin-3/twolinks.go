package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

const (
	linkZone = "wales-west-a"
	// fullLinks is how many of the consumers have a full link, fullTime for how long, and fullLoss
	// the share of the datagrams to them that are lost meanwhile.
	fullLinks  = 2
	fullTime   = 3 * time.Second
	fullLoss   = 0.7
	fullRounds = 8
	// Flows of a consumer with a full link, and of another one, and their longest pauses.
	busyFlows, restingFlows = 20, 60
	busyPause, restingPause = 0.3, 8.0 // seconds
)

// linkTally counts the flows of consumers whose links are not disturbed.
type linkTally struct {
	mu            sync.Mutex
	opened, reset int
}

// twoLinks is the case of two consumers whose links are full at the same time. The flows of the
// others are judged.
func twoLinks(f *fleet, trouble bool) error {
	f.bounds = "[cold]\n"
	address := netip.MustParseAddrPort("198.18.0.1:8080")
	f.putConfig(
		[]route{{Name: "r-dot-stream", Host: "198.18.0.1", Prefix: "/8080/", Kind: "safe", Timeout: 1500, Target: 250, Priority: 2, Service: "trackhub", Attempts: 2}},
		[]serviceEntry{{Name: "trackhub", HealthPath: "/health", Connections: 4286}},
	)
	for i := range 5 {
		b, err := f.addBackend(fmt.Sprintf("i-%x", 0xa10+i), "trackhub", linkZone, 1+i, 0)
		if err != nil {
			return err
		}
		b.mu.Lock()
		b.repeats = true
		b.mu.Unlock()
	}
	for i := range 4 {
		if _, err := f.addVM(1+i, linkZone); err != nil {
			return err
		}
	}
	f.checkReadiness()
	if !f.awaitRotation(10 * time.Second) {
		return errors.New("the VMs did not get into rotation")
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	var t linkTally
	var full []*consumer
	for i := range 6 {
		c, err := f.addConsumer(1 + i)
		if err != nil {
			return err
		}
		c.mu.Lock()
		c.acks = true
		c.mu.Unlock()
		if i < fullLinks {
			full = append(full, c)
			for range busyFlows {
				tasks.Go(func() { f.useFlows(c, address, busyPause, nil, stop) })
			}
			continue
		}
		for range restingFlows {
			tasks.Go(func() { f.useFlows(c, address, restingPause, &t, stop) })
		}
	}
	time.Sleep(6 * time.Second)
	for round := range fullRounds {
		if trouble {
			f.record.logf("disruption %d: the links to %d of 6 consumers are full for %s", round, fullLinks, fullTime)
			setLoss(full, fullLoss)
		}
		time.Sleep(fullTime)
		setLoss(full, 0)
		time.Sleep(5 * time.Second)
	}
	close(stop)
	tasks.Wait()
	f.record.logf("%d of %d flows of the other consumers were reset by the system while their backends lived and had them", t.reset, t.opened)
	return nil
}

func setLoss(list []*consumer, share float64) {
	for _, c := range list {
		c.mu.Lock()
		c.lossIn = share
		c.mu.Unlock()
	}
}

// useFlows makes requests on a flow, and opens another one when it fails, until stop is closed. t is
// nil for consumers whose flows are not judged.
func (f *fleet) useFlows(c *consumer, address netip.AddrPort, pause float64, t *linkTally, stop chan struct{}) {
	for {
		flow := c.newFlow(address)
		err := flow.open(nil)
		if err == nil && t != nil {
			t.mu.Lock()
			t.opened++
			t.mu.Unlock()
		}
		for n := 0; err == nil; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.Float64() * pause * float64(time.Second))):
			}
			own := f.ownerOf(flow.src)
			_, err = flow.request(fmt.Sprintf("request %d from %s", n, flow.src), 1500*time.Millisecond)
			if t != nil && err != nil {
				f.record.logf("consumer: request %d from %s, own backend %s: %v", n, flow.src, idOf(own), err)
			}
			if t != nil && errors.Is(err, errSystemReset) && own != nil && own.has(flow.src) {
				t.mu.Lock()
				t.reset++
				t.mu.Unlock()
				f.record.breach("flow %s is %v; its backend %s lives and has the flow", flow.src, err, own.id)
			}
		}
		flow.forget()
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}
