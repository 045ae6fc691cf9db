package soak

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/standin/flowends"
)

// Networks of the tests, which differ from those of the command.
const (
	targetsNetwork = 38
	proxyNetwork   = 39
)

// newTestFleet returns a fleet without VMs, and its two targets, of different services.
func newTestFleet(t *testing.T) (f *fleet, here, other *target) {
	t.Helper()
	f = &fleet{seed: 1, network: targetsNetwork, byName: make(map[string]*target), executions: make(map[string]int)}
	for i, service := range []string{streams, checkins} {
		ends, err := flowends.NewTarget(fmt.Sprint("i-", i+1), uint64(i+1), netip.AddrPortFrom(f.ip(targetKind, i+1), 0), packetsPort)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(ends.Close)
		x := &target{Target: ends, service: service, up: true}
		f.targets = append(f.targets, x)
		f.byName[x.Name] = x
	}
	return f, f.targets[0], f.targets[1]
}

// Guards against wrong answers that are not detected.
func TestCheckAnswer(t *testing.T) {
	cases := []struct {
		name   string
		answer func(here, other *target) string
		before bool // the flow was answered by the target here before
		broken string
	}{
		{"right", func(here, _ *target) string { return here.Name }, true, ""},
		{"of no target", func(_, _ *target) string { return "i-9" }, false, "answered by \"i-9\""},
		{"of another service", func(_, other *target) string { return other.Name }, false, "of checkins"},
		{"of another target", func(_, other *target) string { other.service = streams; return other.Name }, true, "before by"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f, here, other := newTestFleet(t)
			o := &openFlow{Flow: &flowends.Flow{}, service: streams}
			if c.before {
				o.target = here
			}
			f.checkAnswer(o, c.answer(here, other))
			checkViolations(is, f, c.broken)
		})
	}
}

func checkViolations(is *is.I, f *fleet, want string) {
	is.Helper()
	if want == "" {
		is.Equal(len(f.violations), 0)
		return
	}
	is.Equal(len(f.violations), 1)
	is.True(strings.Contains(f.violations[0], want))
}

// Guards against an undetected reset of a flow whose target has it, and against a violation
// for a reset after the flow's target has lost it or this process was stalled.
func TestCheckReset(t *testing.T) {
	is := is.New(t)
	f, here, _ := newTestFleet(t)
	caller, err := flowends.NewCaller(netip.AddrPortFrom(f.ip(callerKind, 1), packetsPort))
	is.NoErr(err)
	defer caller.Close()
	o := &openFlow{Flow: &flowends.Flow{From: netip.MustParseAddrPort("127.38.30.1:2000")}, service: streams, target: here}
	f.checkReset(o, true, nil) // the target does not have the flow
	is.Equal(f.counts.Resets, 1)
	checkViolations(is, f, "")

	openAt(t, here, o.From)
	f.lastStall = time.Now()
	f.checkReset(o, true, nil)
	is.Equal(f.counts.Excused, 1)
	checkViolations(is, f, "")

	f.lastStall = time.Time{}
	f.checkReset(o, true, nil)
	checkViolations(is, f, "reset by a VM")
}

// Guards against a reset by another target that passes because of a kill long ago, of a planned stop, or
// of a VM's own reset after a kill.
func TestCheckResetAfterAKill(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name     string
		killedAt time.Time
		bySystem bool
		broken   string
	}{
		{"just killed", now, false, ""},
		{"killed long ago", now.Add(-killSettleTime), false, "by another target"},
		{"never killed", time.Time{}, false, "by another target"},
		{"reset by the VM", now, true, "by a VM"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, here, _ := newTestFleet(t)
			o := &openFlow{Flow: &flowends.Flow{From: netip.MustParseAddrPort("127.38.30.1:2000")}, service: streams, target: here}
			openAt(t, here, o.From)
			f.checkReset(o, c.bySystem, &vm{killedAt: c.killedAt})
			checkViolations(is.New(t), f, c.broken)
		})
	}
}

// openAt opens a flow at a target.
func openAt(t *testing.T, here *target, from netip.AddrPort) {
	t.Helper()
	is := is.New(t)
	before, _, _ := here.Stats()
	send(is, here, flowends.Packet{From: from, To: address(streams), Flags: flowends.SYN, Seq: 1})
	eventually(t, func() bool {
		opened, _, _ := here.Stats()
		return opened > before
	})
	is.True(!here.HasFlow(from)) // half-open
	send(is, here, flowends.Packet{From: from, To: address(streams), Flags: flowends.ACK, Seq: 2, Ack: here.InitialSeq() + 1})
	eventually(t, func() bool { return here.HasFlow(from) })
}

// send sends a packet to a target with the encapsulation of a VM.
func send(is *is.I, t *target, p flowends.Packet) {
	conn, err := net.Dial("udp4", t.Address().String())
	is.NoErr(err)
	defer conn.Close()
	const anyTarget = "\x00\x00\x00\x00\x00\x00\x00\x00"
	_, err = conn.Write(append([]byte(anyTarget), p.Encode()...))
	is.NoErr(err)
}

// eventually waits until another goroutine reaches a state.
func eventually(t *testing.T, reached func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for deadline := time.Now().Add(stateTimeout); !reached(); <-tick.C {
		if time.Now().After(deadline) {
			t.Fatal("not reached")
		}
	}
}

// Guards against a double execution that is not detected.
func TestCheckExecutions(t *testing.T) {
	is := is.New(t)
	f, here, _ := newTestFleet(t)
	f.counts.Answered = 1
	one := netip.MustParseAddrPort("127.38.30.1:2000")
	two := netip.MustParseAddrPort("127.38.30.1:2001")
	for _, from := range []netip.AddrPort{one, two} {
		openAt(t, here, from)
		data := flowends.Packet{From: from, To: address(streams), Flags: flowends.ACK, Seq: 2, Data: []byte("request")}
		send(is, here, data)
		send(is, here, data) // a retransmission is not executed again
	}
	eventually(t, func() bool { return here.Executions()["request"] == 2 })
	f.collectExecutions(here)
	f.checkExecutions()
	checkViolations(is, f, "executed 2 times")
}

// Guards against a proxy that forwards bytes in a mode in which it must drop them.
func TestProxyModes(t *testing.T) {
	store, err := net.Listen("tcp4", "127.39.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	received := make(chan string, 8)
	go echo(store, received)
	p, err := newProxy("127.39.0.2:0", store.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	cases := []struct {
		mode         proxyMode
		reachesStore bool // the store gets the request
		answered     bool
	}{{passing, true, true}, {delayed, true, true}, {oneWay, true, false}, {blackhole, false, false}, {refusing, false, false}}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.mode), func(t *testing.T) {
			is := is.New(t)
			p.set(c.mode)
			conn, err := net.Dial("tcp4", p.listener.Addr().String())
			if err != nil {
				is.Equal(c.mode, refusing)
				return
			}
			defer conn.Close()
			_, _ = conn.Write([]byte("question")) // the checks below detect a reset connection
			if c.reachesStore {
				is.Equal(<-received, "question")
			}
			if c.answered {
				answer := make([]byte, len("question"))
				_, err = io.ReadFull(conn, answer)
				is.NoErr(err)
				return
			}
			const quiet = 50 * time.Millisecond
			is.NoErr(conn.SetReadDeadline(time.Now().Add(quiet)))
			n, _ := conn.Read(make([]byte, 1))
			is.Equal(n, 0)
		})
	}
	is.New(t).Equal(len(received), 0)
}

// echo sends back what it reads, and reports it to received.
func echo(listener net.Listener, received chan<- string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			buf := make([]byte, 64)
			for {
				n, err := conn.Read(buf)
				if err != nil {
					return
				}
				received <- string(buf[:n])
				if _, err := conn.Write(buf[:n]); err != nil {
					return
				}
			}
		}()
	}
}
