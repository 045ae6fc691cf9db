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

// maxEpochs is the number of epochs that a target accepts. An older binding must be
// refreshed.
const maxEpochs = 8

// target is the state of one target that this VM owns, is about to own, or hands
// over.
type target struct {
	id      message.TargetID
	service message.ServiceID
	row     table.Target // in state Leaving if the row was removed
	machine ownership.Machine
	// epochs are the accepted epochs, the own one first. It is empty before the first
	// activation.
	epochs []message.Epoch
	// lostEpochs are epochs in which the target crashed and lost its flows.
	lostEpochs             []message.Epoch
	flows                  *flowtable.Table
	log                    *requestlog.Log
	queue                  *admission.Queue
	health                 *health.Tracker
	reached                bool          // the target has answered a health check or a request
	takenOverAt            time.Duration // time of the first activation with a new epoch; 0 without one
	dispatchSuspendedUntil time.Duration // see markReached
	lastAnswerAt           time.Duration // time of the last part of an answer
	ejected                bool          // out of service for new flows because of its health
	pending                map[message.RequestKey]*pending
	moved                  map[message.FlowID]movedFlow // flows that moved to other targets
	movesByFlow            map[message.FlowID]*flowMove
	// movesNoticed and movedCount are for the notices of a leaving target.
	movesNoticed bool
	movedCount   int // flows that have moved away

	incoming *incoming // handover being received
	outgoing *outgoing // handover being sent
	// lastTransfer is the last handover that was merged; its sender retransmits it if
	// the confirmation was lost.
	lastTransfer uint64
	nextSweep    time.Duration
	createdAt    time.Duration

	reportState reportState

	inheritedFlows int           // flows of a crashed owner that are not adopted yet
	inheritedUntil time.Duration // when the rest of them counts as ended
}

// pending is an unanswered request at this VM.
type pending struct {
	key          message.RequestKey
	attempt      uint32
	kind         message.KindID
	caller       netip.AddrPort
	ingress      message.VMID
	deadline     time.Duration // on the VM's clock
	offeredAt    time.Duration // time of the offer to this VM's queue
	parts        []*message.Request
	missingParts int  // number of parts that have not arrived
	dispatched   bool // sent to the target
	dispatchedAt time.Duration
	cancelled    bool // cancelled by the caller after the dispatch
}

// awaitsPartsOrMove reports whether the request is neither in the queue nor at the target:
// parts are missing, or its flow is about to move.
func (p *pending) awaitsPartsOrMove(t *target) bool {
	return !p.dispatched && (p.missingParts > 0 || t.row.State == table.Leaving)
}

func (v *VM) addTarget(s *table.Service, row table.Target) *target {
	t := &target{
		id:          row.ID,
		service:     s.ID,
		row:         row,
		flows:       flowtable.New(v.config.FlowIdleTimeout),
		log:         requestlog.New(requestlog.Config{MaxAnswerBytes: v.config.MaxAnswerBytes}),
		health:      health.New(health.Config{}, v.now),
		pending:     make(map[message.RequestKey]*pending),
		moved:       make(map[message.FlowID]movedFlow),
		movesByFlow: make(map[message.FlowID]*flowMove),
		reached:     row.DomainID == v.config.Self.Domain,
		createdAt:   v.now,
	}
	t.queue = admission.New(admission.Config{
		Limit:         int(row.Limit),
		Kinds:         kindConfigs(s.Kinds),
		QueueCapacity: v.config.QueueCapacity,
		Seed:          v.rng.Uint64(),
	})
	v.targets[t.id] = t
	at, _ := slices.BinarySearchFunc(v.sortedTargets, t.id, compareTargetID)
	v.sortedTargets = slices.Insert(v.sortedTargets, at, t)
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

// dropTarget removes the state of a target.
func (v *VM) dropTarget(t *target) {
	for key := range t.pending {
		delete(v.inFlight, key)
	}
	delete(v.targets, t.id)
	if at, ok := slices.BinarySearchFunc(v.sortedTargets, t.id, compareTargetID); ok {
		v.sortedTargets = slices.Delete(v.sortedTargets, at, at+1)
	}
}

func (v *VM) setRow(t *target, row table.Target, kinds []table.Kind) {
	t.row = row
	t.queue.SetKinds(kindConfigs(kinds))
	v.setLimit(t)
}

const (
	// lateReachDelay is the time after a takeover from which the first answer of a target
	// means that it was behind a partition. Health checks reach other targets sooner.
	lateReachDelay = 4 * time.Second
	// partitionMergeTime is how long after a partition the VMs of both sides need to learn
	// of each other, and so to agree on one owner for each target.
	partitionMergeTime = 3 * time.Second
)

// setLimit sets the slots of the queue by the table's limit and the target's health. There
// are none while dispatch is suspended (see markReached), and none after lateReachDelay
// until the target has answered.
func (v *VM) setLimit(t *target) {
	limit := t.health.Concurrency(v.now, int(t.row.Limit))
	if v.now < t.dispatchSuspendedUntil || !t.reached && v.now-t.takenOverAt >= lateReachDelay {
		limit = 0
	}
	t.queue.SetLimit(limit)
}

// markReached records that the target has answered. If its first answer comes late after
// the takeover, the target was behind a partition, where another VM owns it. Dispatch is
// then suspended until the VMs have discovered each other, since each of them would dispatch up to
// the limit.
func (v *VM) markReached(t *target) {
	if t.reached {
		return
	}
	t.reached = true
	if v.now-t.takenOverAt >= lateReachDelay {
		t.dispatchSuspendedUntil = v.now + partitionMergeTime
	}
}

// activate begins an ownership. Retained state stays valid: its epochs were issued by this
// VM or inherited with their log.
func (v *VM) activate(t *target) {
	if len(t.epochs) > 0 && t.incoming != nil && len(t.incoming.chunks) > 0 {
		// Another VM had merged this VM's state and sent it back, but not all of it
		// arrived. Requests that it dispatched are missing in the log.
		v.revoke(t)
	}
	if len(t.epochs) == 0 {
		t.epochs = []message.Epoch{v.newEpoch()}
		v.inheritLoad(t)
		t.takenOverAt = v.now
		v.counters.Takeovers++
		v.addTargetNotice(notice.TargetTakenOver, t, 0, t.flows.Len())
	}
	v.trace.add(v, decision{action: actionActivate, target: t.id})
	v.serveBuffered(t)
}

// revoke replaces all epochs by a new one, because another VM may have inherited them. The
// flows stay.
func (v *VM) revoke(t *target) {
	t.epochs = []message.Epoch{v.newEpoch()}
	// The receiver may have dispatched the requests that waited here, so the old log is no
	// longer reliable. Answers to requests in flight still reach their callers.
	for _, p := range t.sortedPending() {
		if !p.dispatched {
			delete(t.pending, p.key)
			v.sendRefusal(p.caller, &message.Refusal{
				Flow: p.key.Flow, ID: p.key.ID, Attempt: p.attempt,
				Reason: message.MayHaveRun, Cause: message.CauseOwnerMoved, Binding: t.binding(),
			}, t.id, v.kindCountersOf(t.service, p.kind))
		}
	}
	t.log = requestlog.New(requestlog.Config{MaxAnswerBytes: v.config.MaxAnswerBytes})
	t.flows.All(func(f *flowtable.Flow) bool {
		f.Epochs = nil
		return true
	})
	t.outgoing = nil
	v.counters.Revocations++
	v.addTargetNotice(notice.EpochsRevoked, t, t.machine.Receiver(), t.flows.Len())
}

// dropUnownedTarget removes a target that another VM owns, and refuses its requests that
// were not dispatched. Answers to requests in flight, for example from before a pause, are
// forwarded to that owner. Buffered messages are served or forwarded again.
func (v *VM) dropUnownedTarget(t *target) {
	messages := t.bufferedMessages()
	v.refuseUndispatched(t)
	if owner, ok := v.ownerOf(t.id, t.row.DomainID); ok {
		v.recordHandedOverInFlight(t, owner)
	}
	v.dropTarget(t)
	for _, f := range messages {
		v.serveOrForward(f)
	}
}

// binding returns the binding for the callers of the target's flows. It is zero before the
// first activation.
func (t *target) binding() message.Binding {
	if len(t.epochs) == 0 {
		return message.Binding{}
	}
	return message.Binding{Target: t.id, Epoch: t.epochs[0]}
}

func (t *target) acceptsEpoch(e message.Epoch) bool {
	return slices.Contains(t.epochs, e)
}

// addEpochs adds epochs that were inherited together with their request log.
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
	if t.machine.Phase() == ownership.Idle && v.now-t.createdAt >= ownership.TransferTimeout {
		// The sender of a handover died before all chunks had arrived.
		v.dropUnownedTarget(t)
		return
	}
	if t.machine.Phase() != ownership.Active {
		return
	}
	v.tickHealth(t)
	v.setLimit(t)
	v.dispatchQueued(t)
	v.moveFlows(t)
	v.dropRemovedTarget(t)
}

// dropRemovedTarget removes the state of a target whose row is gone, once removedRetention
// has passed and it has no flows and requests.
func (v *VM) dropRemovedTarget(t *target) {
	if row, _ := v.table.Target(t.id); row != nil {
		return
	}
	if _, ok := v.removedTargets[t.id]; ok {
		return
	}
	if t.flows.Len() == 0 && len(t.pending) == 0 {
		v.dropTarget(t)
	}
}

// sweepInterval is the time between two sweeps of a target for incomplete requests and
// moved flows that have expired.
const sweepInterval = time.Second

// expireRequests ends the dispatched and incomplete requests that have expired, idle flows
// and other expired state of a target. dispatchQueued refuses expired requests in the queue.
func (v *VM) expireRequests(t *target) {
	t.queue.Expire(v.now, func(key message.RequestKey) { v.timeOutRequest(t, key) })
	t.log.Expire(v.now, func(message.RequestKey) {})
	t.flows.Expire(v.now, func(f *flowtable.Flow) { v.endFlow(t, f) })
	if v.now < t.nextSweep {
		return
	}
	t.nextSweep = v.now + sweepInterval
	if v.now >= t.inheritedUntil {
		t.inheritedFlows = 0
	}
	for key, p := range t.pending {
		if p.awaitsPartsOrMove(t) && v.now >= p.deadline {
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

// endFlow ends an idle flow at this VM and at the target.
func (v *VM) endFlow(t *target, f *flowtable.Flow) {
	t.log.RemoveFlow(f.ID)
	v.send(message.TargetAddress(t.id, t.row.Addr), &message.FlowEnd{Target: t.id, Flow: f.ID})
}
