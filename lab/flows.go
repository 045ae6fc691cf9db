package lab

import (
	"fmt"
	"time"

	"github.com/gypsumspan/gypsumspan/caller/session"
	"github.com/gypsumspan/gypsumspan/decide/message"
)

// flowSet is the set of open flows to one service.
type flowSet struct {
	desired int
	flows   []session.FlowID
	churn   *arrivals // replacements; rate 0: none
}

// churnStreamBase is the first random stream of flow replacements. It is above the
// streams of the kinds' arrivals.
const churnStreamBase = 1 << 32

func newFlowSet(desired int, churn float64, seed uint64, service int) *flowSet {
	return &flowSet{desired: desired, churn: newArrivals(churn, seed, churnStreamBase+uint64(service))}
}

// openFlows requests flows at the opening rate and starts the load when all are open.
// It returns the time of the next step.
func (g *generator) openFlows(now time.Duration) time.Duration {
	if g.openDeadline == 0 {
		g.openArrivals.start(now)
		g.openDeadline = now + g.openTimeout
	}
	for range maxStepBatch {
		if len(g.unopened) == 0 {
			break
		}
		if _, due := g.openArrivals.popDue(now); !due {
			break
		}
		if g.openFlow(g.unopened[len(g.unopened)-1]) {
			g.unopened = g.unopened[:len(g.unopened)-1]
		}
	}
	g.collectOpened()
	if g.allOpen() {
		return g.startLoad(now)
	}
	if now >= g.openDeadline {
		g.err = fmt.Errorf("after %s: %w", g.openTimeout, ErrFlowsNotOpen)
		g.phase = phaseDraining
		return now
	}
	if len(g.unopened) > 0 {
		return min(g.openArrivals.next, g.openDeadline)
	}
	return g.openDeadline
}

// openFlow requests one flow and reports false if the session is overloaded.
func (g *generator) openFlow(service int) bool {
	id := message.ServiceIDOf(g.workload.Services[service].Name)
	_, err := g.sessions.Open(id, func(flow session.FlowID) {
		// The ring has room for more flows than a run can have in it.
		_ = g.opened.Put(openedFlow{service: service, flow: flow})
	})
	return err == nil
}

// collectOpened adds the opened flows to the sets of their services.
func (g *generator) collectOpened() {
	for o, ok := g.opened.Take(); ok; o, ok = g.opened.Take() {
		set := g.services[o.service]
		set.flows = append(set.flows, o.flow)
	}
}

func (g *generator) allOpen() bool {
	for _, set := range g.services {
		if len(set.flows) < set.desired {
			return false
		}
	}
	return true
}

// replaceFlows replaces one flow for each churn arrival that is due, and returns the
// time of the next one.
func (g *generator) replaceFlows(now time.Duration) time.Duration {
	next := g.loadEnd
	for service, set := range g.services {
		if set.churn.rate <= 0 {
			continue
		}
		for range maxStepBatch {
			if _, due := set.churn.popDue(now); !due {
				break
			}
			g.replaceFlow(service, set)
		}
		next = min(next, set.churn.next)
	}
	return next
}

// replaceFlow replaces a random flow of a service. It does nothing if the flow has
// calls in progress or if less than half of the desired flows are open.
func (g *generator) replaceFlow(service int, set *flowSet) {
	i := g.rng.IntN(len(set.flows))
	flow := set.flows[i]
	if g.callsByFlow[flow] > 0 || 2*len(set.flows) < set.desired || len(set.flows) < 2 {
		return
	}
	if !g.openFlow(service) {
		return
	}
	// If the command ring is full, the old flow stays open but is not used again.
	_ = g.sessions.Close(flow)
	last := len(set.flows) - 1
	set.flows[i] = set.flows[last]
	set.flows = set.flows[:last]
}

// countCallEnd decrements the number of calls in progress on a flow.
func (g *generator) countCallEnd(flow session.FlowID) {
	g.callsByFlow[flow]--
	if g.callsByFlow[flow] <= 0 {
		delete(g.callsByFlow, flow)
	}
}
