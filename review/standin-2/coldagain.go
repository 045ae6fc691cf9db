package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// Figures of the cold backends.
const (
	coldFor     = 2 * time.Second
	coldPerS    = 4.0
	coldOverage = 1.5
	coldSlack   = 5
)

// coldAgain: a backend's process ends and starts again at once, under the id that it had. Its
// entry says that it is cold. The opening packets that it takes in any second are counted.
func coldAgain(f *fleet, trouble bool) ([]string, error) {
	const (
		perSecond = 150 // new flows
		downFor   = 150 * time.Millisecond
	)
	f.apply = 5 * time.Second
	f.extra = fmt.Sprintf("evacuate_within = \"5000ms\"\n\n[cold]\noverage = %v\nslack = %d\n", coldOverage, coldSlack)
	config := oneRoute(7, "trackhub", 2000, "unsafe")
	config["services"] = []any{map[string]any{
		"name": "trackhub", "health_path": "/health", "max_connections": 4286,
		"cold_start_s": coldFor.Seconds(), "cold_per_s": coldPerS,
	}}
	f.store.put("op/config", config)
	if err := f.addBackends("trackhub", 2, "127.79.%d.%d"); err != nil {
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
		c, err := newConsumer(f, fmt.Sprintf("127.77.%d.1", z+1), zone)
		if err != nil {
			return nil, err
		}
		consumers = append(consumers, c)
	}
	var wg sync.WaitGroup
	end := time.Now().Add(16 * time.Second)
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := 0; time.Now().Before(end); i++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := consumers[i%len(consumers)]
				fl, err := c.open(routeAddress)
				if err != nil {
					f.rec.log("%v", err)
					return
				}
				if _, err := fl.request(fmt.Sprintf("q%d", i), "POST", 600, 2*time.Second); err != nil {
					f.rec.log("%v", err)
				}
			}()
			time.Sleep(time.Second / perSecond)
		}
	}()
	time.Sleep(6 * time.Second)
	b, other := f.backends[0], f.backends[1] // of one zone
	if trouble {
		f.rec.log("processes of backends %s and %s end", b.id, other.id)
		b.crash()
		other.crash()
		time.Sleep(downFor)
		for _, again := range []*backend{other, b} {
			again.mu.Lock()
			again.coldFor = coldFor
			again.mu.Unlock()
			again.restart()
			f.rec.log("process of backend %s has started again, cold for %s", again.id, coldFor)
			time.Sleep(10 * time.Millisecond)
		}
	}
	wg.Wait()
	limit := int(coldPerS*coldOverage + coldSlack)
	var broken []string
	b.mu.Lock()
	defer b.mu.Unlock()
	worst := 0
	for i, first := range b.opened {
		if first.at.Before(b.born) || first.at.After(b.born.Add(coldFor)) {
			continue
		}
		seen := make(map[netip.AddrPort]bool)
		for _, o := range b.opened[i:] {
			if o.at.Sub(first.at) >= time.Second || trouble && o.at.After(b.born.Add(coldFor)) {
				break
			}
			seen[o.flow] = true
		}
		worst = max(worst, len(seen))
		if len(seen) > limit && len(broken) == 0 {
			broken = append(broken, fmt.Sprintf("FAILBACK: cold backend %s got %d opening packets in the second from %.3f s after its start; %d are allowed", b.id, len(seen), first.at.Sub(b.born).Seconds(), limit))
		}
	}
	f.rec.log("most opening packets of backend %s in a second: %d, allowed: %d", b.id, worst, limit)
	if !trouble {
		return nil, nil // no backend is cold
	}
	return broken, nil
}
