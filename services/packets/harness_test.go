package packets

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/forward"
	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
)

// settableClock is a clock that a test moves.
type settableClock struct{ now time.Duration }

func (c *settableClock) Now() time.Duration { return c.now }

// pausingCodec decodes every datagram to a SYN of its own flow. The process is paused while it decodes
// the second one.
type pausingCodec struct {
	clock   *settableClock
	pause   time.Duration
	decoded uint16
}

func (c *pausingCodec) Decode([]byte) (flow.Packet, error) {
	c.decoded++
	if c.decoded == 2 {
		c.clock.now += c.pause
	}
	return flow.Packet{Flow: flow.Key{Caller: flow.Endpoint{Port: c.decoded}, Address: testAddress}, Flags: flow.SYN}, nil
}

func (c *pausingCodec) Encapsulate([]byte, uint64, flow.Cookie)      {}
func (c *pausingCodec) AppendReset(dst []byte, _ flow.Packet) []byte { return dst }

var testAddress = flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 80}

// discardSocket is a socket that sends to nobody.
type discardSocket struct{}

func (discardSocket) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	return 0, netip.AddrPort{}, errors.New("nothing to read")
}
func (discardSocket) WriteToUDPAddrPort(b []byte, _ netip.AddrPort) (int, error) { return len(b), nil }
func (discardSocket) Close() error                                               { return nil }

type discardLog struct{}

func (discardLog) Log(*events.Event, ...events.Field) {}

// recordingReceiver keeps the announcements.
type recordingReceiver struct{ announcements []relay.Announcement }

func (r *recordingReceiver) Announce(a relay.Announcement) {
	r.announcements = append(r.announcements, a)
}
func (*recordingReceiver) SetReport([]relay.Load, []relay.Sample, []relay.TargetReport) {}

type readySwitch struct{ set bool }

func (s *readySwitch) IsSet() bool  { return s.set }
func (s *readySwitch) Set(set bool) { s.set = set }
func (s *readySwitch) Leave()       {}

// newTestService returns a service with a route, one target and the given codec, whose start is over. Its
// duty runs when the test calls step.
func newTestService(t *testing.T, clock *settableClock, codec Codec) (*Service, *recordingReceiver) {
	is := is.New(t)
	s := New(Config{Socket: discardSocket{}, Codec: codec, Headroom: 8, MaxPacketSize: 32, Forward: forward.Config{Domain: "a"}})
	is.NoErr(s.Setup(kernel.NewStepped(clock)))
	reports := &recordingReceiver{}
	s.log, s.ready, s.reports = discardLog{}, &readySwitch{}, reports
	for _, change := range []catalog.Change{
		{Revision: 1, Configuration: &catalog.Configuration{Version: 1, Routes: []catalog.Route{{Address: testAddress, Shares: []catalog.Share{{Service: "s", Weight: 1}}}}}},
		{Revision: 2, Target: &catalog.Entry{ID: "i-1", Number: 1, Service: "s", Domain: "a", Slots: 1, State: catalog.Ready}},
		{Revision: 3, Synced: true},
	} {
		s.forwarder.Apply(clock.now, change)
	}
	s.step(clock.now)
	for range 2 { // the start counts as a stall, and so does the first of these pauses
		clock.now += 2 * time.Second
		s.step(clock.now)
	}
	return s, reports
}
