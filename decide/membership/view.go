package membership

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

const (
	// earlyDivisor sets the least time between two rounds of heartbeats, as a
	// fraction of the interval. Suspicions, refutations, deaths and leaves start
	// a round early; the limit bounds the traffic when many come at once.
	earlyDivisor = 5
	// repullAfter is the time between the first answer to a pull and a second
	// pull. It closes the gap between the first answer and the moment when other
	// VMs know the joining VM and gossip to it.
	repullAfter = 3 * time.Second
	// hotTime is the time of fast candidate probing after the start, when the
	// fleet may be starting as a whole, and after a sign of a healed partition.
	hotTime = 10 * time.Second
)

// Event is what a Tick found out beside messages to send.
type Event struct {
	// Paused is set when the VM was paused. Its ownerships must be given up.
	Paused bool
	// Gap is the time since the last tick when Paused is set.
	Gap time.Duration
	// LeaveRequested is set once when the VM list began to mark this VM as leaving.
	LeaveRequested bool
}

// Stats counts what a View has done since its start.
type Stats struct {
	Suspicions   uint64 // members that this VM itself began to suspect
	Deaths       uint64 // members that this VM itself declared dead
	Refutations  uint64 // wrong records about this VM that it refuted
	Pauses       uint64
	DomainDeaths uint64 // failure domains that this VM held dead as a whole
}

// View is one VM's view of the fleet. It is not safe for concurrent use.
type View struct {
	config Config
	seed   uint64
	draws  uint64
	self   *record

	records     map[message.VMID]*record
	order       []*record // all records, by id
	candidates  []*record // dead or only listed members, to be probed
	domains     map[message.DomainID]*domain
	domainOrder []message.DomainID // ids of domains, sorted
	reachable   int                // members alive, suspect or leaving, without self
	leaving     int                // members leaving, with self
	others      int                // records beside self that did not leave as planned

	version     uint64
	changes     uint64
	live        cache
	reach       cache
	neighbours  []neighbour
	reselectDue bool
	reselected  time.Duration

	queue      []*record // news of the own failure domain
	otherQueue []*record // news of other failure domains
	batch      []message.Member
	budget     budget
	rounds     int // rounds of heartbeats, from a start of its own
	doubts     []doubt
	verdicts   []verdict
	deaths     []death

	lastTick      time.Duration
	lastRound     time.Duration
	nextRound     time.Duration
	nextCandidate time.Duration
	probing       bool // there were candidates at the last tick
	nextPull      time.Duration
	hotUntil      time.Duration
	lastAnswer    time.Duration
	urgent        bool
	urgentOther   bool
	notified      bool
	joined        bool
	repull        bool
	leaveRequest  bool
	background    int
	listGen       uint32
	listAt        time.Duration // when the last VM list came
	listStale     bool          // it is older than listFresh
	sequence      uint64
	tableVersion  uint64
	tableHash     uint64
	started       time.Duration
	stats         Stats
	noted         []Change
	out           []message.Message
}

// New returns the view of a VM that starts at now and knows only itself. The
// seed spreads the VM's heartbeats and probes in time; it should differ between VMs.
func New(cfg Config, seed uint64, now time.Duration) *View {
	cfg = cfg.withDefaults()
	v := &View{
		config:        cfg,
		seed:          rendezvous.Mix(seed, uint64(cfg.Self.ID)),
		records:       make(map[message.VMID]*record),
		domains:       make(map[message.DomainID]*domain),
		version:       1,
		lastTick:      now,
		lastRound:     now,
		nextPull:      now,
		lastAnswer:    now,
		started:       now,
		nextCandidate: now,
		hotUntil:      now + hotTime,
	}
	v.budget = budget{level: float64(cfg.GossipBurst), at: now}
	// VMs that start together would send the same records and digests.
	v.background = int(v.seed % (1 << 30))
	v.rounds = v.background
	v.nextRound = now + time.Duration(v.random()%uint64(cfg.Interval))
	v.self = v.add(now, cfg.Self)
	v.change(now, v.self, cfg.Self)
	return v
}

// Tick does the work that is due at now. The messages are valid until the next
// call of Tick, Receive or Leave.
func (v *View) Tick(now time.Duration) (messages []message.Message, event Event) {
	v.out = v.out[:0]
	event = v.checkPause(now)
	v.refill(now)
	v.checkSilence(now)
	v.judge(now)
	v.decideVerdicts(now)
	v.decideDoubts(now)
	v.forget(now)
	v.ageList(now)
	v.reselect(now)
	v.heartbeat(now)
	v.probeCandidate(now)
	v.pull(now)
	return v.out, event
}

// Receive handles a membership message and returns the answers. Bodies of other
// types are ignored. The messages are valid until the next call of Tick,
// Receive or Leave.
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

// Leave marks the VM as leaving and returns heartbeats that tell its neighbours.
// The VM goes on answering until its process ends.
func (v *View) Leave(now time.Duration) []message.Message {
	v.out = v.out[:0]
	if v.self.member.State == message.MemberLeaving {
		return v.out
	}
	m := v.self.member
	m.State = message.MemberLeaving
	v.change(now, v.self, m)
	v.reselect(now)
	v.notified = true
	v.heartbeat(now)
	return v.out
}

// RequestHeartbeats makes the next Tick send heartbeats at once.
func (v *View) RequestHeartbeats(now time.Duration) {
	v.notified = true
}

// SetTable sets the table version and hash that heartbeats carry.
func (v *View) SetTable(version, hash uint64) {
	v.tableVersion = version
	v.tableHash = hash
}

// Isolated reports whether other VMs are known but none has answered for
// DeadAfter. VMs that left as planned do not count.
func (v *View) Isolated(now time.Duration) bool {
	return v.others > 0 && now-v.lastAnswer >= v.config.DeadAfter
}

// Stats returns the counters.
func (v *View) Stats() Stats {
	return v.stats
}

// checkPause keeps time in which this VM did not run from counting against
// others. A short stall prolongs the time-outs by its length; a pause starts
// them anew, raises the incarnation and pulls what gossip was missed.
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

func (v *View) resume(now time.Duration) {
	v.stats.Pauses++
	m := v.self.member
	m.Incarnation++
	v.change(now, v.self, m)
	v.extendTimeouts(now, now)
	for _, d := range v.domains {
		d.emptySince = now
	}
	v.joined = false
	v.nextPull = now
	v.notified = true
}

// extendTimeouts moves the start of all running time-outs by d, at most to now.
func (v *View) extendTimeouts(now, d time.Duration) {
	for i := range v.neighbours {
		n := &v.neighbours[i]
		n.lastAnswer = min(n.lastAnswer+d, now)
	}
	for i := range v.verdicts {
		v.verdicts[i].due = min(v.verdicts[i].due+d, now+v.config.RefutationGrace)
	}
	for i := range v.doubts {
		if v.doubts[i].asked > 0 {
			v.doubts[i].asked = min(v.doubts[i].asked+d, now)
		}
	}
	for _, domain := range v.domains {
		domain.started = min(domain.started+d, now)
	}
	v.lastAnswer = min(v.lastAnswer+d, now)
}

// random returns the next value of the view's own seeded sequence.
func (v *View) random() uint64 {
	v.draws++
	return rendezvous.Mix(v.seed, v.draws)
}
