package lab

import (
	"fmt"
	"time"

	"github.com/gypsumspan/gypsumspan/caller/session"
	"github.com/gypsumspan/gypsumspan/decide/message"
)

// flowSet holds the flows to one service.
type flowSet struct {
	wanted int
	flows  []session.FlowID
	churn  *arrivals // replacements; rate 0: none
}

// churnStream separates the random streams of replacements from those of kinds.
const churnStream = 1 << 32

func newFlowSet(wanted int, churn float64, seed uint64, service int) *flowSet {
	return &flowSet{wanted: wanted, churn: newArrivals(churn, seed, churnStream+uint64(service))}
}

// open asks for flows at the opening rate until all are open.
func (g *generator) open(now time.Duration) time.Duration {
	if g.openEnds == 0 {
		g.opens.begin(now)
		g.openEnds = now + g.openTimeout
	}
	for range stepBatch {
		if len(g.unopened) == 0 {
			break
		}
		if _, due := g.opens.take(now); !due {
			break
		}
		if g.openOne(g.unopened[len(g.unopened)-1]) {
			g.unopened = g.unopened[:len(g.unopened)-1]
		}
	}
	g.takeOpened()
	if g.allOpen() {
		return g.beginLoad(now)
	}
	if now >= g.openEnds {
		g.err = fmt.Errorf("after %s: %w", g.openTimeout, ErrFlowsNotOpen)
		g.phase = phaseDraining
		return now
	}
	if len(g.unopened) > 0 {
		return min(g.opens.next, g.openEnds)
	}
	return g.openEnds
}

// openOne asks for one flow and reports false if the session is overloaded.
func (g *generator) openOne(service int) bool {
	id := message.ServiceIDOf(g.workload.Services[service].Name)
	_, err := g.sessions.Open(id, func(flow session.FlowID) {
		// The ring holds more flows than a run can have waiting.
		_ = g.opened.Put(openedFlow{service: service, flow: flow})
	})
	return err == nil
}

func (g *generator) takeOpened() {
	for o, ok := g.opened.Take(); ok; o, ok = g.opened.Take() {
		set := g.services[o.service]
		set.flows = append(set.flows, o.flow)
	}
}

func (g *generator) allOpen() bool {
	for _, set := range g.services {
		if len(set.flows) < set.wanted {
			return false
		}
	}
	return true
}

// replaceFlows closes idle flows and opens new ones, and returns the time of the
// next replacement.
func (g *generator) replaceFlows(now time.Duration) time.Duration {
	next := g.endsAt
	for service, set := range g.services {
		if set.churn.rate <= 0 {
			continue
		}
		for range stepBatch {
			if _, due := set.churn.take(now); !due {
				break
			}
			g.replaceOne(service, set)
		}
		next = min(next, set.churn.next)
	}
	return next
}

// replaceOne replaces a random flow, unless it is in use or nearly the last one.
func (g *generator) replaceOne(service int, set *flowSet) {
	i := g.rng.IntN(len(set.flows))
	flow := set.flows[i]
	if g.busy[flow] > 0 || 2*len(set.flows) < set.wanted || len(set.flows) < 2 {
		return
	}
	if !g.openOne(service) {
		return
	}
	// A full command ring leaves the old flow open; it is not used again.
	_ = g.sessions.Close(flow)
	last := len(set.flows) - 1
	set.flows[i] = set.flows[last]
	set.flows = set.flows[:last]
}

// endOn notes the end of a call on a flow.
func (g *generator) endOn(flow session.FlowID) {
	g.busy[flow]--
	if g.busy[flow] <= 0 {
		delete(g.busy, flow)
	}
}
