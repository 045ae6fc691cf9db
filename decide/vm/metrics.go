package vm

import (
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// Counters calls yield with the name, tags and value of every counter, for
// metrics. yield must not keep the tags.
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
	for _, w := range v.work {
		if !w.counters(yield) {
			return
		}
	}
	v.otherWork.counters(yield)
}

// counters yields the counters of one kind of work. It reports whether yield
// wants more.
func (w *work) counters(yield func(name string, tags map[string]string, value int64) bool) bool {
	tags := map[string]string{"service": w.service, "kind": w.kind}
	ok := yield("dispatched", tags, int64(w.dispatched)) &&
		yield("completed", tags, int64(w.completed)) &&
		yield("shed", tags, int64(w.shed)) &&
		yield("queue_wait_microseconds", tags, w.waited.Microseconds()) &&
		yield("answer_microseconds", tags, w.answered.Microseconds())
	if !ok {
		return false
	}
	for reason := range w.refused {
		for cause, n := range w.refused[reason] {
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

// Gauges calls yield with the name, tags and value of every gauge: for each owned
// target its flows, its drift from the share in the table, and its slots; for
// each kind of work the requests that wait. yield must not keep the tags.
func (v *VM) Gauges(yield func(name string, tags map[string]string, value float64) bool) {
	waiting := make(map[message.ServiceID][]int)
	for _, t := range v.order {
		if len(t.epochs) == 0 {
			// The ownership has not begun.
			continue
		}
		v.addWaiting(waiting, t)
		tags := map[string]string{"target": v.targetName(t.id)}
		ok := yield("flows", tags, float64(t.flows.Len())) &&
			yield("in_flight", tags, float64(t.queue.InFlight())) &&
			yield("queued", tags, float64(t.queue.Len())) &&
			yield("limit", tags, float64(t.row.Limit)) &&
			yield("share_drift", tags, v.drift(t))
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

// addWaiting adds the requests that wait for a target to those of its service.
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
