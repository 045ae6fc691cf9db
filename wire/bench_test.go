package wire

import (
	"net/netip"
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// BenchmarkForward measures one forwarded request of 200 bytes through the codec.
func BenchmarkForward(b *testing.B) {
	body := &message.Forward{
		Target:  7,
		Ingress: 3,
		Caller:  netip.MustParseAddrPort("10.200.0.1:9000"),
		Hinted:  true,
		Hops:    1,
		Inner: &message.Request{
			Service: 5, Flow: message.FlowID{Hi: 1, Lo: 2}, ID: 9, Attempt: 1, Parts: 1,
			Deadline: time.Second, Payload: make([]byte, 200),
			Binding: message.Binding{Target: 7, Epoch: 11},
		},
	}
	data, err := Append(nil, body)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		buffer := make([]byte, 0, len(data))
		for b.Loop() {
			if _, err := Append(buffer, body); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := Decode(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}
