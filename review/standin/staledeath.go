package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// staleDeath cuts one backend off for five seconds, so that one node finds it dead. Long
// after the cut has healed, flows that were opened at the backend through another node come
// to that node, because the other one is stopped as planned.
func staleDeath(r *record, trouble bool) error {
	const (
		nodes, backends = 3, 14
		cut             = 5 * time.Second
		work            = 40 * time.Millisecond
		deadline        = 1500 * time.Millisecond
	)
	d, err := deploy(r, nodes, backends)
	defer d.end()
	if err != nil {
		return err
	}
	c, err := newConsumer(d.ip(consumerKind, 1), d)
	if err != nil {
		return err
	}
	judge, stopped := d.nodes[0], d.nodes[1]
	through := func(n *node) func(flowKey) bool {
		return func(k flowKey) bool { return d.router.nodeOf(k) == n }
	}
	// Long flows through the node that will judge, three at most backends.
	held := map[*backend][]*flow{}
	for i := range 3 * backends {
		f := c.newFlow(d.positionsRoute(), through(judge))
		if err := f.connect(); err != nil {
			return fmt.Errorf("%w: %w", errSetup, err)
		}
		if _, err := f.request(fmt.Sprintf("open-%d", i), "GET /positions", work, deadline); err != nil {
			return fmt.Errorf("%w: %w", errSetup, err)
		}
		held[d.holder(f.key())] = append(held[d.holder(f.key())], f)
	}
	b := d.backends[0]
	if len(held[b]) < 2 {
		return fmt.Errorf("%w: %d flows at %s", errSetup, len(held[b]), b.id)
	}
	// The other flows carry a request now and then.
	stop := make(chan struct{})
	var background, wg sync.WaitGroup
	defer background.Wait()
	defer close(stop)
	for _, other := range d.backends[1:backends] {
		for i, f := range held[other] {
			background.Go(func() { keepBusy(f, fmt.Sprintf("busy-%s-%d", other.id, i), stop) })
		}
	}
	if trouble {
		r.add("disruption: backend %s is cut off", b.id)
		b.setCut(true)
	}
	start := time.Now()
	for i, f := range held[b] {
		wg.Go(func() { _, _ = f.request(fmt.Sprintf("cut-%d", i), "GET /positions", work, deadline) })
	}
	wg.Wait()
	time.Sleep(time.Until(start.Add(cut)))
	if trouble {
		r.add("disruption ends: backend %s is reached again", b.id)
		b.setCut(false)
	}
	time.Sleep(2 * time.Second)
	// New flows through the node that will be stopped; its packets go to the judging node then.
	moving := func(k flowKey) bool {
		return d.router.nodeOf(k) == stopped && d.router.nodeWithout(k, stopped) == judge
	}
	var at []*flow
	for i := range 2 * backends {
		f := c.newFlow(d.positionsRoute(), moving)
		if f.connect() != nil {
			continue
		}
		if _, err := f.request(fmt.Sprintf("new-%d", i), "GET /positions", work, deadline); err == nil && d.holder(f.key()) == b {
			at = append(at, f)
		}
	}
	if len(at) == 0 {
		return fmt.Errorf("%w: no new flow at %s", errSetup, b.id)
	}
	// The cut ended more than stable_window_ms ago, for the backend and for all nodes.
	time.Sleep(time.Until(start.Add(cut + stableWindow + time.Second)))
	r.add("planned work: %s gets SIGTERM", stopped.name)
	if err := stopped.signal(syscall.SIGTERM); err != nil {
		return err
	}
	for end := time.Now().Add(5 * time.Second); d.router.contains(stopped) && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	for i, f := range at {
		wg.Go(func() {
			id := fmt.Sprintf("moved-%d", i)
			_, err := f.request(id, "GET /positions", work, deadline)
			if reset := f.wasReset(); errors.Is(err, errReset) && reset != "a backend at "+b.conn.LocalAddr().String() {
				r.breaks("FLOW: flow %s, open at %s, which lives and was last cut off %.1f s ago, is reset by %s; request %s ran %d times",
					f.from, b.id, (time.Since(start) - cut).Seconds(), reset, id, d.ran(id))
			}
		})
	}
	wg.Wait()
	return nil
}

// keepBusy makes a request on an open flow now and then until stop is closed.
func keepBusy(f *flow, name string, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(400 * time.Millisecond):
		}
		if _, err := f.request(fmt.Sprintf("%s-%d", name, i), "GET /positions", 20*time.Millisecond, 1500*time.Millisecond); err != nil {
			return
		}
	}
}
