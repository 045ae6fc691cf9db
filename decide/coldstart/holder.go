package coldstart

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
	"github.com/gypsumspan/gypsumspan/decide/revision"
)

const (
	// maxBatch is the maximum number of keys in one transaction.
	maxBatch = 32
	// batchDivisor is how much smaller the next transactions with the keys of a refused one are.
	// One key that another VM has written makes the store refuse them all.
	batchDivisor = 4
	// retryDelay is the time between a claim that was not granted and the next one. The watch of
	// the store delivers within it what another VM has written.
	retryDelay = 300 * time.Millisecond
	// answerTimeout is the time after which a claim without an answer is repeated. Calls to the
	// store end within a second.
	answerTimeout = 2 * time.Second
	// claimRetention is how long a late answer, or the watch, may still show that a claim was
	// granted. It exceeds the cold time of most targets.
	claimRetention = 30 * time.Second
	// warmMargin is added to the cold time of targets that may have a permit that the store has
	// lost. It covers the time between a rewind and the first answer in the new era.
	warmMargin = time.Second
	// proofMargin is the error of the time of a confirmation. An answer to a watch may be as late
	// as the watch may wait (2.25 s with the usual settings) and a call may take.
	proofMargin = 4 * time.Second
	// maxTickGap is the longest time between two calls of Tick in a VM that runs. The service
	// "relay" reports loads every 0.5 s. After a longer pause what the VM knows may be as old as
	// after a restart.
	maxTickGap = 1500 * time.Millisecond
	// restDelay is the time after a claim for which tokens are kept for VMs of the domain that
	// the holder has not heard of, as after a change of the relay.
	restDelay = 400 * time.Millisecond
	// unawareTime is the time for which VMs may still take a target for warm that has started again
	// under the same id, plus the second to which the limit applies: until then only half of its
	// tokens are given. A change reaches the VMs of a domain within half a second of its relay.
	unawareTime = 1500 * time.Millisecond
	// minPermitAge is the minimum time for which a permit stays in the store.
	minPermitAge = time.Minute
	// poolRetention is how long a pool is kept after its target is warm.
	poolRetention = 10 * time.Second
	// deleteInterval is the time between two deletions of permits.
	deleteInterval = 5 * time.Second
)

// Config configures a Holder.
type Config struct {
	Domain string // failure domain of the VM
	VM     string // name of the VM
	Boot   uint64 // random number of the process
	Prefix string // of the keys of permits
	Limit  Limit
}

// State is what Tick needs to know of the VM.
type State struct {
	// IsRelay is set while the VM is the relay of its domain; only the relay claims permits.
	IsRelay bool
	// StoreLost is set while the store does not answer.
	StoreLost   bool
	Revision    revision.Revision // of the VM's replica of the store; 0: empty
	ConfirmedAt time.Duration     // time at which Revision was the newest in the store
	Pollers     []relay.Poller    // processes of the domain that poll this VM
	DomainSize  int               // number of VMs of the domain
}

// Output lists the actions that Tick requests.
type Output struct {
	Claim  *Claim
	Delete []relay.Item // permits to delete if they are still at their revisions
	// Granted is set if Grants has changed for a process.
	Granted bool
	Next    time.Duration // of the next call
}

// Holder decides which permits a VM claims, and splits the tokens of those that it holds among
// the processes of its failure domain. It does no I/O and is not safe for concurrent use.
//
// The store may return from an older copy that lacks a permit. Its holder does not know, and its
// tokens stay valid until the target is warm. For as long as a target can be cold after a VM has
// started or has seen a new era, it therefore claims only permits of targets that have provably
// started since.
type Holder struct {
	config   Config
	services map[string]catalog.ColdStart
	targets  map[string]*target // cold targets of the own domain, by id
	warm     map[string]warmTarget
	permits  map[string]storedPermit
	pools    map[Start]*pool
	claims   map[uint64]*claim // without an answer, or answered lately

	self         relay.Process
	lastClaim    uint64 // id
	nextClaim    time.Duration
	nextDelete   time.Duration
	era          uint32
	eraKnown     bool
	cautiousFrom time.Duration // start of the time in which permits may be missing; see Holder
	confirmedAt  time.Duration // State.ConfirmedAt of the last Tick
	tickedAt     time.Duration
	ticked       bool
	longest      time.Duration // longest cold time that was seen
}

// warmTarget is a target of the own domain that is not cold.
type warmTarget struct {
	born int64
	cold time.Duration // remaining cold time in its last entry
}

// target is a cold target.
type target struct {
	start     Start
	service   string
	listed    bool
	cold      time.Duration // remaining cold time in its last entry
	longest   time.Duration // largest value of cold
	coldUntil time.Duration
	// coldAgain is the revision of the entry by which a warm target became cold without a new
	// start; 0: it is cold since its start. An earlier permit does not cover the new cold time.
	coldAgain revision.Revision
	// unawareUntil is the end of unawareTime; 0: its id was not in use before.
	unawareUntil time.Duration
	// startedAfter is a time after which the target has started, as far as that is known.
	startedAfter time.Duration
	started      bool   // startedAfter is known
	batch        int    // maximum number of keys in its next claim
	refused      bool   // a claim was refused since the last write of its permit in the store
	claimed      uint64 // id of the claim without an answer; 0: none
}

// storedPermit is a permit in the store.
type storedPermit struct {
	permit
	revision  revision.Revision
	malformed bool
	seenAt    time.Duration
}

// pool holds the tokens for one start: those of a permit, or those that were granted to this
// process and that it shares with the VMs that poll it.
type pool struct {
	id       string // of the target; empty: not known
	total    int
	assigned map[relay.Process]int
	given    int // sum of assigned
	at       time.Duration
	until    time.Duration // the target may be cold until then
	permit   bool
	over     bool // the target is warm
	// unawareUntil is that of the target, for a permit.
	unawareUntil time.Duration
}

// NewHolder returns a holder without permits.
func NewHolder(config Config) *Holder {
	return &Holder{
		config:   config,
		services: make(map[string]catalog.ColdStart),
		targets:  make(map[string]*target),
		warm:     make(map[string]warmTarget),
		permits:  make(map[string]storedPermit),
		pools:    make(map[Start]*pool),
		claims:   make(map[uint64]*claim),
		self:     relay.Process{VM: config.VM, Boot: config.Boot},
	}
}

// Apply applies a change of the catalog.
func (h *Holder) Apply(now time.Duration, c catalog.Change) {
	switch {
	case c.Configuration != nil:
		h.services = c.Configuration.ColdStarts
		for _, s := range h.services {
			h.longest = max(h.longest, s.Duration)
		}
	case c.Target != nil:
		h.applyTarget(now, c.Revision, c.Target)
	case c.RemovedTarget != "" || c.InvalidTarget != "":
		id := cmp.Or(c.RemovedTarget, c.InvalidTarget)
		delete(h.warm, id)
		if t := h.targets[id]; t != nil {
			t.listed = false
		}
	}
}

func (h *Holder) applyTarget(now time.Duration, rev revision.Revision, e *catalog.Entry) {
	if e.Domain != h.config.Domain {
		h.endColdTime(e.ID)
		delete(h.warm, e.ID)
		return
	}
	start := Start{Cookie: uint32(catalog.CookieOf(e.ID)), Born: e.Born}
	t := h.targets[e.ID]
	known, inUse := h.warm[e.ID]
	isWarm := inUse && known.born == e.Born
	if t != nil && (t.start != start || t.service != e.Service) {
		inUse = t.listed
		h.endColdTime(e.ID)
		t = nil
	}
	if e.Cold <= 0 || isWarm && e.Cold <= known.cold {
		// An entry that arrives late may state a rest of the cold time that is over by now.
		h.endColdTime(e.ID)
		h.warm[e.ID] = warmTarget{born: e.Born, cold: e.Cold}
		return
	}
	delete(h.warm, e.ID)
	if t == nil {
		t = &target{start: start, batch: maxBatch, coldUntil: now + e.Cold}
		h.targets[e.ID] = t
		if inUse {
			t.unawareUntil = now + unawareTime
		}
		if isWarm {
			t.coldAgain = rev
			delete(h.pools, start)
		}
	}
	h.longest = max(h.longest, e.Cold)
	if e.Cold > t.cold {
		t.coldUntil = now + e.Cold
	}
	t.service, t.listed, t.cold = e.Service, true, e.Cold
	t.longest = max(t.longest, e.Cold)
	t.coldUntil = min(t.coldUntil, now+e.Cold)
	if service := h.services[e.Service]; h.ticked && e.Cold <= service.Duration {
		// The store held no such entry at confirmedAt. When it was written, the target had run
		// for the rest of its cold time.
		startedAfter := h.confirmedAt - (service.Duration - e.Cold) - proofMargin
		if !t.started || startedAfter > t.startedAfter {
			t.startedAfter, t.started = startedAfter, true
		}
	}
	if p := h.pools[start]; p != nil {
		p.until = t.coldUntil
	}
}

// endColdTime records that a target is not cold.
func (h *Holder) endColdTime(id string) {
	if t := h.targets[id]; t != nil {
		if p := h.pools[t.start]; p != nil {
			p.over = true
		}
		delete(h.targets, id)
	}
}

// IsPermit reports whether a key of the store is that of a permit.
func (h *Holder) IsPermit(key string) bool {
	return h.config.Prefix != "" && strings.HasPrefix(key, h.config.Prefix)
}

// ApplyPermit applies a write or deletion of a permit in the store. A permit that this process
// claimed in the same era is held, although the answer to the claim may be lost.
func (h *Holder) ApplyPermit(now time.Duration, item relay.Item) Outcome {
	id := strings.TrimPrefix(item.Key, h.config.Prefix)
	if t := h.targets[id]; t != nil {
		// What a claim was refused for may be gone.
		t.refused = false
	}
	if item.Deleted {
		delete(h.permits, id)
		return Outcome{}
	}
	p, ok := decodePermit(item.Value)
	h.permits[id] = storedPermit{permit: p, revision: item.Revision, malformed: !ok, seenAt: now}
	if !ok || p.boot != h.config.Boot || p.vm != h.config.VM || p.domain != h.config.Domain {
		return Outcome{}
	}
	for _, c := range h.claims {
		if start, claimed := c.starts[id]; claimed && start.Born == p.born && c.era == item.Revision.Era() {
			return h.hold(now, map[string]Start{id: start})
		}
	}
	return Outcome{}
}

// HandleGrants handles the grants of this process. It shares the tokens with the VMs that poll
// it, as a branch does.
func (h *Holder) HandleGrants(now time.Duration, grants []relay.Grant) {
	for _, g := range grants {
		start := Start{Cookie: g.TargetCookie, Born: g.Born}
		p := h.pools[start]
		if p == nil {
			p = &pool{assigned: make(map[relay.Process]int), at: now, until: now + max(h.longest, claimRetention)}
			for id, t := range h.targets {
				if t.start == start {
					p.id, p.until = id, t.coldUntil
				}
			}
			h.pools[start] = p
		}
		if !p.permit {
			p.total = max(p.total, int(g.Tokens))
		}
	}
}

// Grants returns the tokens of a process for all targets that may be cold, sorted. They are sums
// of all that it was granted.
func (h *Holder) Grants(process relay.Process) []relay.Grant {
	var list []relay.Grant
	for start, p := range h.pools {
		if n := p.assigned[process]; n > 0 && !p.over {
			list = append(list, relay.Grant{TargetCookie: start.Cookie, Born: start.Born, Tokens: uint32(n)})
		}
	}
	slices.SortFunc(list, func(a, b relay.Grant) int {
		return cmp.Or(cmp.Compare(a.TargetCookie, b.TargetCookie), cmp.Compare(a.Born, b.Born))
	})
	return list
}

// Shares reports whether there are tokens to share, now or lately.
func (h *Holder) Shares() bool { return len(h.pools) > 0 }

// OwnGrants returns the tokens of this process.
func (h *Holder) OwnGrants() []relay.Grant { return h.Grants(h.self) }

// Held returns the number of permits that this process holds for targets that may be cold.
func (h *Holder) Held() int {
	n := 0
	for _, p := range h.pools {
		if p.permit && !p.over {
			n++
		}
	}
	return n
}

// Tick does the work that is due.
func (h *Holder) Tick(now time.Duration, s State) Output {
	h.watchEra(now, s)
	h.confirmedAt, h.tickedAt, h.ticked = s.ConfirmedAt, now, true
	h.forgetWarm(now)
	out := Output{Next: now + maxTickGap/3}
	out.Granted = h.assignTokens(now, s)
	if !s.IsRelay || s.StoreLost || !h.eraKnown {
		return out
	}
	out.Claim = h.claim(now)
	out.Delete = h.deletions(now)
	if h.nextClaim > now {
		out.Next = min(out.Next, h.nextClaim)
	}
	return out
}

// watchEra starts a time of caution when the VM has started, has stood still, or sees a new era.
func (h *Holder) watchEra(now time.Duration, s State) {
	stalled := h.ticked && now-h.tickedAt > maxTickGap
	newEra := s.Revision > 0 && (!h.eraKnown || s.Revision.Era() != h.era)
	if stalled || newEra {
		h.cautiousFrom = now
	}
	if s.Revision > 0 {
		h.era, h.eraKnown = s.Revision.Era(), true
	}
}

// forgetWarm drops what concerns targets that are warm by now, and old claims.
func (h *Holder) forgetWarm(now time.Duration) {
	for id, t := range h.targets {
		if now >= t.coldUntil {
			h.endColdTime(id)
			if t.listed {
				h.warm[id] = warmTarget{born: t.start.Born, cold: t.cold}
			}
		}
	}
	for start, p := range h.pools {
		p.over = p.over || now >= p.until
		// A grant that arrives late must not be shared out a second time.
		if now >= p.until+poolRetention {
			delete(h.pools, start)
		}
	}
	for id, c := range h.claims {
		if now-c.sentAt >= answerTimeout {
			h.endClaim(now, id, c)
		}
		if now-c.sentAt >= claimRetention {
			delete(h.claims, id)
		}
	}
}

// claim returns the next claim, or nil. There is one claim at a time, unless its answer is lost.
func (h *Holder) claim(now time.Duration) *Claim {
	if now < h.nextClaim {
		return nil
	}
	for _, c := range h.claims {
		if !c.ended {
			return nil
		}
	}
	ids := h.claimable(now)
	if len(ids) == 0 {
		return nil
	}
	size := maxBatch
	c := &claim{era: h.era, starts: make(map[string]Start), sentAt: now}
	out := &Claim{ID: h.lastClaim + 1, Era: h.era}
	for _, id := range ids {
		t := h.targets[id]
		if size = min(size, t.batch); len(out.Items) >= size {
			break
		}
		t.claimed = out.ID
		c.starts[id] = t.start
		value := permit{born: t.start.Born, boot: h.config.Boot, domain: h.config.Domain, vm: h.config.VM}.encode()
		out.Items = append(out.Items, relay.Item{Key: h.config.Prefix + id, Value: value, Revision: h.permits[id].revision})
	}
	h.lastClaim = out.ID
	h.claims[out.ID] = c
	return out
}

// assignTokens gives tokens to processes that poll this VM, and to its own. It reports whether
// any were given.
func (h *Holder) assignTokens(now time.Duration, s State) (given bool) {
	var processes []relay.Poller
	for start, p := range h.pools {
		if p.given >= p.total || p.over {
			continue
		}
		if processes == nil {
			processes = append(slices.Clone(s.Pollers), relay.Poller{Process: h.self, VMs: 1})
		}
		known := 0
		for _, process := range processes {
			known += process.VMs
		}
		budget := p.total
		if p.permit && known < s.DomainSize && now < p.at+restDelay {
			budget = (p.total*known + s.DomainSize - 1) / s.DomainSize
		}
		if now < p.unawareUntil {
			budget = min(budget, p.total/2)
		}
		given = p.assign(start, processes, min(budget, p.total)-p.given) || given
	}
	return given
}

// assign gives n tokens to processes, each to the one with the fewest for its VMs. Which one is
// first differs from start to start, so that the VMs of a domain with few tokens take turns.
func (p *pool) assign(start Start, processes []relay.Poller, n int) (given bool) {
	slices.SortFunc(processes, func(a, b relay.Poller) int {
		return cmp.Or(cmp.Compare(p.order(start, a), p.order(start, b)), cmp.Compare(a.VM, b.VM))
	})
	vms := 0
	for _, process := range processes {
		vms += process.VMs
	}
	if whole := n / vms; whole > 0 && p.given == 0 {
		// Large numbers of tokens are not given one by one.
		for _, process := range processes {
			p.assigned[process.Process] += whole * process.VMs
			p.given += whole * process.VMs
		}
		n -= whole * vms
		given = true
	}
	for ; n > 0; n-- {
		best := 0
		for i, process := range processes {
			// Compares assigned tokens per VM without division.
			if p.assigned[process.Process]*processes[best].VMs < p.assigned[processes[best].Process]*process.VMs {
				best = i
			}
		}
		p.assigned[processes[best].Process]++
		p.given++
		given = true
	}
	return given
}

// order returns the position of a process among those that get tokens for a start.
func (p *pool) order(start Start, process relay.Poller) uint64 {
	return rendezvous.Mix(uint64(start.Cookie)^uint64(start.Born), xxhash.Sum64String(process.VM))
}
