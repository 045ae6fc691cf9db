package main

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"sync"
	"syscall"
	"time"
)

const (
	zone = "luz-a"
	// downTime is how long the backends of the zone are down: cold_return, for_s = 4.5.
	downTime = 4500 * time.Millisecond
	// coldTime is cold_start_s.
	coldTime = 2 * time.Second
	// coldRate is cold_per_s.
	coldRate = 6
)

// tally counts the attempts of consumers through each node, by whether they were answered.
type tally struct {
	mu       sync.Mutex
	answered map[string]int
	failed   map[string]int
}

func newTally() *tally { return &tally{answered: make(map[string]int), failed: make(map[string]int)} }

func (t *tally) count(node string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ok {
		t.answered[node]++
	} else {
		t.failed[node]++
	}
}

// question is the case of an operator who asks a VM why a flow does not open, while the backends of
// the zone are cold.
func question(f *fleet, trouble bool) error {
	f.bounds = "[cold]\noverage = 1.5\nslack = 5\n"
	f.applyMS = 5000
	address := netip.MustParseAddrPort("198.18.0.1:8443")
	f.putConfig(
		[]route{{Name: "r-tip-post", Host: "198.18.0.1", Prefix: "/8443/", Kind: "unsafe", Timeout: 2500, Target: 400, Priority: 1, Service: "tip-ledger", Attempts: 2}},
		[]serviceEntry{{Name: "tip-ledger", HealthPath: "/health", Connections: 3187, ColdSeconds: coldTime.Seconds(), ColdPerS: coldRate}},
	)
	const backends = 3
	var servers []*backend
	for i := range backends {
		b, err := f.addBackend(fmt.Sprintf("i-%x", 0xa10+i), "tip-ledger", zone, 1+i, 0)
		if err != nil {
			return err
		}
		servers = append(servers, b)
	}
	for i := range 3 {
		if _, err := f.addVM(1+i, zone); err != nil {
			return err
		}
	}
	f.checkReadiness()
	if !f.awaitRotation(10 * time.Second) {
		return errors.New("the VMs did not get into rotation")
	}
	c, err := f.addConsumer(1)
	if err != nil {
		return err
	}
	before := newTally()
	f.drive(c, address, before, nil, 12*time.Second)
	for _, v := range f.vms {
		f.record.logf("before: %s answered %d, failed %d", v.name, before.answered[v.name], before.failed[v.name])
		if before.answered[v.name] == 0 {
			return fmt.Errorf("%s served nothing before the disruption", v.name)
		}
	}
	if trouble {
		f.record.logf("disruption: cold_return, the backends of %s are down for %s and come back together, cold for %s", zone, downTime, coldTime)
		for _, b := range servers {
			b.end()
			b.removeEntry()
		}
		time.Sleep(downTime)
		for i := range servers {
			if servers[i], err = f.addBackend(fmt.Sprintf("i-%x", 0xb20+i), "tip-ledger", zone, 1+i, coldTime); err != nil {
				return err
			}
		}
	} else {
		time.Sleep(downTime)
	}
	time.Sleep(700 * time.Millisecond) // the permits are claimed and shared
	for _, b := range servers {
		b.loseSYNs(1)
	}
	f.drive(c, address, newTally(), f.ask, 1200*time.Millisecond)
	time.Sleep(2 * time.Second) // all backends are warm
	return f.judgeQuestion(c, address)
}

// drive opens flows one after the other, each with one request, for a time. For a flow that has not
// opened when its first copy is due, it calls ask.
func (f *fleet) drive(c *consumer, address netip.AddrPort, t *tally, ask func(v *vm, flow *clientFlow), length time.Duration) {
	var tasks sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		flow := c.newFlow(address)
		v := f.nodeOf(flow.src, flow.dst)
		tasks.Go(func() {
			err := flow.open(func(n int) {
				if n == 1 && ask != nil {
					ask(v, flow)
				}
			})
			text, id := fmt.Sprintf("post from %s", flow.src), ""
			if err == nil {
				id, err = flow.request(text, 2500*time.Millisecond)
				flow.abort()
			}
			f.record.logf("consumer: %q through %s: answered by %q, %v", text, v.name, id, err)
			t.count(v.name, err == nil)
		})
	}
	tasks.Wait()
}

// ask asks a VM why a flow does not open, with the call of docs/OPERATIONS.md and of
// "gypsumctl flow explain".
func (f *fleet) ask(v *vm, flow *clientFlow) {
	query := url.Values{"caller": {flow.src.String()}, "address": {flow.dst.String()}}
	status, body := get("http://" + v.at(controlPort).String() + "/v1/explain?" + query.Encode())
	f.record.logf("operator asks %s about %s: status %d, %s", v.name, flow.src, status, body)
}

// judgeQuestion checks that each VM still forwards, and ends when it is told to.
func (f *fleet) judgeQuestion(c *consumer, address netip.AddrPort) error {
	const length = 6 * time.Second
	ticks := make(map[*vm]int)
	for _, v := range f.vms {
		ticks[v] = v.cpuTicks()
	}
	started, after := time.Now(), newTally()
	f.drive(c, address, after, nil, length)
	elapsed := time.Since(started).Seconds()
	for _, v := range f.vms {
		const ticksPerSecond = 100
		load := float64(v.cpuTicks()-ticks[v]) / ticksPerSecond / elapsed
		status, _ := get("http://" + v.at(controlPort).String() + "/v1/status")
		f.record.logf("after: %s answered %d, failed %d, uses %.2f of a core, ready %t, /v1/status %d",
			v.name, after.answered[v.name], after.failed[v.name], load, v.ready(), status)
		if after.answered[v.name] == 0 && after.failed[v.name] >= 10 {
			f.record.breach("%s forwards nothing any more for %s and does not hand back the processor: %.2f of a core; it is in rotation (ready: %t)", v.name, length, load, v.ready())
		}
	}
	for _, v := range f.vms {
		v.signal(syscall.SIGTERM)
	}
	deadline := time.Now().Add(6 * time.Second)
	for _, v := range f.vms {
		if !v.ended(time.Until(deadline)) {
			f.record.breach("%s does not end within grace_s after SIGTERM", v.name)
		}
	}
	return nil
}
