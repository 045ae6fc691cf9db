package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// narrow: the link to one consumer is full for a while, so that seven of ten datagrams to it
// are lost. It asks on its flows meanwhile. The flows of other consumers are watched.
func narrow(f *fleet, trouble bool) ([]string, error) {
	const (
		rounds    = 8
		askers    = 20 // flows of the consumer with the narrow link
		others    = 240
		fullFor   = 3 * time.Second
		lostShare = 0.7
	)
	consumers, err := smallFleet(f, 2)
	if err != nil {
		return nil, err
	}
	narrowOne, rest := consumers[0], consumers[1:]
	var mu sync.Mutex
	full := false
	for _, b := range f.backends {
		b.lose = func(_ *backend, p packet) bool {
			mu.Lock()
			defer mu.Unlock()
			return full && p.dst.Addr() == narrowOne.ip && rand.Float64() < lostShare
		}
	}
	openAll := func(n int, from func(i int) *consumer) ([]*flow, error) {
		list := make([]*flow, n)
		for i := range n {
			fl, err := from(i).open(routeAddress)
			if err != nil {
				return nil, err
			}
			if _, err := fl.request(fmt.Sprintf("%s-%d", fl.local, 0), "GET", 0, 2*time.Second); err != nil {
				return nil, err
			}
			list[i] = fl
		}
		return list, nil
	}
	mine, err := openAll(askers, func(int) *consumer { return narrowOne })
	if err != nil {
		return nil, err
	}
	theirs, err := openAll(others, func(i int) *consumer { return rest[i%len(rest)] })
	if err != nil {
		return nil, err
	}
	time.Sleep(stableWindow)
	// The others ask now and then.
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, fl := range theirs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := rand.New(rand.NewPCG(uint64(i), 5))
			for n := 1; ; n++ {
				select {
				case <-time.After(time.Duration(r.IntN(8000)) * time.Millisecond):
				case <-stop:
					return
				}
				if _, err := fl.request(fmt.Sprintf("%s-%d", fl.local, n), "GET", 0, 2*time.Second); err != nil {
					f.rec.log("%v", err)
					return
				}
			}
		}()
	}
	time.Sleep(stableWindow)
	for round := 1; round <= rounds; round++ {
		mu.Lock()
		full = trouble
		mu.Unlock()
		f.rec.log("the link to consumer %s is full: %v", narrowOne.ip, trouble)
		var asked sync.WaitGroup
		until := time.Now().Add(fullFor)
		for i := range mine {
			asked.Add(1)
			go func() {
				defer asked.Done()
				for n := 0; time.Now().Before(until); n++ {
					_, err := mine[i].request(fmt.Sprintf("%s-%d-%d", mine[i].local, round, n), "GET", 0, 2*time.Second)
					if err == nil {
						time.Sleep(time.Duration(rand.IntN(600)) * time.Millisecond)
						continue
					}
					f.rec.log("%v", err)
					narrowOne.abort(mine[i])
					again, err := narrowOne.open(routeAddress)
					for err != nil {
						again, err = narrowOne.open(routeAddress)
					}
					mine[i] = again
				}
			}()
		}
		time.Sleep(fullFor)
		mu.Lock()
		full = false
		mu.Unlock()
		f.rec.log("the link to consumer %s is no longer full", narrowOne.ip)
		asked.Wait()
		time.Sleep(time.Second)
	}
	var broken []string
	seen := make(map[netip.AddrPort]bool)
	for _, fl := range theirs {
		fl.c.mu.Lock()
		reset, by := fl.reset != "", fl.reset
		fl.c.mu.Unlock()
		for _, b := range f.backends {
			if reset && b.holds(fl.local) && !seen[fl.local] {
				seen[fl.local] = true
				broken = append(broken, fmt.Sprintf("FLOW: flow %s of another consumer was reset by %s; its backend %s lives, is undisturbed and holds it", fl.local, by, b.id))
			}
		}
	}
	close(stop)
	wg.Wait()
	return broken, nil
}
