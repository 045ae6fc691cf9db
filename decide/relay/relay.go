// Package relay decides how a VM keeps its copy of the catalog new with few calls
// to the platform's store.
//
// One VM of each failure domain, the relay, watches the store. The others ask the
// relay for beats, and pull what they miss from it. A beat says up to which
// revision its sender knows the store and how old that knowledge is. A VM whose
// knowledge is older than a bound watches the store itself, whatever the reason:
// a relay that is dead, paused, cut off or refused by the store.
//
// In a large domain the first VMs of the ranking are branches: they ask the relay, and
// each other VM asks one of them, so that no VM has more than about a hundred askers.
//
// The relay of a domain is the first live VM by rendezvous hashing (D. Thaler,
// C. Ravishankar, 1998). VMs know each other from one entry each in the store,
// written once at the start.
package relay

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// leastAskInterval is the shortest time between two questions to a relay, and
	// agePerAsk the part of MaxAge that makes up a longer one: with a bound of 12 s
	// questions cost less than with 3 s.
	leastAskInterval = 500 * time.Millisecond
	agePerAsk        = 7
	// settle is how long a VM that has just read the store leaves the relay's role to
	// others: VMs that start together learn of each other meanwhile.
	settle = time.Second
	// directFor is how long a VM that had to watch the store itself goes on.
	directFor = 4 * time.Second
	// pullTimeout is the time after which a pull without an answer is given up.
	pullTimeout = time.Second
	// forgetAfter is how long a relay must have been asked by the others before it
	// removes the entry of a VM that never asked.
	forgetAfter = time.Minute
	// tellInterval is the least time between two beats about news to the same VMs.
	// Changes come in groups, such as the starts of VMs that are replaced.
	tellInterval = 100 * time.Millisecond
	// maxInline bounds the keys and values in one beat, in bytes, so that it fits one
	// datagram.
	maxInline = 900
	// maxComplete bounds a whole copy that is sent to a VM that has one, in bytes.
	maxComplete = 64 << 10
	// loadsCacheFor is how long a sum of loads is used again.
	loadsCacheFor = 200 * time.Millisecond
	// maxLoads bounds the loads in one beat, so that it fits one datagram.
	maxLoads = 8
)

// Machine keeps the copy of one VM. It is not safe for concurrent use.
type Machine struct {
	config  Config
	times   times
	key     string // of the own entry
	replica *Replica
	members members

	confirmed   int64         // revision that was newest in the store at confirmedAt
	confirmedAt time.Duration // by the own clock
	known       bool          // something was confirmed at all
	firstKnown  time.Duration // when it was
	lost        bool
	regainedAt  time.Duration
	wasRegained bool

	subscribers map[string]time.Duration // by key: last question
	relaySince  time.Duration
	isRelay     bool
	directTill  time.Duration
	pull        *Pull
	pullAt      time.Duration
	nextSeed    int // index of the seed that is asked next
	nextPrune   time.Duration

	tellFrom int64 // revision after which subscribers were not told
	tellDue  bool
	// tellBranches says that the branches shall learn of a newer confirmation.
	tellBranches bool
	toldAt       time.Duration

	ownSamples      []Sample
	domainSamples   []Sample // as the relay has told at domainSamplesAt
	domainSamplesAt time.Duration

	ownLoads []Load
	loads    map[Load]loadReport // by domains and service, the counts 0
	cached   []Load              // of DomainLoads
	cachedAt time.Duration

	out Output
}

// times are the machine's intervals, which follow from the bound of changes.
type times struct {
	ask time.Duration // between two questions to a relay
	// deadAfter is how long a relay may leave questions unanswered: two questions and
	// the answer to the second may be lost.
	deadAfter time.Duration
	// deadAsk is the time between two questions to a dead VM that would be asked if it
	// lived.
	deadAsk time.Duration
	// subscriberFor is how long after its last question a VM is told of news.
	subscriberFor time.Duration
	// loadFor is how long a report of load counts.
	loadFor time.Duration
}

func timesOf(maxAge time.Duration) times {
	ask := max(maxAge/agePerAsk, leastAskInterval)
	return times{ask: ask, deadAfter: 12 * ask / 5, deadAsk: 6 * ask, subscriberFor: 16 * ask / 5, loadFor: 6 * ask}
}

type loadReport struct {
	Load
	at time.Duration
}

// New returns a machine without a copy.
func New(config Config) *Machine {
	return &Machine{
		config:      config,
		key:         config.Self.Key(config.MemberPrefix),
		replica:     NewReplica(),
		times:       timesOf(config.MaxAge),
		members:     newMembers(),
		subscribers: make(map[string]time.Duration),
		loads:       make(map[Load]loadReport),
	}
}

// Replica returns the copy, for reading.
func (m *Machine) Replica() *Replica { return m.replica }

// IsRelay reports whether the VM watches the store for its domain.
func (m *Machine) IsRelay() bool { return m.isRelay }

// Subscribers returns the number of VMs that ask this one.
func (m *Machine) Subscribers(now time.Duration) int {
	n := 0
	for _, at := range m.subscribers {
		if now-at < m.times.subscriberFor {
			n++
		}
	}
	return n
}

// Age returns how old the knowledge of the store is; ok is false without any.
func (m *Machine) Age(now time.Duration) (age time.Duration, ok bool) {
	return now - m.confirmedAt, m.known
}

// ShouldWatch reports whether the VM shall watch the store now.
func (m *Machine) ShouldWatch(now time.Duration) bool {
	return m.isRelay || now < m.directTill
}

// Registered reports whether the copy has the VM's own entry as it should be.
func (m *Machine) Registered() bool {
	item, ok := m.replica.Get(m.key)
	return ok && string(item.Value) == string(m.config.Self.Value())
}

// Registration returns the VM's own entry. Its revision is that of the present
// one, 0 if there is none.
func (m *Machine) Registration() Item {
	item, _ := m.replica.Get(m.key)
	return Item{Key: m.key, Value: m.config.Self.Value(), Revision: item.Revision}
}

// TakeOutput returns what is to be done since the last call.
func (m *Machine) TakeOutput() Output {
	out := m.out
	m.out = Output{}
	return out
}

// HandleStoreUpdate merges an answer of the store.
func (m *Machine) HandleStoreUpdate(now time.Duration, n Update) {
	n.Confirmed = Confirmation{Revision: n.Revision}
	m.merge(now, n)
}

// StoreFailed notes that a call to the store failed. A VM without a copy then
// asks a seed, each in turn.
func (m *Machine) StoreFailed(now time.Duration) {
	m.setLost()
	if m.replica.Revision() > 0 || m.pull != nil || len(m.config.Seeds) == 0 {
		return
	}
	seed := m.config.Seeds[m.nextSeed%len(m.config.Seeds)]
	m.nextSeed++
	if seed == m.config.Self.PullAddr {
		return
	}
	m.pull = &Pull{From: seed, Name: "seed"}
	m.pullAt = now
	m.out.Pull = m.pull
}

// HandlePullAnswer merges the answer to a pull, which was asked for at asked: what the
// answer says of the store's age is at most that much older on arrival.
func (m *Machine) HandlePullAnswer(now, asked time.Duration, n Update) {
	m.pull = nil
	if n.Revision == 0 {
		// The other VM has no copy, or none that it could send in part.
		if m.replica.Revision() > 0 {
			m.direct(now)
		}
		return
	}
	n.Confirmed.Age += now - asked
	m.merge(now, n)
}

// PullFailed notes that a pull had no answer.
func (m *Machine) PullFailed(now time.Duration) {
	m.pull = nil
	m.direct(now)
}

// merge takes in news and tells them to those who ask this VM.
func (m *Machine) merge(now time.Duration, n Update) {
	before := m.replica.Revision()
	news := m.replica.Merge(now, n.Items, n.Revision, n.Complete)
	for _, item := range news {
		m.noteMember(item)
	}
	m.out.Changes = append(m.out.Changes, news...)
	m.confirm(now, n.Confirmed)
	if m.replica.Revision() > before && len(news) > 0 && !m.tellDue {
		m.tellDue = true
		m.tellFrom = before
	}
}

func (m *Machine) noteMember(item Item) {
	if item.Key == m.key {
		return
	}
	member, ok := parseMember(m.config.MemberPrefix, item)
	if item.Deleted || !ok {
		m.members.remove(item.Key)
		return
	}
	m.members.put(member, item.Key, item.Revision)
}

// confirm notes how new the copy is. A confirmation of a revision that the copy
// does not have yet is not one.
func (m *Machine) confirm(now time.Duration, c Confirmation) {
	if c.Revision == 0 || c.Revision > m.replica.Revision() || c.Revision < m.confirmed {
		return
	}
	at := now - c.Age
	if m.known && at <= m.confirmedAt {
		return
	}
	m.confirmed = c.Revision
	m.confirmedAt = at
	m.tellBranches = true
	if !m.known {
		m.known = true
		m.firstKnown = now
	}
	if c.HasRegained {
		m.setRegained(now - c.SinceRegained)
	}
	if m.lost && now-at < m.config.MaxAge {
		m.lost = false
		m.setRegained(now)
		m.out.StoreRegained = true
	}
}

func (m *Machine) setRegained(at time.Duration) {
	if !m.wasRegained || at > m.regainedAt {
		m.regainedAt = at
	}
	m.wasRegained = true
}

func (m *Machine) setLost() {
	if !m.lost && m.known {
		m.lost = true
		m.out.StoreLost = true
	}
}

// direct lets the VM watch the store itself for a while.
func (m *Machine) direct(now time.Duration) { m.directTill = now + directFor }

// confirmation returns what this VM can confirm.
func (m *Machine) confirmation(now time.Duration) Confirmation {
	if !m.known {
		return Confirmation{}
	}
	c := Confirmation{Revision: m.confirmed, Age: now - m.confirmedAt}
	if m.wasRegained {
		c.HasRegained = true
		c.SinceRegained = now - m.regainedAt
	}
	return c
}

// beat returns a beat of this VM with the given loads.
func (m *Machine) beat(now time.Duration, reply bool, loads []Load) Heartbeat {
	b := Heartbeat{
		Name:      m.config.Self.Name,
		Domain:    m.config.Self.Domain,
		Reply:     reply,
		Revision:  m.replica.Revision(),
		Confirmed: m.confirmation(now),
		Loads:     busiest(loads),
	}
	if reply {
		b.Samples = m.DomainSamples(now)
	}
	return b
}

// HandleHeartbeat takes in a heartbeat that came from the given address.
func (m *Machine) HandleHeartbeat(now time.Duration, from netip.AddrPort, b Heartbeat) {
	key := Member{Name: b.Name, Domain: b.Domain}.Key(m.config.MemberPrefix)
	if key == m.key {
		return
	}
	p := m.members.byKey[key]
	if p != nil {
		p.heard, p.everHear, p.waiting = now, true, false
	}
	m.noteLoads(now, p, b)
	m.noteSamples(now, p, b)
	if !b.Reply {
		m.subscribers[key] = now
		answer := m.beat(now, true, m.DomainLoads(now))
		m.inline(&answer, b.Revision)
		m.out.Heartbeats = append(m.out.Heartbeats, Outgoing{To: from, Heartbeat: answer})
	}
	switch {
	case b.Revision <= m.replica.Revision():
		m.confirm(now, b.Confirmed)
		m.leaveToRelay(now, p, b)
	case b.HasItems && b.After <= m.replica.Revision() && m.replica.Revision() > 0:
		m.merge(now, Update{Revision: b.Revision, Confirmed: b.Confirmed, Items: b.Items})
	case p != nil:
		m.startPull(now, p)
	}
}

// leaveToRelay ends an own watch that was begun because the relay knew nothing new,
// when it does again.
func (m *Machine) leaveToRelay(now time.Duration, p *peer, b Heartbeat) {
	const fresh = 2 // times younger than MaxAge
	fromRelay := p != nil && b.Reply && p.Domain == m.config.Self.Domain
	if fromRelay && m.UsesLongBackoff() && b.Confirmed.Revision > 0 && b.Confirmed.Age < m.config.MaxAge/fresh {
		m.directTill = min(m.directTill, now)
	}
}

// inline adds what was written after a revision to a beat, when it is little.
func (m *Machine) inline(b *Heartbeat, after int64) {
	if after <= 0 || after >= m.replica.Revision() {
		return
	}
	items, complete := m.replica.Since(after)
	if complete || sizeOf(items) > maxInline {
		return
	}
	b.HasItems, b.After, b.Items = true, after, items
	b.Samples = nil
}

func (m *Machine) startPull(now time.Duration, p *peer) {
	if m.pull != nil {
		return
	}
	m.pull = &Pull{From: p.PullAddr, Name: p.Name, After: m.replica.Revision()}
	m.pullAt = now
	m.out.Pull = m.pull
}

// sizeOf returns the bytes of the keys and values of items.
func sizeOf(items []Item) int {
	size := 0
	for _, item := range items {
		size += len(item.Key) + len(item.Value)
	}
	return size
}

// AnswerPull returns what was written after a revision, for another VM's pull. A VM
// that has a copy does not get a whole large one: it reads the store's history,
// which is one call, instead. The news are empty then.
func (m *Machine) AnswerPull(now time.Duration, after int64) Update {
	items, complete := m.replica.Since(after)
	if complete && after > 0 && sizeOf(items) > maxComplete {
		return Update{}
	}
	return Update{Revision: m.replica.Revision(), Confirmed: m.confirmation(now), Items: items, Complete: complete}
}

// tellSubscribers sends beats about news if they are due.
func (m *Machine) tellSubscribers(now time.Duration) {
	if !m.tellDue || now < m.toldAt+tellInterval {
		return
	}
	m.tellDue = false
	m.toldAt = now
	beat := m.beat(now, true, nil)
	m.inline(&beat, m.tellFrom)
	keys := make([]string, 0, len(m.subscribers))
	for key, at := range m.subscribers {
		if now-at < m.times.subscriberFor {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		if p := m.members.byKey[key]; p != nil {
			m.out.Heartbeats = append(m.out.Heartbeats, Outgoing{To: p.HeartbeatAddr, Heartbeat: beat})
		}
	}
}

// Tick does what is due and returns the time of the next call.
func (m *Machine) Tick(now time.Duration) time.Duration {
	m.chooseRole(now)
	m.tellSubscribers(now)
	m.confirmToBranches(now)
	next := now + m.times.ask
	if m.tellDue {
		next = m.toldAt + tellInterval
	}
	if m.replica.Revision() > 0 {
		next = min(next, m.askRelays(now))
	}
	if m.known && now-m.confirmedAt >= m.config.MaxAge {
		m.setLost()
		m.direct(now)
	} else if m.known {
		next = min(next, m.confirmedAt+m.config.MaxAge)
	}
	if m.pull != nil && now-m.pullAt >= pullTimeout {
		m.PullFailed(now)
	}
	if now >= m.nextPrune {
		m.prune(now)
	}
	return max(next, now+time.Millisecond)
}

// prune forgets what is old and, on a relay, entries of VMs that are long dead.
func (m *Machine) prune(now time.Duration) {
	const interval = 10 * time.Second
	m.nextPrune = now + interval
	m.replica.Prune(now)
	for key, at := range m.subscribers {
		if now-at >= forgetAfter {
			delete(m.subscribers, key)
		}
	}
	for key, r := range m.loads {
		if now-r.at >= m.times.loadFor {
			delete(m.loads, key)
		}
	}
	m.forgetDead(now)
}

// forgetDead has the entry of a VM removed that should ask this one, and has not for
// long.
func (m *Machine) forgetDead(now time.Duration) {
	if !m.known || now-m.firstKnown < forgetAfter || m.lost || m.isRelay && now-m.relaySince < forgetAfter {
		return
	}
	for _, p := range m.members.byDomain[m.config.Self.Domain] {
		_, asks := m.subscribers[p.key]
		if !asks && (!p.everHear || now-p.heard >= forgetAfter) && m.isAskedBy(p) {
			m.out.RemoveEntry = &Item{Key: p.key, Revision: p.revision}
			return
		}
	}
}
