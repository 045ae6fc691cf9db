package vm

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// loadBench is a VM of one service whose neighbours stay alive.
type loadBench struct {
	*VM
	all  []message.Member
	at   time.Duration
	next uint64 // flow
}

// newLoadBench returns a VM that has reported its targets, which have flows each.
func newLoadBench(t *testing.T, vms, targets, flows int) *loadBench {
	v, all := costVM(t, vms, targets)
	b := &loadBench{VM: v, all: all}
	b.run(10 * time.Second)
	for _, tg := range v.order {
		b.open(tg, flows)
	}
	b.run(reportRefresh + time.Second) // the next refresh is 4 s away
	if len(v.order) == 0 {
		t.Fatal("the VM owns no target")
	}
	return b
}

// run returns the number of load reports sent in d.
func (b *loadBench) run(d time.Duration) int {
	reports := 0
	for until := b.at + d; b.at < until; {
		b.at += 10 * time.Millisecond
		reports += b.tick()
	}
	return reports
}

func (b *loadBench) tick() int {
	reports := 0
	var probed []*message.HeartbeatAck
	for _, m := range b.Tick(b.at) {
		switch body := m.Body.(type) {
		case *message.LoadReport:
			reports++
		case *message.Heartbeat:
			probed = append(probed, &message.HeartbeatAck{Sequence: body.Sequence, Self: b.member(m.To.VM)})
		}
	}
	for _, ack := range probed {
		b.Receive(b.at, message.Message{From: message.VMAddress(ack.Self.ID, callerAddr), Body: ack})
	}
	return reports
}

func (b *loadBench) member(id message.VMID) message.Member {
	for _, m := range b.all {
		if m.ID == id {
			return m
		}
	}
	return message.Member{}
}

func (b *loadBench) open(t *target, flows int) {
	for range flows {
		b.next++
		t.flows.Open(b.at, t.service, message.FlowID{Hi: 1, Lo: b.next}, true)
	}
}

// Guards against reports that go out while nothing changes, which took 6.8 kB/s of
// a VM with 10.7 targets, and against ones that stop, so that receivers forget them.
func TestLoadsAtRestAreRefreshed(t *testing.T) {
	is := is.New(t)
	b := newLoadBench(t, 4, 8, 1000)
	b.open(b.order[0], 4)
	is.True(len(b.order[0].reporting.receivers) > 1)
	want := 0
	for _, tg := range b.order {
		want += len(tg.reporting.receivers)
	}
	is.Equal(b.run(reportRefresh), want)
	is.True(reportRefresh < loadRetention/3)
}

// Guards against owners that place flows by figures of a second ago.
func TestChangedLoadsAreReportedEarly(t *testing.T) {
	cases := []struct {
		name   string
		change func(b *loadBench, t *target)
		within time.Duration
	}{
		{"flows", func(b *loadBench, t *target) { b.open(t, 20) }, reportMinimum + 10*time.Millisecond},
		{"weight", func(_ *loadBench, t *target) { t.row.Weight++ }, 10 * time.Millisecond},
		{"health", func(_ *loadBench, t *target) { t.reporting.last.ejected = true }, 10 * time.Millisecond},
		{"an owner restarted", func(b *loadBench, _ *target) { b.restart() }, ownerCheck + 10*time.Millisecond},
	}
	for _, c := range cases {
		b := newLoadBench(t, 4, 8, 1000)
		if n := b.run(2 * ownerCheck); n > 0 {
			t.Errorf("%s: %d reports before the change", c.name, n)
		}
		c.change(b, b.order[0])
		if b.run(c.within) == 0 {
			t.Errorf("%s: not reported within %v", c.name, c.within)
		}
	}
}

// restart lets a VM that owns a target return with a higher incarnation.
func (b *loadBench) restart() {
	r := b.order[0].reporting.receivers[0]
	for i := range b.all {
		if b.all[i].ID == r.vm {
			b.all[i].Incarnation++
			b.Receive(b.at, message.Message{Body: &message.Heartbeat{Self: b.all[i]}})
		}
	}
}

// Guards against early reports that exceed the budget of control traffic when the
// flows of many targets change, and against targets that are left out then.
func TestEarlyReportsAreBounded(t *testing.T) {
	is := is.New(t)
	b := newLoadBench(t, 20, 200, 100)
	is.True(len(b.order) >= 5)
	b.run(time.Second)
	const seconds = 4
	start, reports := b.at, 0
	for range seconds * 10 {
		for _, tg := range b.order {
			b.open(tg, 10)
		}
		reports += b.run(100 * time.Millisecond)
	}
	for _, tg := range b.order {
		is.True(tg.reporting.last.at >= start)
	}
	is.True(reports > 0)
	is.True(reports <= seconds*reportRate+2*reportReceivers)
}

// Guards against a growth over a short time that is carried on after the reports
// have stopped, and against a rotating report whose growth is not carried on.
func TestGrowthIsCarriedOnAsLongAsItWasSeen(t *testing.T) {
	is := is.New(t)
	l := load{flows: 1000, weight: 1, at: 10 * time.Second, growth: 100, window: 100 * time.Millisecond}
	is.Equal(l.expected(14*time.Second, rise{}), 1100.0)
	l.window = 5 * time.Second
	is.Equal(l.expected(14*time.Second, rise{}), 1400.0)
	is.Equal(l.expected(18*time.Second, rise{}), 1500.0)
}
