package vm

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// loadHarness drives a VM of one service and acknowledges its heartbeats.
type loadHarness struct {
	*VM
	fleet    []message.Member
	at       time.Duration
	nextFlow uint64 // id of the next flow to open
}

// newLoadHarness returns a VM that owns targets with the given number of flows each, and
// has reported them.
func newLoadHarness(t *testing.T, vms, targets, flows int) *loadHarness {
	v, fleet := newCostVM(t, vms, targets)
	h := &loadHarness{VM: v, fleet: fleet}
	h.run(10 * time.Second)
	for _, tg := range v.sortedTargets {
		h.openFlows(tg, flows)
	}
	h.run(reportRefreshInterval + time.Second) // the next refresh is 4 s away
	if len(v.sortedTargets) == 0 {
		t.Fatal("the VM owns no target")
	}
	return h
}

// run ticks the VM for d and returns the number of load reports that it sent.
func (h *loadHarness) run(d time.Duration) int {
	reports := 0
	for until := h.at + d; h.at < until; {
		h.at += 10 * time.Millisecond
		reports += h.tick()
	}
	return reports
}

func (h *loadHarness) tick() int {
	reports := 0
	var acks []*message.HeartbeatAck
	for _, m := range h.Tick(h.at) {
		switch body := m.Body.(type) {
		case *message.LoadReport:
			reports++
		case *message.Heartbeat:
			acks = append(acks, &message.HeartbeatAck{Sequence: body.Sequence, Self: h.member(m.To.VM)})
		}
	}
	for _, ack := range acks {
		h.Receive(h.at, message.Message{From: message.VMAddress(ack.Self.ID, callerAddr), Body: ack})
	}
	return reports
}

func (h *loadHarness) member(id message.VMID) message.Member {
	for _, m := range h.fleet {
		if m.ID == id {
			return m
		}
	}
	return message.Member{}
}

func (h *loadHarness) openFlows(t *target, flows int) {
	for range flows {
		h.nextFlow++
		t.flows.Open(h.at, t.service, message.FlowID{Hi: 1, Lo: h.nextFlow}, true)
	}
}

// Guards against reports while nothing changes, which took 6.8 kB/s of a VM with 10.7
// targets, and against missing refreshes, after which the receivers drop the load.
func TestUnchangedLoadsAreRefreshed(t *testing.T) {
	is := is.New(t)
	h := newLoadHarness(t, 4, 8, 1000)
	h.openFlows(h.sortedTargets[0], 4)
	is.True(len(h.sortedTargets[0].reportState.receivers) > 1)
	want := 0
	for _, tg := range h.sortedTargets {
		want += len(tg.reportState.receivers)
	}
	is.Equal(h.run(reportRefreshInterval), want)
	is.True(reportRefreshInterval < loadRetention/3)
}

// Guards against owners that place flows by reports that are a second old.
func TestChangedLoadsAreReportedEarly(t *testing.T) {
	cases := []struct {
		name   string
		change func(h *loadHarness, t *target)
		within time.Duration
	}{
		{"flows", func(h *loadHarness, t *target) { h.openFlows(t, 20) }, minReportInterval + 10*time.Millisecond},
		{"weight", func(_ *loadHarness, t *target) { t.row.Weight++ }, 10 * time.Millisecond},
		{"health", func(_ *loadHarness, t *target) { t.reportState.lastReport.ejected = true }, 10 * time.Millisecond},
		{"an owner restarted", func(h *loadHarness, _ *target) { h.restartReceiver() }, ownerCheckInterval + 10*time.Millisecond},
	}
	for _, c := range cases {
		h := newLoadHarness(t, 4, 8, 1000)
		if n := h.run(2 * ownerCheckInterval); n > 0 {
			t.Errorf("%s: %d reports before the change", c.name, n)
		}
		c.change(h, h.sortedTargets[0])
		if h.run(c.within) == 0 {
			t.Errorf("%s: not reported within %v", c.name, c.within)
		}
	}
}

// restartReceiver gives a VM that got the last report a higher incarnation.
func (h *loadHarness) restartReceiver() {
	r := h.sortedTargets[0].reportState.receivers[0]
	for i := range h.fleet {
		if h.fleet[i].ID == r.vm {
			h.fleet[i].Incarnation++
			h.Receive(h.at, message.Message{Body: &message.Heartbeat{Self: h.fleet[i]}})
		}
	}
}

// Guards against early reports that exceed the budget for control traffic when the flows
// of many targets change, and against targets without a report at that time.
func TestEarlyReportsAreBounded(t *testing.T) {
	is := is.New(t)
	h := newLoadHarness(t, 20, 200, 100)
	is.True(len(h.sortedTargets) >= 5)
	h.run(time.Second)
	const seconds = 4
	start, reports := h.at, 0
	for range seconds * 10 {
		for _, tg := range h.sortedTargets {
			h.openFlows(tg, 10)
		}
		reports += h.run(100 * time.Millisecond)
	}
	for _, tg := range h.sortedTargets {
		is.True(tg.reportState.lastReport.at >= start)
	}
	is.True(reports > 0)
	is.True(reports <= seconds*maxReportRate+2*maxReportReceivers)
}

// Guards against extrapolating the growth of a short interval long after the last report,
// and against not extrapolating the growth between rotating reports.
func TestGrowthIsExtrapolatedOverItsInterval(t *testing.T) {
	is := is.New(t)
	l := targetLoad{flows: 1000, weight: 1, at: 10 * time.Second, growth: 100, interval: 100 * time.Millisecond}
	is.Equal(l.expectedFlows(14*time.Second, flowGain{}), 1100.0)
	l.interval = 5 * time.Second
	is.Equal(l.expectedFlows(14*time.Second, flowGain{}), 1400.0)
	is.Equal(l.expectedFlows(18*time.Second, flowGain{}), 1500.0)
}
