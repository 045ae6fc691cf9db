package seal_test

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/wire"
	"github.com/gypsumspan/gypsumspan/wire/seal"
)

var key1, key2, key3 = strings.Repeat("11", 32), strings.Repeat("22", 32), strings.Repeat("33", 32)

func openSource(t testing.TB, text string) (*seal.Source, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := seal.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	return s, path
}

// largestForward returns a Forward of a request with the largest payload and fields.
func largestForward() *message.Forward {
	const maxID = ^uint64(0)
	return &message.Forward{
		Ingress: message.VMID(maxID), Hops: 14, Target: message.TargetID(maxID), Hinted: true, Caller: netip.MustParseAddrPort("[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535"),
		Inner: &message.Request{
			Service: message.ServiceID(maxID), Flow: message.FlowID{Hi: maxID, Lo: maxID}, ID: message.RequestID(maxID), Kind: 255,
			Idempotent: true, Attempt: 1<<32 - 1, Deadline: 1 << 40, Part: 63, Parts: 64,
			Binding: message.Binding{Target: message.TargetID(maxID), Epoch: message.Epoch(maxID)},
			Payload: make([]byte, message.MaxPayload),
		},
	}
}

// Guards against a largest Forward that, with its seal, does not fit an Ethernet frame.
func TestLargestForwardHasRoom(t *testing.T) {
	const frame = 1500 - 20 - 8 // IPv4 and UDP headers
	data, err := wire.Append(nil, largestForward())
	is.New(t).NoErr(err)
	t.Logf("largest Forward: %d bytes, sealed %d, limit %d", len(data), len(data)+seal.Size, wire.MaxDatagram+seal.Size)
	is.New(t).True(len(data) <= wire.MaxDatagram)
	is.New(t).True(wire.MaxDatagram+seal.Size <= frame)
}

// Guards against invalid seals that are accepted, and valid ones that are rejected during a
// key rotation.
func TestSealsAndRotation(t *testing.T) {
	is := is.New(t)
	data := []byte(strings.Repeat("x", seal.Size) + "message")
	old, path := openSource(t, "# keys\n1 "+key1+"\n")
	sealer := seal.NewSealer(old)
	sealer.Seal(data)
	cases := []struct {
		name, keys string
		data       func(d []byte) []byte
		ok         bool
	}{
		{"same key", "1 " + key1, nil, true},
		{"verifies with another key first", "2 " + key2 + "\n1 " + key1, nil, true},
		{"removed key", "2 " + key2, nil, false},
		{"another key with the id", "1 " + key3, nil, false},
		{"changed message", "1 " + key1, func(d []byte) []byte { d[len(d)-1] ^= 1; return d }, false},
		{"changed MAC", "1 " + key1, func(d []byte) []byte { d[2] ^= 1; return d }, false},
		{"longer message", "1 " + key1, func(d []byte) []byte { return append(d, 0) }, false},
		{"other id", "1 " + key1 + "\n2 " + key1, func(d []byte) []byte { d[1] = 2; return d }, true}, // one key, two ids
		{"cut", "1 " + key1, func(d []byte) []byte { return d[:seal.Size-1] }, false},
		{"plain", "1 " + key1, func([]byte) []byte { return []byte(strings.Repeat("\x08", 40)) }, false},
		{"empty", "1 " + key1, func([]byte) []byte { return nil }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, _ := openSource(t, c.keys)
			d := append([]byte(nil), data...)
			if c.data != nil {
				d = c.data(d)
			}
			opened, err := seal.NewSealer(s).Open(d)
			is.Equal(err == nil, c.ok)
			is.True(c.ok && string(opened) == "message" || errors.Is(err, seal.ErrUnauthenticated))
		})
	}
	is.NoErr(os.WriteFile(path, []byte("2 "+key2+"\n1 "+key1), 0o600))
	changed, err := old.Reload()
	is.NoErr(err)
	is.True(changed)
	_, err = sealer.Open(data)
	is.NoErr(err)
	sealer.Seal(data)
	is.Equal(data[1], byte(2))
	is.NoErr(os.WriteFile(path, nil, 0o600))
	_, err = old.Reload()
	is.True(errors.Is(err, seal.ErrKeys))
	is.Equal(old.Current().Len(), 2)
}

// Guards against malformed key files that are accepted in part, and errors that contain a
// key.
func TestKeyFileFaults(t *testing.T) {
	for _, text := range []string{"", "# 1 " + key1, key1, "1 " + key1[2:], "1 " + key1 + "00", "0 " + key1, "256 " + key1,
		"x " + key1, "1 " + key1 + " 2", "1 " + key1 + "\n1 " + key2, "1 zz" + key1[2:]} {
		is := is.New(t)
		_, err := seal.Parse([]byte(text))
		is.True(errors.Is(err, seal.ErrKeys))
		is.True(!strings.Contains(err.Error(), key1[4:20]))
	}
}

// BenchmarkForward compares the codec of one Forward with its seal, at the sizes
// of a small and of the largest payload.
func BenchmarkForward(b *testing.B) {
	s, _ := openSource(b, "1 "+key1)
	sealer := seal.NewSealer(s)
	for _, size := range []int{64, message.MaxPayload} {
		forward := largestForward()
		forward.Inner.(*message.Request).Payload = make([]byte, size)
		name := map[int]string{64: "64", message.MaxPayload: "1200"}[size]
		b.Run("codec/"+name, func(b *testing.B) {
			b.ReportAllocs()
			var buf []byte
			for range b.N {
				buf, _ = wire.Append(buf[:0], forward)
				if _, err := wire.Decode(buf); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run("seal/"+name, func(b *testing.B) {
			b.ReportAllocs()
			buf, _ := wire.Append(make([]byte, seal.Size), forward)
			for range b.N {
				sealer.Seal(buf)
				if _, err := sealer.Open(buf); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
