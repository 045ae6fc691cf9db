package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
)

// TargetStatus is the state of one target as a VM sees it.
type TargetStatus struct {
	ID                string `json:"id"`
	Service           string `json:"service"`
	Address           string `json:"address"`
	Domain            string `json:"domain"`
	State             string `json:"state"`
	Listed            bool   `json:"listed"` // the entry exists
	Gone              bool   `json:"gone"`
	Cold              bool   `json:"cold"`
	Revision          string `json:"revision"` // of its entry; preceded by the era of the store if that is not 0
	Flows             int    `json:"flows"`    // flows of this VM, also those being opened or closed
	ActiveRequests    int    `json:"busy"`     // of this VM, at most one per flow
	Silent            bool   `json:"silent"`
	Dead              bool   `json:"dead"`
	Outlier           bool   `json:"outlier"`  // ejected: slow or failing in comparison, gets no new flows
	AliveMS           int64  `json:"alive_ms"` // time since its last response; -1: none seen
	DomainUnreachable bool   `json:"cut_off"`  // its failure domain is unreachable
	AcceptsNewFlows   bool   `json:"takes_flows"`
}

// RouteStatus is one route of the current configuration.
type RouteStatus struct {
	Name     string          `json:"name"`
	Address  string          `json:"address"`
	Kind     string          `json:"kind"`
	Priority int             `json:"priority"`
	Shares   []catalog.Share `json:"shares"`
}

// Status is the state of all routes and targets as a VM sees it.
type Status struct {
	Version  uint64 `json:"version"`
	Revision string `json:"revision"`
	Ready    bool   `json:"ready"`
	Fresh    bool   `json:"fresh"` // the store is reachable and no outage has just ended
	// EvacuatedDomains are the failure domains whose targets get no new flows.
	EvacuatedDomains []string       `json:"evacuated"`
	Flows            int            `json:"flows"`
	Routes           []RouteStatus  `json:"routes"`
	Targets          []TargetStatus `json:"targets"`
}

// Status returns the state of all routes and targets, sorted by address and by id.
func (f *Forwarder) Status(now time.Duration) Status {
	s := Status{
		Version:          f.view.Version(),
		Revision:         f.view.Revision().String(),
		Ready:            f.view.Ready(now),
		Fresh:            f.view.Fresh(now),
		EvacuatedDomains: f.view.EvacuatedDomains(),
		Flows:            f.Flows(),
		Routes:           []RouteStatus{},
		Targets:          []TargetStatus{},
	}
	f.view.Routes(func(r *catalog.Route) bool {
		s.Routes = append(s.Routes, RouteStatus{
			Name: r.Name, Address: r.Address.String(), Kind: r.Kind.String(), Priority: r.Priority, Shares: r.Shares,
		})
		return true
	})
	slices.SortFunc(s.Routes, func(a, b RouteStatus) int { return cmp.Compare(a.Address, b.Address) })
	f.view.Targets(func(t *catalog.Target) bool {
		s.Targets = append(s.Targets, f.targetStatus(now, t))
		return true
	})
	slices.SortFunc(s.Targets, func(a, b TargetStatus) int { return cmp.Compare(a.ID, b.ID) })
	return s
}

func (f *Forwarder) targetStatus(now time.Duration, t *catalog.Target) TargetStatus {
	tracker := &f.evidence[t.Slot]
	age := int64(-1)
	if alive, ok := tracker.LastAlive(); ok {
		age = (now - alive).Milliseconds()
	}
	return TargetStatus{
		ID: t.ID, Service: t.Service, Address: t.Address.String(), Domain: t.Domain, State: t.State.String(),
		Listed: t.Listed, Gone: t.Gone(now), Cold: now < t.ColdUntil, Revision: t.Revision.String(),
		Flows: f.loads[t.Slot].Flows, ActiveRequests: f.loads[t.Slot].ActiveRequests,
		Silent: tracker.Silent(now), Dead: tracker.Dead(now), Outlier: f.outlierStates[t.Slot].ejected, AliveMS: age,
		DomainUnreachable: f.isDomainUnreachable(now, t), AcceptsNewFlows: f.view.AcceptsFlows(now, t),
	}
}

// Explanation is the state of one flow as a VM sees it, and where a new flow would go.
type Explanation struct {
	Flow         string        `json:"flow"`
	Route        string        `json:"route"` // name; empty: none
	RouteRemoved bool          `json:"route_removed"`
	Known        bool          `json:"known"` // the VM has a record of the flow
	Phase        string        `json:"phase,omitempty"`
	Target       *TargetStatus `json:"target,omitempty"`
	SeenMS       int64         `json:"seen_ms,omitempty"` // time since its last packet
	Retransmits  int           `json:"repeats,omitempty"` // retransmissions since the caller's last progress
	// Service and Domain are those chosen for a new flow with this four-tuple.
	Service string `json:"service,omitempty"`
	Domain  string `json:"domain,omitempty"`
	// Candidates are the targets of Service. Refusal is why a new flow would get none of them;
	// the flood limiter is not asked, since it counts the flows that it admits.
	Candidates []CandidateStatus `json:"candidates,omitempty"`
	Refusal    string            `json:"refusal,omitempty"`
}

// Explain returns the state of one flow, and where its SYN would go now. It changes nothing.
func (f *Forwarder) Explain(now time.Duration, k flow.Key) Explanation {
	f = f.scratchCopy()
	e := Explanation{Flow: k.String(), RouteRemoved: f.view.RouteRemoved(k.Address)}
	if route := f.view.Route(k.Address); route != nil {
		e.Route = route.Name
		e.Service = serviceOf(route, k.Hash())
		e.Domain = f.domainFor(now, e.Service, route.Kind, k.Hash())
		f.explainChoice(now, k, route, &e)
	}
	r := f.flows.get(k)
	if r == nil {
		return e
	}
	e.Known = true
	e.Phase = [...]string{"opening", "open", "closing"}[r.phase]
	e.SeenMS = (now - r.lastSeen).Milliseconds()
	e.Retransmits = r.retransmits
	if r.target != nil {
		status := f.targetStatus(now, r.target)
		e.Target = &status
	}
	return e
}
