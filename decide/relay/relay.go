// Package relay decides how a VM keeps its replica of the catalog up to date with few
// calls to the platform's store.
//
// One VM of each failure domain, the relay, watches the store. The other VMs poll the
// relay with heartbeats and pull missing changes from it. A heartbeat states the revision
// of its sender's replica and how long ago that revision was confirmed as the newest in
// the store. A VM whose last confirmation is older than Config.MaxAge watches the store
// itself, whether its relay is dead, paused, partitioned or refused by the store.
//
// In a large domain the highest-ranked VMs after the relay are its branches: they poll
// the relay, and each other VM polls one of them or the relay, so that no VM is polled by
// more than about a hundred others.
//
// The relay of a domain is its highest-ranked live VM by rendezvous hashing (D. Thaler,
// C. Ravishankar, "Using name-based mappings to increase hit rates", 1998). VMs discover
// each other through one store entry each, written once at start.
package relay

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/halfopen"
	"github.com/gypsumspan/gypsumspan/decide/revision"
)

const (
	// minPollInterval is the minimum time between two polls of a VM. The interval is
	// MaxAge/pollsPerMaxAge if that is longer: a fleet in which changes may take 12 s to
	// reach all VMs then needs fewer polls than one in which they may take 3 s.
	minPollInterval = 500 * time.Millisecond
	pollsPerMaxAge  = 7
	// relayStartDelay is the minimum time between a VM's first confirmation and its
	// becoming the relay. It lets VMs that start together discover each other first.
	relayStartDelay = time.Second
	// directWatchTime is the time for which a VM watches the store itself after a failed
	// pull, or after its last confirmation reached MaxAge. stopDirectWatch may end it
	// earlier.
	directWatchTime = 4 * time.Second
	// pullTimeout is the time after which an unanswered pull counts as failed.
	pullTimeout = time.Second
	// removeEntryAfter is the time without a poll from a VM after which its entry is
	// removed. The VM that removes it must have had its first confirmation, and a relay
	// its role, for as long.
	removeEntryAfter = time.Minute
	// notifyInterval is the minimum time between two notifications of changes. Changes
	// come in groups, such as the registrations of replaced VMs.
	notifyInterval = 100 * time.Millisecond
	// regainTolerance is how far the ends of two outages are apart at least. Reports of one
	// end differ by the time that heartbeats are in transit.
	regainTolerance = 200 * time.Millisecond
	// maxInlineBytes bounds the keys and values in one heartbeat, so that it fits into
	// one datagram.
	maxInlineBytes = 900
	// maxSnapshotBytes bounds a full snapshot that is sent to a VM whose replica is not empty.
	maxSnapshotBytes = 64 << 10
	// loadsCacheTTL is the time for which the result of DomainLoads is cached.
	loadsCacheTTL = 200 * time.Millisecond
	// seedName stands for the unknown name of a seed in Pull.Name.
	seedName = "seed"
	// maxLoads bounds the loads in one heartbeat, so that it fits into one datagram.
	maxLoads = 8
)

// Machine is the state machine that maintains the replica of one VM. It does no I/O and
// is not safe for concurrent use. Times are durations since the VM's start.
type Machine struct {
	config    Config
	intervals intervals
	key       string // of the own store entry
	replica   *Replica
	members   members

	// confirmedRevision was the newest revision in the store at confirmedAt, by this VM's
	// clock. They are valid if hasConfirmed is set.
	confirmedRevision revision.Revision
	confirmedAt       time.Duration
	hasConfirmed      bool
	firstConfirmedAt  time.Duration
	storeLost         bool
	regainedAt        time.Duration
	hasRegained       bool
	reportedRegainAt  time.Duration // regainedAt as last reported, valid if hasReportedRegain
	hasReportedRegain bool

	subscribers   map[string]time.Duration // time of a VM's last poll, by key of the VM
	relaySince    time.Duration
	isRelay       bool
	directUntil   time.Duration
	pull          *Pull
	pullStartedAt time.Duration
	wantsSnapshot bool // another VM has left the missing changes to the store, since they are a full snapshot
	nextSeed      int  // index of the seed to pull from next, modulo their number
	nextPrune     time.Duration

	notifyAfter  revision.Revision // revision up to which subscribers have been notified
	notifyDue    bool
	notifyUrgent bool // see NotifyAtOnce
	branchesDue  bool // branches have to be notified of a new confirmation
	notifiedAt   time.Duration

	ownSamples      []Sample
	domainSamples   []Sample // received from an upstream VM at domainSamplesAt
	domainSamplesAt time.Duration

	ownLoads      []Load
	loads         map[Load]loadReport // keys have zero counts
	cachedLoads   []Load              // result of DomainLoads at loadsCachedAt
	loadsCachedAt time.Duration

	reports  reportState
	snapshot snapshotState
	eras     eraState
	grants   grants
	waits    waits
	matcher  halfopen.Matcher
	// latestKnown is the latest revision that another VM has reported.
	latestKnown revision.Revision
	arrivals    []Arrival // not yet taken

	out Output
}

// intervals are a machine's intervals and timeouts, derived from Config.MaxAge.
type intervals struct {
	poll time.Duration // between two polls of a VM
	// deadAfter is the time for which polls may stay unanswered before a VM counts as
	// dead. It leaves room for the loss of two polls or of their replies.
	deadAfter time.Duration
	// deadPoll is the time between two polls of a dead VM.
	deadPoll time.Duration
	// subscriberTimeout is the time after its last poll for which a VM is notified of
	// changes.
	subscriberTimeout time.Duration
	// reportTTL is the time for which received loads and samples are valid.
	reportTTL time.Duration
}

func intervalsFor(maxAge time.Duration) intervals {
	poll := max(maxAge/pollsPerMaxAge, minPollInterval)
	return intervals{poll: poll, deadAfter: 12 * poll / 5, deadPoll: 6 * poll, subscriberTimeout: 16 * poll / 5, reportTTL: 6 * poll}
}

// loadReport is a received load with the time of its receipt.
type loadReport struct {
	Load
	at time.Duration
}

// New returns a machine with an empty replica.
func New(config Config) *Machine {
	return &Machine{
		config:      config,
		key:         config.Self.Key(config.MemberPrefix),
		replica:     NewReplica(),
		intervals:   intervalsFor(config.MaxAge),
		members:     newMembers(),
		subscribers: make(map[string]time.Duration),
		loads:       make(map[Load]loadReport),
		grants:      newGrants(),
		reports:     newReportState(),
	}
}

// Replica returns the VM's replica. The caller must not change it.
func (m *Machine) Replica() *Replica { return m.replica }

// IsRelay reports whether the VM is the relay of its domain.
func (m *Machine) IsRelay() bool { return m.isRelay }

// Subscribers returns the number of VMs that poll this one.
func (m *Machine) Subscribers(now time.Duration) int {
	n := 0
	for _, at := range m.subscribers {
		if now-at < m.intervals.subscriberTimeout {
			n++
		}
	}
	return n
}

// FleetSize returns the number of VMs of all failure domains that have an entry in the store.
func (m *Machine) FleetSize() int { return len(m.members.byKey) + 1 }

// Age returns the time since the replica's revision was last confirmed as the newest in
// the store. ok is false if it never was.
func (m *Machine) Age(now time.Duration) (age time.Duration, ok bool) {
	return now - m.confirmedAt, m.hasConfirmed
}

// ShouldWatch reports whether the VM has to watch the store now.
func (m *Machine) ShouldWatch(now time.Duration) bool {
	return m.isRelay || now < m.directUntil
}

// Registered reports whether the replica has the VM's own entry with its present
// addresses.
func (m *Machine) Registered() bool {
	item, ok := m.replica.Get(m.key)
	return ok && string(item.Value) == string(m.config.Self.Value())
}

// Registration returns the VM's own entry to write to the store. Its revision is that of
// the entry to replace, 0 if there is none.
func (m *Machine) Registration() Item {
	registration := Item{Key: m.key, Value: m.config.Self.Value()}
	// The replica keeps the revision of a deletion, which is not one of an existing entry.
	if item, ok := m.replica.Get(m.key); ok {
		registration.Revision = item.Revision
	}
	return registration
}

// TakeOutput returns the actions requested since the last call.
func (m *Machine) TakeOutput() Output {
	out := m.out
	m.out = Output{}
	return out
}

// HandleStoreUpdate merges an answer of the store that has waited at this VM for a time. Its revision
// counts as confirmed when the answer came.
func (m *Machine) HandleStoreUpdate(now, waited time.Duration, update Update) {
	update.Confirmed = Confirmation{Revision: update.Revision, Age: waited}
	m.merge(now, update)
}

// StoreFailed handles a failed call to the store: the store counts as lost, and a VM with
// an empty replica pulls from the seeds in turn.
func (m *Machine) StoreFailed(now time.Duration) {
	m.waits.callsFailed++
	m.markStoreLost()
	if m.replica.Revision() > 0 || m.pull != nil || len(m.config.Seeds) == 0 {
		return
	}
	seed := m.config.Seeds[m.nextSeed%len(m.config.Seeds)]
	m.nextSeed++
	if seed == m.config.Self.PullAddr {
		return
	}
	m.pull = &Pull{From: seed, Name: seedName}
	m.pullStartedAt = now
	m.out.Pull = m.pull
}

// HandlePullAnswer merges the answer to the pull that was sent at sentAt. The age of its
// confirmation grows by the time since then, an upper bound of the time in transit.
func (m *Machine) HandlePullAnswer(now, sentAt time.Duration, answer Update) {
	answer.Source = m.pullSource()
	m.pull = nil
	answer, usable := m.updateInOwnEra(answer)
	if !usable {
		m.watchForMissed(now)
		return
	}
	if answer.Revision == 0 {
		// The other VM's replica is empty, or a full snapshot would have been too large.
		if m.replica.Revision() > 0 {
			m.wantsSnapshot = true
			m.watchForMissed(now)
		}
		return
	}
	answer.Confirmed.Age += now - sentAt
	m.merge(now, answer)
}

// pullSource returns the source of the answer to the present pull, which may have timed out.
func (m *Machine) pullSource() Source {
	switch {
	case m.pull == nil:
		return Source{Way: Pulled}
	case m.pull.Name == seedName:
		return Source{Way: PulledSeed}
	default:
		return Source{Way: Pulled, VM: m.pull.Name}
	}
}

// PullFailed handles a pull that failed or timed out.
func (m *Machine) PullFailed(now time.Duration) {
	m.waits.pullsFailed++
	m.pull = nil
	m.watchForMissed(now)
}

// merge merges an update into the replica and schedules the notification of subscribers.
func (m *Machine) merge(now time.Duration, update Update) {
	if !m.replica.accepts(update.Revision, update.Complete) {
		if update.Revision.Era() > m.replica.Revision().Era() {
			// A part of the keys does not lead to a later era.
			m.watchDirectly(now)
		}
		return
	}
	m.wantsSnapshot = false
	oldRevision := m.replica.Revision()
	confirmedAt, hadConfirmed := m.confirmedAt, m.hasConfirmed
	eraRose := m.enterEra(now, update.Revision.Era())
	changed := m.replica.Merge(now, m.takeSnapshots(now, update.Items, update.Complete), update.Revision, update.Complete)
	for _, item := range changed {
		if !eraRose || !item.Deleted {
			m.updateMember(item)
		}
	}
	m.out.Changes = append(m.out.Changes, changed...)
	m.confirm(now, update.Confirmed)
	if len(changed) == 0 && !m.LacksChanges() {
		m.waits.isKnown = false
	}
	if len(changed) > 0 {
		m.recordArrival(now, update.Source, len(changed), confirmedAt, hadConfirmed)
	}
	if eraRose {
		m.reportEnteredEra(now, update.Confirmed)
	}
	if m.replica.Revision() > oldRevision && len(changed) > 0 && !m.notifyDue {
		m.notifyDue = true
		m.notifyAfter = oldRevision
	}
}

// updateMember updates the known VMs if item is the entry of one.
func (m *Machine) updateMember(item Item) {
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

// watchDirectly makes the VM watch the store itself for directWatchTime.
func (m *Machine) watchDirectly(now time.Duration) { m.directUntil = now + directWatchTime }

// watchForMissed makes the VM read the changes that another VM has, and has not delivered, from the
// store itself. The delay after a failed call ends, which may be longer than the time for a change.
func (m *Machine) watchForMissed(now time.Duration) {
	m.watchDirectly(now)
	m.out.RetryNow = m.replica.Revision() > 0
}

// Tick does the work that is due at now and returns the time of the next call.
func (m *Machine) Tick(now time.Duration) time.Duration {
	m.chooseRole(now)
	m.notifySubscribers(now)
	m.notifyBranches(now)
	m.sendGrants(now)
	m.requestSnapshot(now)
	next := now + m.intervals.poll
	if m.notifyDue {
		next = m.notifiedAt + notifyInterval
	}
	if m.replica.Revision() > 0 {
		next = min(next, m.pollPeers(now))
	}
	if m.hasConfirmed && now-m.confirmedAt >= m.config.MaxAge {
		m.markStoreLost()
		m.watchDirectly(now)
	} else if m.hasConfirmed {
		next = min(next, m.confirmedAt+m.config.MaxAge)
	}
	if m.pull != nil && now-m.pullStartedAt >= pullTimeout {
		m.PullFailed(now)
	}
	if now >= m.nextPrune {
		m.prune(now)
	}
	return max(next, now+time.Millisecond)
}
