package main

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	silentZone = "wales-west-b"
	// firstInLine and secondInLine are the numbers of the machines that keep the zone's knowledge
	// of the store new, in the order in which they take over.
	firstInLine, secondInLine = 2, 1
	configApply               = 3 * time.Second
	stableWindow              = 4 * time.Second
	killedFor                 = 3500 * time.Millisecond
	idleTime                  = 5 * time.Second // of the connections that go silent
)

// probe opens flows to an address through one node, one after the other, and records the last one
// that ran.
type probe struct {
	mu      sync.Mutex
	lastRun time.Time // time at which the consumer sent the opening packet
	ran     int
}

// silentConnections is the case of idle connections to the store that have gone silent, and of two
// machines (one with MACHINES=1) that are killed right after a change of the configuration.
func silentConnections(f *fleet, trouble bool) error {
	f.bounds = "[cold]\n"
	kept := route{Name: "r-stream", Host: "198.18.0.1", Prefix: "/8443/", Kind: "safe", Timeout: 1500, Target: 250, Priority: 2, Service: "trackhub", Attempts: 2}
	dropped := kept
	dropped.Name, dropped.Prefix = "r-dropped", "/8444/"
	services := []serviceEntry{{Name: "trackhub", HealthPath: "/health", Connections: 4286}}
	f.putConfig([]route{kept, dropped}, services)
	for i := range 5 {
		if _, err := f.addBackend(fmt.Sprintf("i-%x", 0xa10+i), "trackhub", silentZone, 1+i, 0); err != nil {
			return err
		}
	}
	for i := range 4 {
		if _, err := f.addVM(1+i, silentZone); err != nil {
			return err
		}
	}
	f.checkReadiness()
	if !f.awaitRotation(10 * time.Second) {
		return errors.New("the VMs did not get into rotation")
	}
	time.Sleep(12 * time.Second)
	for _, v := range f.vms {
		status, body := get("http://" + v.at(controlPort).String() + "/v1/status")
		f.record.logf("%s: status %d, %.120s", v.name, status, body)
		n, all := 0, 0
		if trouble {
			n, all = v.proxy.silence(idleTime)
		}
		f.record.logf("%s: %d of its %d connections to the store, those idle for %s, go silent", v.name, n, all, idleTime)
	}
	time.Sleep(stableWindow + 2*time.Second)
	kept.Timeout = 1600
	f.putConfig([]route{kept, dropped}, services)
	time.Sleep(100 * time.Millisecond)
	killed := map[*vm]bool{}
	if trouble {
		line := []int{firstInLine, secondInLine}
		if os.Getenv("MACHINES") == "1" {
			line = line[:1]
		}
		for _, n := range line {
			v := f.vms[n-1]
			killed[v] = true
			v.signal(syscall.SIGKILL)
			time.AfterFunc(killedFor, func() { _ = v.start() })
		}
	}
	time.Sleep(20 * time.Millisecond)
	f.putConfig([]route{kept}, services)
	acked := time.Now()
	var tasks sync.WaitGroup
	for i, v := range f.vms {
		if killed[v] {
			continue
		}
		c, err := newConsumer(netip.AddrPortFrom(f.ip(consumerKind, 1+i), packetsPort), func(netip.AddrPort, netip.AddrPort) netip.AddrPort { return v.at(packetsPort) }, f.record)
		if err != nil {
			return err
		}
		f.consumers = append(f.consumers, c)
		tasks.Go(func() {
			var p probe
			var flows sync.WaitGroup
			for time.Since(acked) < 6*time.Second {
				flows.Go(func() { p.try(f, c, netip.MustParseAddrPort("198.18.0.1:8444"), v, acked) })
				time.Sleep(20 * time.Millisecond)
			}
			flows.Wait()
			late := p.lastRun.Sub(acked)
			f.record.logf("%s: the last request that ran with the dropped route was sent %s after the acknowledgement", v.name, late)
			if late > configApply {
				f.record.breach("%s, in touch, has a request run with a route that a version had dropped %s before; %s are allowed", v.name, late, configApply)
			}
		})
	}
	tasks.Wait()
	return nil
}

func (p *probe) try(f *fleet, c *consumer, address netip.AddrPort, v *vm, acked time.Time) {
	flow := c.newFlow(address)
	sent := time.Now()
	err := flow.open(nil)
	id := ""
	if err == nil {
		id, err = flow.request("feed from "+flow.src.String(), 1500*time.Millisecond)
		flow.abort()
	}
	f.record.logf("consumer: sent %s after the acknowledgement through %s: answered by %q, %v", sent.Sub(acked), v.name, id, err)
	if err == nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.ran++
		if sent.After(p.lastRun) {
			p.lastRun = sent
		}
	}
}
