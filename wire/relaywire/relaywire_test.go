package relaywire

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/halfopen"
	"github.com/gypsumspan/gypsumspan/decide/relay"
)

// Guards against heartbeat fields that are lost or mixed up by the codec.
func TestHeartbeatRoundTrip(t *testing.T) {
	is := is.New(t)
	key := flow.Key{
		Caller:  flow.Endpoint{IP: [4]byte{100, 64, 0, 7}, Port: 40001},
		Address: flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
	}
	h := relay.Heartbeat{
		Name:     "vm-1",
		Domain:   "west-a",
		Reply:    true,
		Revision: 40,
		Confirmed: relay.Confirmation{
			Revision: 40, Age: 1200 * time.Millisecond, SinceRegained: 5 * time.Second, HasRegained: true,
		},
		Loads:        []relay.Load{{Domain: "west-a", TargetDomain: "west-b", Service: "s", Flows: 3, ActiveRequests: 2}},
		Samples:      []relay.Sample{{TargetCookie: 0xfedcba98, Requests: 20.5, Failures: 4}},
		Boot:         0xfedcba9876543210,
		Grants:       []relay.Grant{{TargetCookie: 0xfedcba98, Born: 1_790_000_000_000, Tokens: 11}},
		Grantee:      0xfedcba9876543211,
		UnansweredBy: []uint32{0xfedcba98, 1},
		Unopened:     []halfopen.Unopened{{Flow: key, TargetCookie: 0xfedcba98, TargetBorn: 1_790_000_000_000, SYNSeq: 0xfedcba97, Copy: true, Age: 450 * time.Millisecond}},
		Opened:       []halfopen.Opened{{Flow: key, TargetCookie: 7, SYNSeq: 0x11223344, Age: 9 * time.Second}},
		Keep:         true,
		HasItems:     true,
		After:        39,
		Items:        []relay.Item{{Key: "targets/a", Value: []byte("x"), Revision: 40}, {Key: "targets/b", Revision: 40, Deleted: true}},
	}
	data, err := AppendHeartbeat(nil, h)
	is.NoErr(err)
	got, err := DecodeHeartbeat(data)
	is.NoErr(err)
	got.Items[1].Value = nil // the codec does not distinguish empty from absent values
	is.Equal(got, h)
}

// Guards against update fields that are lost or mixed up by the codec.
func TestUpdateRoundTrip(t *testing.T) {
	is := is.New(t)
	u := relay.Update{
		Revision:  7,
		Confirmed: relay.Confirmation{Revision: 7, Age: time.Millisecond},
		Complete:  true,
		Items:     []relay.Item{{Key: "config", Value: []byte("{}"), Revision: 7}},
	}
	data, err := EncodeUpdate(u)
	is.NoErr(err)
	got, err := DecodeUpdate(data)
	is.NoErr(err)
	is.Equal(got, u)
}

// Guards against foreign datagrams that are accepted as heartbeats, and heartbeats that
// exceed the size of a datagram.
func TestMalformedHeartbeats(t *testing.T) {
	is := is.New(t)
	for _, data := range [][]byte{nil, {0xff, 0xff}, []byte("GET / HTTP/1.1\r\n")} {
		_, err := DecodeHeartbeat(data)
		is.True(errors.Is(err, ErrMalformed))
	}
	_, err := AppendHeartbeat(nil, relay.Heartbeat{Name: strings.Repeat("x", MaxHeartbeatSize), Domain: "a"})
	is.True(errors.Is(err, ErrMalformed))
}

// Guards against a snapshot that is used although it was truncated, changed, written by a
// later version, or is not complete.
func TestSnapshots(t *testing.T) {
	is := is.New(t)
	u := relay.Update{
		Revision: 7,
		Complete: true,
		Items:    []relay.Item{{Key: "config", Value: []byte("{}"), Revision: 7}, {Key: "targets/a", Value: []byte("x"), Revision: 3}},
	}
	data, err := EncodeSnapshot(u)
	is.NoErr(err)
	got, err := DecodeSnapshot(data)
	is.NoErr(err)
	is.Equal(got, u)
	for n := range data {
		_, err := DecodeSnapshot(data[:n])
		is.True(errors.Is(err, ErrMalformed))
		changed := bytes.Clone(data)
		changed[n] ^= 0x10
		_, err = DecodeSnapshot(changed)
		is.True(err != nil)
	}
	later := bytes.Clone(data)
	later[0] = snapshotVersion + 1
	_, err = DecodeSnapshot(later)
	is.True(errors.Is(err, ErrSnapshotVersion))
	u.Complete = false
	data, err = EncodeSnapshot(u)
	is.NoErr(err)
	_, err = DecodeSnapshot(data)
	is.True(errors.Is(err, ErrMalformed))
}

// Guards against a datagram of flows that is too large to be sent: the largest that package relay makes.
func TestLargestAnnouncementsFit(t *testing.T) {
	const flows, cookies = 20, 64
	is := is.New(t)
	h := relay.Heartbeat{
		Name: strings.Repeat("n", 40), Domain: strings.Repeat("d", 30), Reply: true, Revision: 1 << 40, Boot: 1 << 63,
		Confirmed: relay.Confirmation{Revision: 1 << 40, Age: time.Hour, SinceRegained: time.Hour, HasRegained: true},
	}
	key := flow.Key{Caller: flow.Endpoint{IP: [4]byte{255, 255, 255, 255}, Port: 65535}, Address: flow.Endpoint{IP: [4]byte{255, 255, 255, 255}, Port: 65535}}
	first, second := h, h
	for range flows {
		first.Unopened = append(first.Unopened, halfopen.Unopened{Flow: key, TargetCookie: 1 << 31, TargetBorn: 1_790_000_000_000, SYNSeq: 1 << 31, Copy: true, Age: 9 * time.Second})
		second.Opened = append(second.Opened, halfopen.Opened{Flow: key, TargetCookie: 1 << 31, SYNSeq: 1 << 31, Age: 40 * time.Second})
	}
	for range cookies {
		first.UnansweredBy = append(first.UnansweredBy, 1<<31)
	}
	for _, h := range []relay.Heartbeat{first, second} {
		_, err := AppendHeartbeat(nil, h)
		is.NoErr(err)
	}
}
