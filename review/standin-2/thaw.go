package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// thaw: one node freezes for 4 s while consumers open flows. SYNs wait in its socket; the
// routers send their copies through other nodes, and the flows open there. When the node
// wakes, it forwards the old SYNs. More than stableWindow later the flows are asked again.
func thaw(f *fleet, trouble bool) ([]string, error) {
	const (
		flowCount = 600
		freeze    = 4 * time.Second
	)
	consumers, err := smallFleet(f, 2)
	if err != nil {
		return nil, err
	}
	node := f.nodes[0]
	var wg sync.WaitGroup
	flows := make([]*flow, flowCount)
	first := make([]error, flowCount)
	var frozenAt time.Time
	for i := range flowCount {
		if i == flowCount/4 {
			frozenAt = time.Now()
			if trouble {
				f.signal(node, syscall.SIGSTOP)
			}
		}
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
		time.Sleep(3 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(time.Until(frozenAt.Add(freeze)))
	if trouble {
		f.signal(node, syscall.SIGCONT)
	}
	wokenAt := time.Now()
	// The node is in touch again stableWindow after it woke.
	time.Sleep(time.Until(wokenAt.Add(stableWindow + 800*time.Millisecond)))
	var mu sync.Mutex
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
				if flows[i].reset != "" && b.holds(flows[i].local) && flows[i].resetAt.After(wokenAt.Add(stableWindow)) {
					broken = append(broken, fmt.Sprintf("FLOW: flow %s was reset by %s, %.1f s after the node woke; its own backend %s lives and holds it, and has not reset it; request %s is lost", flows[i].local, flows[i].reset, flows[i].resetAt.Sub(wokenAt).Seconds(), b.id, id))
				}
			}
		}()
		time.Sleep(2 * time.Millisecond)
	}
	wg.Wait()
	f.rec.log("%d flows, %d second requests without an answer", flowCount, unanswered)
	return broken, nil
}
