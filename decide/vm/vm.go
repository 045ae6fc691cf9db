// Package vm composes the decisions of one VM: routing at the ingress, ownership
// of targets, admission and at-most-once execution at the owner, membership and
// the table. A front end drives it with Receive and Tick; it needs no socket,
// clock or codec.
//
// A VM is one state machine. For the same configuration and the same calls it
// returns the same messages.
package vm

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/membership"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/notice"
	"github.com/gypsumspan/gypsumspan/decide/ownership"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// Defaults of Config.
const (
	// DefaultFlowIdleTimeout is the time without a packet after which a flow ends. Flows
	// of trackers and terminals are silent for many minutes.
	DefaultFlowIdleTimeout = 2 * time.Hour
	// DefaultQueueCapacity is the number of requests that may wait for one target.
	DefaultQueueCapacity = 256
	// DefaultAnswerBytes bounds the recorded answers of one target, in bytes.
	DefaultAnswerBytes = 256 << 10
)

// Config is the identity of a VM and its limits.
type Config struct {
	Self message.Member // with the incarnation to start with
	// Seed feeds all random choices: epochs, neighbours, transfer ids.
	Seed uint64
	// Peers are VMs known at the start.
	Peers []message.Member
	// ExpectPeers says that other VMs may be found, from Peers or the VM list.
	// The VM then waits before it takes over targets by itself.
	ExpectPeers     bool
	Membership      membership.Config // Self is filled in
	FlowIdleTimeout time.Duration
	QueueCapacity   int
	AnswerBytes     int
}

// VM is one VM's decisions. It is not safe for concurrent use.
type VM struct {
	config  Config
	now     time.Duration
	started time.Duration // start, or end of the last pause
	rng     *rand.Rand

	members     *membership.View
	membersSeen uint64
	leavingVMs  []message.Member // other VMs that leave and still answer
	leavingDue  time.Duration    // next search for them
	owners      *ownership.Owners
	ownersSeen  int
	replica     *table.Replica
	table       *table.Table
	tablePulled time.Duration
	tableSince  time.Duration // when the version last rose
	tableFirst  time.Duration // when the first entries arrived, 0 before
	removed     map[message.TargetID]removedTarget
	handed      map[message.TargetID]handedTarget
	places      places
	changed     []message.ServiceID // whose targets findTargets has not seen

	targets        map[message.TargetID]*target // targets with state at this VM
	order          []*target                    // the same, sorted by id
	inFlight       map[message.RequestKey]*target
	handedInFlight map[message.RequestKey]handedRequest
	moves          map[uint64]*move
	loads          map[message.ServiceID]map[message.TargetID]load
	closedKinds    map[kindAt]time.Duration
	reconcile      time.Duration // next full search for targets to own
	reportCredit   float64       // load reports of changed flows that may be sent now
	reportFilled   time.Duration // when reportCredit was last refilled
	nextReport     int           // index in order of the next changed target to report
	searched       time.Duration // last search for targets to own

	leaving   bool
	leaveIdle time.Duration // since when nothing is left to hand over
	trace     trace
	counters  Counters
	work      map[workKey]*work
	otherWork work
	notices   notice.List
	leaveFrom time.Duration // start of the planned leave
	leftNoted bool
	out       []message.Message
}

// New returns the decisions of a VM that starts at now.
func New(config Config, now time.Duration) *VM {
	config.FlowIdleTimeout = cmp.Or(config.FlowIdleTimeout, DefaultFlowIdleTimeout)
	config.QueueCapacity = cmp.Or(config.QueueCapacity, DefaultQueueCapacity)
	config.AnswerBytes = cmp.Or(config.AnswerBytes, DefaultAnswerBytes)
	config.Membership.Self = config.Self
	v := &VM{
		config:         config,
		now:            now,
		started:        now,
		rng:            rand.New(rand.NewPCG(config.Seed, uint64(config.Self.ID))),
		owners:         ownership.NewOwners(config.Self.Domain),
		replica:        table.NewReplica(),
		removed:        make(map[message.TargetID]removedTarget),
		handed:         make(map[message.TargetID]handedTarget),
		places:         make(places),
		targets:        make(map[message.TargetID]*target),
		inFlight:       make(map[message.RequestKey]*target),
		handedInFlight: make(map[message.RequestKey]handedRequest),
		moves:          make(map[uint64]*move),
		loads:          make(map[message.ServiceID]map[message.TargetID]load),
		closedKinds:    make(map[kindAt]time.Duration),
		work:           make(map[workKey]*work),
		otherWork:      work{service: "other", kind: "other"},
	}
	v.table = v.replica.Table()
	v.members = membership.New(config.Membership, v.rng.Uint64(), now)
	if len(config.Peers) > 0 {
		v.members.Receive(now, platformMessage(&message.VMList{Members: config.Peers}))
	}
	v.followMembers()
	return v
}

func platformMessage(body message.Body) message.Message {
	return message.Message{From: message.Address{Kind: message.PeerPlatform}, Body: body}
}

// Receive decides on one message at time now and returns the messages to send.
// The result is valid until the next call.
func (v *VM) Receive(now time.Duration, m message.Message) []message.Message {
	v.begin(now)
	switch body := m.Body.(type) {
	case *message.Open, *message.Request, *message.Cancel, *message.Close:
		v.fromCaller(m.From, body)
	case *message.Forward:
		v.forwarded(body)
	case *message.KindClosed:
		v.closeKind(body)
	case *message.Answer:
		v.targetAnswer(m.From, body)
	case *message.Shed:
		v.targetShed(body)
	case *message.TargetReport:
		v.targetReport(body)
	case *message.LoadReport:
		v.loadReport(body)
	case *message.Handover:
		v.receiveHandover(m.From, body)
	case *message.HandoverAck:
		v.handoverAck(body)
	case *message.Released:
		v.released(body)
	case *message.TablePull:
		v.tablePull(m.From, body)
	case *message.TableDelta:
		v.tableDelta(body)
	default:
		v.memberMessage(m)
	}
	return v.out
}

// Tick does the work that is due at now and returns the messages to send. It
// shall be called every 10 ms. The result is valid until the next call.
func (v *VM) Tick(now time.Duration) []message.Message {
	v.begin(now)
	v.tickMembers()
	v.findTargets()
	for _, t := range slices.Clone(v.order) {
		v.tickTarget(t)
	}
	v.tickMoves()
	v.sendLoadReports()
	v.expire()
	return v.out
}

func (v *VM) begin(now time.Duration) {
	v.now = now
	v.out = v.out[:0]
}

// Leave starts the planned leave: the VM hands over what it owns and finishes
// the requests in flight. HasLeft reports the end.
func (v *VM) Leave(now time.Duration) []message.Message {
	v.begin(now)
	v.startLeave()
	return v.out
}

// startLeave marks the VM as leaving, so that it hands over what it owns.
func (v *VM) startLeave() {
	v.leaveIdle = v.now
	if v.leaving {
		return
	}
	v.leaving = true
	v.noteLeaveStarted()
	v.emit(v.members.Leave(v.now))
	v.followMembers()
}

// leaveLinger is how long a VM that has handed everything over still passes on
// datagrams that were sent to it before its leave was known.
const leaveLinger = time.Second

// HasLeft reports whether the planned leave has ended.
func (v *VM) HasLeft() bool {
	return v.leaving && v.now-v.leaveIdle >= leaveLinger
}

// noteLeaveProgress restarts the linger time while anything is left to do.
func (v *VM) noteLeaveProgress() {
	if !v.leaving {
		return
	}
	if len(v.inFlight) > 0 || len(v.handedInFlight) > 0 || len(v.moves) > 0 || v.ownsFlows() {
		v.leaveIdle = v.now
	}
	v.noteLeft()
}

// ownsFlows reports whether a target still has flows or requests that another VM
// can take over.
func (v *VM) ownsFlows() bool {
	for _, t := range v.order {
		if len(t.pending) > 0 {
			return true
		}
		if _, ok := v.ownerOf(t.id, t.row.DomainID); ok && t.flows.Len() > 0 {
			return true
		}
	}
	return false
}

func (v *VM) send(to message.Address, body message.Body) {
	v.out = append(v.out, message.Message{To: to, Body: body})
}

func (v *VM) emit(messages []message.Message) {
	v.out = append(v.out, messages...)
}

// sendData sends a datagram to a VM. It reports whether the VM is known.
func (v *VM) sendData(vm message.VMID, body message.Body) bool {
	m, ok := v.members.Member(vm)
	if !ok {
		return false
	}
	v.send(message.VMAddress(vm, m.Data), body)
	return true
}

// sendControl sends a control message to a VM. It reports whether the VM is known.
func (v *VM) sendControl(vm message.VMID, body message.Body) bool {
	m, ok := v.members.Member(vm)
	if !ok {
		return false
	}
	v.send(message.VMAddress(vm, m.Control), body)
	return true
}

// newEpoch returns a random epoch other than 0.
func (v *VM) newEpoch() message.Epoch {
	return message.Epoch(v.rng.Uint64() | 1)
}

// expire forgets what has lost its meaning.
func (v *VM) expire() {
	for id, r := range v.removed {
		if v.now >= r.until {
			delete(v.removed, id)
			v.owners.Forget(id)
		}
	}
	for id, h := range v.handed {
		if v.now >= h.until {
			delete(v.handed, id)
		}
	}
	for key, r := range v.handedInFlight {
		if v.now >= r.until {
			delete(v.handedInFlight, key)
		}
	}
	for d, until := range v.closedKinds {
		if v.now >= until {
			delete(v.closedKinds, d)
		}
	}
	v.noteLeaveProgress()
}
