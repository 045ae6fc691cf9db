// Package vm combines the decisions of one VM: routing at the ingress, ownership of
// targets, admission and at-most-once execution at the owner, membership and the table. A
// front end drives it with Receive and Tick; it needs no socket, clock or codec.
//
// A VM is a deterministic state machine. The same configuration and the same calls give
// the same messages.
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
	// DefaultMaxAnswerBytes bounds the memory for recorded answers of one target, in bytes.
	DefaultMaxAnswerBytes = 256 << 10
)

// Config is the identity of a VM and its limits. Limits of 0 select the defaults.
type Config struct {
	Self message.Member // with its first incarnation
	// Seed seeds all random choices, such as epochs, neighbours and transfer ids.
	Seed uint64
	// Peers are VMs known at the start.
	Peers []message.Member
	// ExpectPeers is set if other VMs may be found, through Peers or the VM list. For
	// ownership.JoinWait after its start the VM then assumes that each target may have a
	// previous owner.
	ExpectPeers     bool
	Membership      membership.Config // Self is set by New
	FlowIdleTimeout time.Duration
	QueueCapacity   int
	MaxAnswerBytes  int
}

// VM makes the decisions of one VM. It is not safe for concurrent use.
type VM struct {
	config  Config
	now     time.Duration
	started time.Duration // start, or end of the last pause
	rng     *rand.Rand

	members          *membership.View
	membersVersion   uint64
	leavingVMs       []message.Member // other VMs that are leaving and still reachable
	nextLeavingCheck time.Duration    // next update of leavingVMs
	owners           *ownership.Owners
	ownersVersion    int
	replica          *table.Replica
	table            *table.Table
	lastTablePull    time.Duration
	tableChangedAt   time.Duration // time of the last change of the version
	firstTableAt     time.Duration // time of the first entries; 0 before
	removedTargets   map[message.TargetID]removedTarget
	handedOver       map[message.TargetID]handedOverTarget
	targetsByDomain  targetsByDomain
	changedServices  []message.ServiceID // services whose targets findOwnedTargets has not checked yet

	targets            map[message.TargetID]*target // state of targets at this VM
	sortedTargets      []*target                    // the same targets, sorted by id
	inFlight           map[message.RequestKey]*target
	handedOverInFlight map[message.RequestKey]handedOverRequest
	movesByTransfer    map[uint64]*flowMove
	loads              map[message.ServiceID]map[message.TargetID]targetLoad
	closedKinds        map[targetKind]time.Duration
	nextFullSearch     time.Duration // next full search for owned targets
	reportCredit       float64       // load reports of changed flows that may be sent now
	reportCreditAt     time.Duration // last refill of reportCredit
	nextReportIndex    int           // index in sortedTargets of the next changed target to report
	lastFullSearch     time.Duration // last full search for owned targets

	leaving              bool
	leaveIdleSince       time.Duration // since when nothing remains to hand over
	trace                trace
	counters             Counters
	kindCounters         map[kindKey]*kindCounters
	otherKinds           kindCounters
	notices              notice.List
	leaveStartedAt       time.Duration // start of the planned leave
	leaveFinishedNoticed bool
	out                  []message.Message
}

// New returns a VM that starts at now.
func New(config Config, now time.Duration) *VM {
	config.FlowIdleTimeout = cmp.Or(config.FlowIdleTimeout, DefaultFlowIdleTimeout)
	config.QueueCapacity = cmp.Or(config.QueueCapacity, DefaultQueueCapacity)
	config.MaxAnswerBytes = cmp.Or(config.MaxAnswerBytes, DefaultMaxAnswerBytes)
	config.Membership.Self = config.Self
	v := &VM{
		config:             config,
		now:                now,
		started:            now,
		rng:                rand.New(rand.NewPCG(config.Seed, uint64(config.Self.ID))),
		owners:             ownership.NewOwners(config.Self.Domain),
		replica:            table.NewReplica(),
		removedTargets:     make(map[message.TargetID]removedTarget),
		handedOver:         make(map[message.TargetID]handedOverTarget),
		targetsByDomain:    make(targetsByDomain),
		targets:            make(map[message.TargetID]*target),
		inFlight:           make(map[message.RequestKey]*target),
		handedOverInFlight: make(map[message.RequestKey]handedOverRequest),
		movesByTransfer:    make(map[uint64]*flowMove),
		loads:              make(map[message.ServiceID]map[message.TargetID]targetLoad),
		closedKinds:        make(map[targetKind]time.Duration),
		kindCounters:       make(map[kindKey]*kindCounters),
		otherKinds:         kindCounters{service: "other", kind: "other"},
	}
	v.table = v.replica.Table()
	v.members = membership.New(config.Membership, v.rng.Uint64(), now)
	if len(config.Peers) > 0 {
		v.members.Receive(now, platformMessage(&message.VMList{Members: config.Peers}))
	}
	v.applyMemberChanges()
	return v
}

func platformMessage(body message.Body) message.Message {
	return message.Message{From: message.Address{Kind: message.PeerPlatform}, Body: body}
}

// Receive handles one message at time now and returns the messages to send. The result is
// valid until the next call.
func (v *VM) Receive(now time.Duration, m message.Message) []message.Message {
	v.begin(now)
	switch body := m.Body.(type) {
	case *message.Open, *message.Request, *message.Cancel, *message.Close:
		v.handleCallerMessage(m.From, body)
	case *message.Forward:
		v.handleForward(body)
	case *message.KindClosed:
		v.recordKindClosed(body)
	case *message.Answer:
		v.handleAnswer(m.From, body)
	case *message.Shed:
		v.handleShed(body)
	case *message.TargetReport:
		v.handleTargetReport(body)
	case *message.LoadReport:
		v.recordLoad(body)
	case *message.Handover:
		v.handleHandover(m.From, body)
	case *message.HandoverAck:
		v.handleHandoverAck(body)
	case *message.Released:
		v.handleReleased(body)
	case *message.TablePull:
		v.handleTablePull(m.From, body)
	case *message.TableDelta:
		v.handleTableDelta(body)
	default:
		v.handleMemberMessage(m)
	}
	return v.out
}

// Tick does the work that is due at now and returns the messages to send. It must be
// called every 10 ms. The result is valid until the next call.
func (v *VM) Tick(now time.Duration) []message.Message {
	v.begin(now)
	v.tickMembers()
	v.findOwnedTargets()
	for _, t := range slices.Clone(v.sortedTargets) {
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

// Leave starts the planned leave: the VM hands over its targets and finishes the requests
// in flight. HasLeft reports the end. The result is valid until the next call.
func (v *VM) Leave(now time.Duration) []message.Message {
	v.begin(now)
	v.startLeave()
	return v.out
}

// startLeave marks the VM as leaving, so that it hands over its targets.
func (v *VM) startLeave() {
	v.leaveIdleSince = v.now
	if v.leaving {
		return
	}
	v.leaving = true
	v.addLeaveStartedNotice()
	v.emit(v.members.Leave(v.now))
	v.applyMemberChanges()
}

// leaveLingerTime is how long a VM without targets still forwards datagrams that were sent
// to it before its leave was known.
const leaveLingerTime = time.Second

// HasLeft reports whether the planned leave has ended.
func (v *VM) HasLeft() bool {
	return v.leaving && v.now-v.leaveIdleSince >= leaveLingerTime
}

// updateLeaveProgress restarts the linger time while the leave has work to do.
func (v *VM) updateLeaveProgress() {
	if !v.leaving {
		return
	}
	if len(v.inFlight) > 0 || len(v.handedOverInFlight) > 0 || len(v.movesByTransfer) > 0 || v.hasStateToHandOver() {
		v.leaveIdleSince = v.now
	}
	v.addLeaveFinishedNotice()
}

// hasStateToHandOver reports whether a target still has requests, or flows that another VM
// can take over.
func (v *VM) hasStateToHandOver() bool {
	for _, t := range v.sortedTargets {
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

// expire removes expired state of the VM and updates the progress of a planned leave.
func (v *VM) expire() {
	for id, r := range v.removedTargets {
		if v.now >= r.until {
			delete(v.removedTargets, id)
			v.owners.Forget(id)
		}
	}
	for id, h := range v.handedOver {
		if v.now >= h.until {
			delete(v.handedOver, id)
		}
	}
	for key, r := range v.handedOverInFlight {
		if v.now >= r.until {
			delete(v.handedOverInFlight, key)
		}
	}
	for d, until := range v.closedKinds {
		if v.now >= until {
			delete(v.closedKinds, d)
		}
	}
	v.updateLeaveProgress()
}
