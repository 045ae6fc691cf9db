package vm

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/admission"
	"github.com/gypsumspan/gypsumspan/decide/flowtable"
	"github.com/gypsumspan/gypsumspan/decide/health"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/notice"
	"github.com/gypsumspan/gypsumspan/decide/ownership"
	"github.com/gypsumspan/gypsumspan/decide/requestlog"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// maxEpochs is the number of epochs whose stamps a target accepts. A binding
// that is older than so many ownerships must be refreshed.
const maxEpochs = 8

// target is the state of one target that this VM owns, is about to own, or hands
// over.
type target struct {
	id      message.TargetID
	service message.ServiceID
	row     table.Target // state Leaving when the row was removed
	machine ownership.Machine
	// epochs are the accepted stamps, the own epoch first. Empty before the
	// first activation.
	epochs []message.Epoch
	// lost are epochs under which the target crashed and lost its flows.
	lost     []message.Epoch
	flows    *flowtable.Table
	log      *requestlog.Log
	queue    *admission.Queue
	health   *health.Tracker
	reached  bool          // the target has answered a health check or a request
	taken    time.Duration // when this VM took the target over
	heldTill time.Duration // no dispatch until then, see noteReached
	answered time.Duration // last answer to a request
	ejected  bool          // out of service for health
	pending  map[message.RequestKey]*pending
	moved    map[message.FlowID]movedFlow // flows that now belong to other targets
	moving   map[message.FlowID]*move
	// departing and departed describe the moves of a leaving target for notices.
	departing bool
	departed  int // flows that have moved

	incoming *incoming // handover that is being received
	outgoing *outgoing // handover that is being sent
	// lastTransfer is the last whole handover that was merged; its sender may
	// repeat it when the confirmation is lost.
	lastTransfer uint64
	sweep        time.Duration
	created      time.Duration

	reporting reporting

	inherited      int           // flows of a crashed owner that were not adopted yet
	inheritedUntil time.Duration // when they count as ended
}

// pending is a request that this VM has not answered yet.
type pending struct {
	key        message.RequestKey
	attempt    uint32
	kind       message.KindID
	caller     netip.AddrPort
	ingress    message.VMID
	deadline   time.Duration // absolute
	offered    time.Duration // to the queue of this VM
	parts      []*message.Request
	missing    int           // parts that have not arrived
	dispatched bool          // sent to the target
	sentAt     time.Duration // when it was dispatched
	cancelled  bool          // by the caller, while at the target
}

// waits reports whether the request is neither in the queue nor at the target:
// parts are missing, or its flow is about to move away.
func (p *pending) waits(t *target) bool {
	return !p.dispatched && (p.missing > 0 || t.row.State == table.Leaving)
}

func (v *VM) addTarget(s *table.Service, row table.Target) *target {
	t := &target{
		id:      row.ID,
		service: s.ID,
		row:     row,
		flows:   flowtable.New(v.config.FlowIdleTimeout),
		log:     requestlog.New(requestlog.Config{MaxAnswerBytes: v.config.AnswerBytes}),
		health:  health.New(health.Config{}, v.now),
		pending: make(map[message.RequestKey]*pending),
		moved:   make(map[message.FlowID]movedFlow),
		moving:  make(map[message.FlowID]*move),
		reached: row.DomainID == v.config.Self.Domain,
		created: v.now,
	}
	t.queue = admission.New(admission.Config{
		Limit:         int(row.Limit),
		Kinds:         kindConfigs(s.Kinds),
		QueueCapacity: v.config.QueueCapacity,
		Seed:          v.rng.Uint64(),
	})
	v.targets[t.id] = t
	at, _ := slices.BinarySearchFunc(v.order, t.id, compareTargetID)
	v.order = slices.Insert(v.order, at, t)
	return t
}

func compareTargetID(t *target, id message.TargetID) int {
	return cmp.Compare(t.id, id)
}

func kindConfigs(kinds []table.Kind) []admission.KindConfig {
	configs := make([]admission.KindConfig, len(kinds))
	for i, k := range kinds {
		configs[i] = admission.KindConfig{Urgency: k.Urgency, Share: k.Share}
	}
	return configs
}

// dropTarget forgets a target whose state is not needed any more.
func (v *VM) dropTarget(t *target) {
	for key := range t.pending {
		delete(v.inFlight, key)
	}
	delete(v.targets, t.id)
	if at, ok := slices.BinarySearchFunc(v.order, t.id, compareTargetID); ok {
		v.order = slices.Delete(v.order, at, at+1)
	}
}

func (v *VM) setRow(t *target, row table.Target, kinds []table.Kind) {
	t.row = row
	t.queue.SetKinds(kindConfigs(kinds))
	v.setLimit(t)
}

const (
	// lateReach is the time after a takeover from which a target that is reached for
	// the first time was behind a partition: health checks reach others within it.
	lateReach = 4 * time.Second
	// sidesMeet is the time that the VMs of both sides of a healed partition need to
	// know of each other, and so of the one owner of each target.
	sidesMeet = 3 * time.Second
)

// setLimit applies the table's limit and the target's health to the slots.
func (v *VM) setLimit(t *target) {
	limit := t.health.Concurrency(v.now, int(t.row.Limit))
	if v.now < t.heldTill || !t.reached && v.now-t.taken >= lateReach {
		limit = 0
	}
	t.queue.SetLimit(limit)
}

// noteReached notes that the target has answered. One that is reached long after its
// takeover was behind a partition, where another VM owns it: both would dispatch to it,
// each up to the limit, until they know of each other.
func (v *VM) noteReached(t *target) {
	if t.reached {
		return
	}
	t.reached = true
	if v.now-t.taken >= lateReach {
		t.heldTill = v.now + sidesMeet
	}
}

// activate takes the ownership. Kept state stays valid: its stamps were issued
// by this VM or inherited with their log.
func (v *VM) activate(t *target) {
	if len(t.epochs) > 0 && t.incoming != nil && len(t.incoming.chunks) > 0 {
		// Another VM had merged this VM's state and sent it back, but not all of it
		// arrived. What it dispatched meanwhile is not in the log here.
		v.revoke(t)
	}
	if len(t.epochs) == 0 {
		t.epochs = []message.Epoch{v.newEpoch()}
		v.inheritLoad(t)
		t.taken = v.now
		v.counters.Takeovers++
		v.noteTarget(notice.TargetTakenOver, t, 0, t.flows.Len())
	}
	v.trace.add(v, decision{action: actionActivate, target: t.id})
	v.replayIncoming(t)
}

// revoke gives up all stamps, because another VM may have inherited them. The
// flows stay.
func (v *VM) revoke(t *target) {
	t.epochs = []message.Epoch{v.newEpoch()}
	// The receiver may have dispatched what waited here, so the old log can't
	// tell any more. Answers to requests in flight still reach their callers.
	for _, p := range t.sortedPending() {
		if !p.dispatched {
			delete(t.pending, p.key)
			v.refusal(p.caller, &message.Refusal{
				Flow: p.key.Flow, ID: p.key.ID, Attempt: p.attempt,
				Reason: message.MayHaveRun, Cause: message.CauseOwnerMoved, Binding: t.binding(),
			}, t.id, v.workOf(t.service, p.kind))
		}
	}
	t.log = requestlog.New(requestlog.Config{MaxAnswerBytes: v.config.AnswerBytes})
	t.flows.All(func(f *flowtable.Flow) bool {
		f.Epochs = nil
		return true
	})
	t.outgoing = nil
	v.counters.Revocations++
	v.noteTarget(notice.EpochsRevoked, t, t.machine.Receiver(), t.flows.Len())
}

// dropWaiting forgets a target that another VM owns now. Requests in flight from
// before a pause are still passed on to the caller.
func (v *VM) dropWaiting(t *target) {
	kept := t.takeKept()
	v.refuseQueued(t)
	if owner, ok := v.ownerOf(t.id, t.row.DomainID); ok {
		v.keepInFlight(t, owner)
	}
	v.dropTarget(t)
	for _, f := range kept {
		v.handle(f)
	}
}

// binding returns the binding that callers shall use for the target's flows.
func (t *target) binding() message.Binding {
	if len(t.epochs) == 0 {
		return message.Binding{}
	}
	return message.Binding{Target: t.id, Epoch: t.epochs[0]}
}

func (t *target) accepts(e message.Epoch) bool {
	return slices.Contains(t.epochs, e)
}

// addEpochs inherits stamps together with their request log.
func (t *target) addEpochs(epochs []message.Epoch) {
	for _, e := range epochs {
		if !slices.Contains(t.epochs, e) {
			t.epochs = append(t.epochs, e)
		}
	}
	if len(t.epochs) > maxEpochs {
		t.epochs = t.epochs[:maxEpochs]
	}
}

// tickTarget does the work that is due for one target.
func (v *VM) tickTarget(t *target) {
	v.tickOwnership(t)
	if v.targets[t.id] != t {
		return
	}
	v.expireRequests(t)
	if t.machine.Phase() == ownership.Idle && v.now-t.created >= ownership.TransferTimeout {
		// The sender of a handover died before it was whole.
		v.dropWaiting(t)
		return
	}
	if t.machine.Phase() != ownership.Active {
		return
	}
	v.tickHealth(t)
	v.setLimit(t)
	v.pump(t)
	v.moveFlows(t)
	v.retire(t)
}

// retire drops the state of a target whose row is gone once nothing is left.
func (v *VM) retire(t *target) {
	if row, _ := v.table.Target(t.id); row != nil {
		return
	}
	if _, ok := v.removed[t.id]; ok {
		return
	}
	if t.flows.Len() == 0 && len(t.pending) == 0 {
		v.dropTarget(t)
	}
}

// sweepInterval is the time between two searches of a target for incomplete
// requests and old moved flows.
const sweepInterval = time.Second

// expireRequests ends what has passed its deadline.
func (v *VM) expireRequests(t *target) {
	t.queue.Expire(v.now, func(key message.RequestKey) { v.lapse(t, key) })
	t.log.Expire(v.now, func(message.RequestKey) {})
	t.flows.Expire(v.now, func(f *flowtable.Flow) { v.endFlow(t, f) })
	if v.now < t.sweep {
		return
	}
	t.sweep = v.now + sweepInterval
	if v.now >= t.inheritedUntil {
		t.inherited = 0
	}
	for key, p := range t.pending {
		if p.waits(t) && v.now >= p.deadline {
			t.log.Refuse(v.now, key, p.attempt, message.CauseDeadline)
			delete(t.pending, key)
		}
	}
	for id, m := range t.moved {
		if v.now >= m.until {
			delete(t.moved, id)
		}
	}
}

// endFlow forgets an idle flow here and at the target.
func (v *VM) endFlow(t *target, f *flowtable.Flow) {
	t.log.RemoveFlow(f.ID)
	v.send(message.TargetAddress(t.id, t.row.Addr), &message.FlowEnd{Target: t.id, Flow: f.ID})
}
