package membership

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

const (
	// earlyRoundDivisor sets the minimum time between two rounds of heartbeats, which
	// is Interval/earlyRoundDivisor. Suspicions, refutations, deaths and leaves start
	// a round early; the limit bounds the traffic when many come at once.
	earlyRoundDivisor = 5
	// secondPullDelay is the time between the first answer to a pull and a second
	// pull. The second one covers changes between that answer and the time when other
	// VMs have added the joining VM and gossip to it.
	secondPullDelay = 3 * time.Second
	// fastProbingTime is the time for which candidates are probed every Interval
	// after the start, when the whole fleet may be starting, and after a sign of a
	// healed partition.
	fastProbingTime = 10 * time.Second
)

// Event reports what a Tick detected, besides the messages to send.
type Event struct {
	// Paused is set if the VM was paused. It must then give up its ownerships.
	Paused bool
	// Gap is the time since the previous tick if Paused is set.
	Gap time.Duration
	// LeaveRequested is set once after the VM list started to mark this VM as leaving.
	LeaveRequested bool
}

// Stats counts events since the start of a View.
type Stats struct {
	Suspicions   uint64 // members that this VM itself suspected
	Deaths       uint64 // members that this VM itself declared dead
	Refutations  uint64 // wrong records of this VM that it refuted
	Pauses       uint64 // pauses of this VM
	DomainDeaths uint64 // failure domains that this VM declared dead as a whole
}

// View is one VM's view of the fleet. It is not safe for concurrent use.
type View struct {
	config      Config
	seed        uint64
	randomCount uint64
	self        *record

	records        map[message.VMID]*record
	order          []*record // all records, by id
	candidates     []*record // see updateCandidate
	domains        map[message.DomainID]*domain
	domainOrder    []message.DomainID // sorted
	reachableCount int                // members alive, suspect or leaving, without this VM
	leavingCount   int                // members leaving, with this VM
	otherCount     int                // records of other VMs that did not leave as planned

	version        uint64
	recordsVersion uint64
	liveCache      memberCache
	reachableCache memberCache
	neighbours     []neighbour
	reselectDue    bool
	reselectedAt   time.Duration

	queue         []*record        // records to gossip
	pacedQueue    []*record        // records to gossip, paced (see isPaced)
	batch         []message.Member // updates of the present round
	budget        budget
	roundCount    int // rounds of heartbeats, with a random start
	verifications []verification
	pendingDeaths []pendingDeath
	deadRecords   []deadRecord

	lastTick           time.Duration
	lastRound          time.Duration
	nextRound          time.Duration
	nextCandidate      time.Duration
	probing            bool // there were candidates at the last tick
	nextPull           time.Duration
	fastProbingUntil   time.Duration
	lastAnswer         time.Duration // last ack or list of members of any VM
	urgent             bool          // an early round is requested for unpaced records
	urgentPaced        bool          // an early round is requested for paced records
	heartbeatRequested bool
	joined             bool // a pull was answered since the start or the last pause
	secondPullDue      bool
	leaveRequest       bool
	backgroundIndex    int
	listGen            uint32        // number of VM lists received
	listAt             time.Duration // time of the last VM list
	listStale          bool          // the last VM list is older than maxListAge
	sequence           uint64
	tableVersion       uint64
	tableHash          uint64
	startedAt          time.Duration
	stats              Stats
	pendingChanges     []Change
	out                []message.Message
}

// New returns the view of a VM that starts at now, with no other members. The seed
// spreads the VM's heartbeats and probes in time; it should differ between VMs.
func New(cfg Config, seed uint64, now time.Duration) *View {
	cfg = cfg.withDefaults()
	v := &View{
		config:           cfg,
		seed:             rendezvous.Mix(seed, uint64(cfg.Self.ID)),
		records:          make(map[message.VMID]*record),
		domains:          make(map[message.DomainID]*domain),
		version:          1,
		lastTick:         now,
		lastRound:        now,
		nextPull:         now,
		lastAnswer:       now,
		startedAt:        now,
		nextCandidate:    now,
		fastProbingUntil: now + fastProbingTime,
	}
	v.budget = budget{level: float64(cfg.GossipBurst), at: now}
	// Without a random start, VMs that start together would send the same records and
	// digests.
	v.backgroundIndex = int(v.seed % (1 << 30))
	v.roundCount = v.backgroundIndex
	v.nextRound = now + time.Duration(v.random()%uint64(cfg.Interval))
	v.self = v.addRecord(now, cfg.Self)
	v.updateRecord(now, v.self, cfg.Self)
	return v
}

// Tick does the work that is due at now and returns messages to send. They are valid
// until the next call of Tick, Receive or Leave.
func (v *View) Tick(now time.Duration) (messages []message.Message, event Event) {
	v.out = v.out[:0]
	event = v.checkPause(now)
	v.refill(now)
	v.checkDomains(now)
	v.checkNeighbours(now)
	v.decidePendingDeaths(now)
	v.runVerifications(now)
	v.removeExpired(now)
	v.expireList(now)
	v.reselect(now)
	v.heartbeat(now)
	v.probeCandidate(now)
	v.pullMembers(now)
	return v.out, event
}

// Receive handles a membership message and returns messages to send. Bodies of other
// types are ignored. The messages are valid until the next call of Tick, Receive or
// Leave.
func (v *View) Receive(now time.Duration, m message.Message) []message.Message {
	v.out = v.out[:0]
	switch body := m.Body.(type) {
	case *message.Heartbeat:
		v.receiveHeartbeat(now, m.From, body)
	case *message.HeartbeatAck:
		v.receiveAck(now, m.From, body)
	case *message.MembersPull:
		v.answerPull(m.From)
	case *message.Members:
		v.receiveMembers(now, body)
	case *message.DomainPull:
		v.answerDomainPull(m.From, body)
	case *message.DomainMembers:
		v.receiveDomainMembers(now, body)
	case *message.VMList:
		v.receiveList(now, body)
	}
	return v.out
}

// Leave marks the VM as leaving and returns heartbeats that inform its neighbours.
// The view goes on answering messages until the process ends.
func (v *View) Leave(now time.Duration) []message.Message {
	v.out = v.out[:0]
	if v.self.member.State == message.MemberLeaving {
		return v.out
	}
	m := v.self.member
	m.State = message.MemberLeaving
	v.updateRecord(now, v.self, m)
	v.reselect(now)
	v.heartbeatRequested = true
	v.heartbeat(now)
	return v.out
}

// RequestHeartbeats makes the next Tick send a round of heartbeats.
func (v *View) RequestHeartbeats(now time.Duration) {
	v.heartbeatRequested = true
}

// SetTable sets the version and hash of the table that heartbeats carry.
func (v *View) SetTable(version, hash uint64) {
	v.tableVersion = version
	v.tableHash = hash
}

// Isolated reports whether other VMs are known and none has answered for DeadAfter.
// VMs that left as planned do not count as known.
func (v *View) Isolated(now time.Duration) bool {
	return v.otherCount > 0 && now-v.lastAnswer >= v.config.DeadAfter
}

// Stats returns the counters.
func (v *View) Stats() Stats {
	return v.stats
}

// checkPause keeps time in which this VM did not run from counting as silence of
// others. A short stall extends running timeouts by its length. A pause restarts
// them, raises the incarnation and pulls the members again.
func (v *View) checkPause(now time.Duration) Event {
	gap := now - v.lastTick
	v.lastTick = now
	event := Event{LeaveRequested: v.leaveRequest}
	v.leaveRequest = false
	if gap > v.config.PauseThreshold {
		event.Paused = true
		event.Gap = gap
		v.resume(now)
		return event
	}
	if gap > v.config.Interval {
		v.extendTimeouts(now, gap-v.config.Interval)
	}
	return event
}

// resume restarts the view after a pause.
func (v *View) resume(now time.Duration) {
	v.stats.Pauses++
	m := v.self.member
	m.Incarnation++
	v.updateRecord(now, v.self, m)
	v.extendTimeouts(now, now)
	for _, d := range v.domains {
		d.emptySince = now
	}
	v.joined = false
	v.nextPull = now
	v.heartbeatRequested = true
}

// extendTimeouts moves the start of all running timeouts by d, at most to now.
func (v *View) extendTimeouts(now, d time.Duration) {
	for i := range v.neighbours {
		n := &v.neighbours[i]
		n.lastAnswer = min(n.lastAnswer+d, now)
	}
	for i := range v.pendingDeaths {
		v.pendingDeaths[i].due = min(v.pendingDeaths[i].due+d, now+v.config.RefutationGrace)
	}
	for i := range v.verifications {
		if v.verifications[i].probedAt > 0 {
			v.verifications[i].probedAt = min(v.verifications[i].probedAt+d, now)
		}
	}
	for _, domain := range v.domains {
		domain.checkStarted = min(domain.checkStarted+d, now)
	}
	v.lastAnswer = min(v.lastAnswer+d, now)
}

// random returns the next value of the view's seeded pseudo-random sequence.
func (v *View) random() uint64 {
	v.randomCount++
	return rendezvous.Mix(v.seed, v.randomCount)
}
