package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// oneRoute is a config with one route to the service trackhub.
func oneRoute(version int, service string, timeoutMillis int, kind string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-checkin", "host": "127.99.0.1", "prefix": "/8443/", "route_type": kind,
			"timeout_ms": timeoutMillis, "target_latency_ms": 300, "priority": 1, "service": service, "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": "trackhub", "health_path": "/health", "max_connections": 4286}},
		"limits":   map[string]any{"idle_timeout_ms": 15000},
	}
}

var routeAddress = netip.MustParseAddrPort("127.99.0.1:8443")

// smallFleet starts a deployment like cadair-live: 15 nodes and 15 backends in 3 zones, and
// perZone consumers in each zone.
func smallFleet(f *fleet, perZone int) ([]*consumer, error) {
	f.store.put("op/config", oneRoute(7, "trackhub", 2000, "unsafe"))
	if err := f.addBackends("trackhub", 5, "127.79.%d.%d"); err != nil {
		return nil, err
	}
	for i := range 5 {
		for z, zone := range zones {
			f.addNode(fmt.Sprintf("front-%s-%d", zone, i+1), zone, fmt.Sprintf("127.78.%d.%d", z+1, i+1))
		}
	}
	if err := f.startAll(); err != nil {
		return nil, err
	}
	var consumers []*consumer
	for z, zone := range zones {
		for i := range perZone {
			c, err := newConsumer(f, fmt.Sprintf("127.77.%d.%d", z+1, i+1), zone)
			if err != nil {
				return nil, err
			}
			consumers = append(consumers, c)
		}
	}
	return consumers, nil
}

// halfOpen: the first SYN+ACK of a few flows is lost, so that the flow's SYN goes to a second
// backend. Some seconds later nodes are stopped as planned. The flows are asked again then.
func halfOpen(f *fleet, trouble bool) ([]string, error) {
	const (
		flowCount = 1500
		lostOf    = 33 // one SYN+ACK of so many is lost
		stopGap   = 1300 * time.Millisecond
	)
	consumers, err := smallFleet(f, 2)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	synAcks, lost := 0, make(map[netip.AddrPort]bool)
	for _, b := range f.backends {
		b.lose = func(_ *backend, p packet) bool {
			if !trouble || p.flags != flagSYN|flagACK {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			synAcks++
			if synAcks%lostOf != 0 || lost[p.dst] {
				return false
			}
			lost[p.dst] = true
			return true
		}
	}
	var wg sync.WaitGroup
	flows := make([]*flow, flowCount)
	first := make([]error, flowCount)
	for i := range flowCount {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := consumers[i%len(consumers)]
			for range 3 { // a consumer tries again where its flow doesn't open
				if flows[i], first[i] = c.open(routeAddress); first[i] == nil {
					break
				}
			}
			if first[i] == nil {
				_, first[i] = flows[i].request(fmt.Sprintf("q%d-1", i), "POST", 600, 2*time.Second)
			}
		}()
		time.Sleep(1500 * time.Microsecond)
	}
	wg.Wait()
	for _, b := range f.backends {
		b.mu.Lock()
		b.lose = nil
		b.mu.Unlock()
	}
	// stableWindow after the last lost datagram nothing counts as disturbed by it.
	time.Sleep(stableWindow + 200*time.Millisecond)
	if trouble {
		for z := range zones {
			n := f.nodes[z]
			go func() {
				f.planStop(n)
				if err := f.start(n); err != nil {
					f.rec.log("%s can't be started again: %v", n.name, err)
				}
			}()
			time.Sleep(stopGap)
		}
	} else {
		time.Sleep(time.Duration(len(zones)) * stopGap)
	}
	var broken []string
	unanswered := 0
	for i := range flowCount {
		if first[i] != nil {
			f.rec.log("flow %d had no first answer: %v", i, first[i])
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("q%d-2", i)
			_, err := flows[i].request(id, "POST", 600, 2*time.Second)
			if err == nil {
				return
			}
			f.rec.log("request %s: %v", id, err)
			mu.Lock()
			defer mu.Unlock()
			unanswered++
			for _, b := range f.backends {
				if flows[i].reset != "" && b.holds(flows[i].local) {
					broken = append(broken, fmt.Sprintf("FLOW: flow %s was reset by %s; its own backend %s lives and holds it, and has not reset it; request %s is lost", flows[i].local, flows[i].reset, b.id, id))
				}
			}
		}()
		time.Sleep(time.Millisecond)
	}
	wg.Wait()
	f.rec.log("%d flows, %d lost SYN+ACKs, %d second requests without an answer", flowCount, len(lost), unanswered)
	if trouble && len(lost) == 0 {
		return nil, errNothing
	}
	return broken, nil
}
