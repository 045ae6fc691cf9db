package vm

import (
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// Counters calls yield with the name, tags and value of every counter, until it returns
// false. yield must not retain the tags.
func (v *VM) Counters(yield func(name string, tags map[string]string, value int64) bool) {
	c := &v.counters
	named := []struct {
		name  string
		value uint64
	}{
		{"forwarded", c.Forwarded},
		{"flows_opened", c.FlowsOpened},
		{"flows_adopted", c.FlowsAdopted},
		{"flows_moved", c.FlowsMoved},
		{"flows_closed", c.FlowsClosed},
		{"flows_unknown", c.FlowsUnknown},
		{"flows_lost", c.FlowsLost},
		{"targets_lost", c.TargetsLost},
		{"ejections", c.Ejections},
		{"lapsed", c.Lapsed},
		{"replays", c.Replays},
		{"stray_answers", c.StrayAnswers},
		{"takeovers", c.Takeovers},
		{"handovers_sent", c.HandoversSent},
		{"handovers_received", c.HandoversReceived},
		{"revocations", c.Revocations},
		{"moves_abandoned", c.MovesAbandoned},
		{"pauses", c.Pauses},
		{"table_rejected", c.TableRejected},
	}
	for _, n := range named {
		if !yield(n.name, nil, int64(n.value)) {
			return
		}
	}
	for _, k := range v.kindCounters {
		if !k.counters(yield) {
			return
		}
	}
	v.otherKinds.counters(yield)
}

// counters yields the counters of one kind of requests. It returns false if yield did.
func (c *kindCounters) counters(yield func(name string, tags map[string]string, value int64) bool) bool {
	tags := map[string]string{"service": c.service, "kind": c.kind}
	ok := yield("dispatched", tags, int64(c.dispatched)) &&
		yield("completed", tags, int64(c.completed)) &&
		yield("shed", tags, int64(c.shed)) &&
		yield("queue_wait_microseconds", tags, c.queueWait.Microseconds()) &&
		yield("answer_microseconds", tags, c.answerTime.Microseconds())
	if !ok {
		return false
	}
	for reason := range c.refused {
		for cause, n := range c.refused[reason] {
			if n == 0 {
				continue
			}
			tags["reason"] = message.RefusalReason(reason).String()
			tags["cause"] = message.Cause(cause).String()
			if !yield("refused", tags, int64(n)) {
				return false
			}
		}
	}
	return true
}

// Gauges calls yield with the name, tags and value of every gauge, until it returns false:
// for each owned target its flows, used slots, waiting requests, limit and the drift from
// its share, and for each kind the waiting requests. yield must not retain the tags.
func (v *VM) Gauges(yield func(name string, tags map[string]string, value float64) bool) {
	waiting := make(map[message.ServiceID][]int)
	for _, t := range v.sortedTargets {
		if len(t.epochs) == 0 {
			// The first activation is still to come.
			continue
		}
		v.addWaiting(waiting, t)
		tags := map[string]string{"target": v.targetName(t.id)}
		ok := yield("flows", tags, float64(t.flows.Len())) &&
			yield("in_flight", tags, float64(t.queue.InFlight())) &&
			yield("queued", tags, float64(t.queue.Len())) &&
			yield("limit", tags, float64(t.row.Limit)) &&
			yield("share_drift", tags, v.shareDrift(t))
		if !ok {
			return
		}
	}
	for id, kinds := range waiting {
		s := v.table.Service(id)
		for kind, n := range kinds {
			tags := map[string]string{"service": s.Name, "kind": kindName(s, message.KindID(kind))}
			if !yield("waiting", tags, float64(n)) {
				return
			}
		}
	}
}

// addWaiting adds the requests that wait for a target to those of its service, by kind.
func (v *VM) addWaiting(waiting map[message.ServiceID][]int, t *target) {
	var s *table.Service
	if s = v.table.Service(t.service); s == nil {
		return
	}
	if waiting[t.service] == nil {
		waiting[t.service] = make([]int, len(s.Kinds))
	}
	for kind := range waiting[t.service] {
		waiting[t.service][kind] += t.queue.Waiting(message.KindID(kind))
	}
}
