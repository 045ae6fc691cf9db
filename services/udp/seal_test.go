package udp

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/wire"
	"github.com/gypsumspan/gypsumspan/wire/seal"
)

func keySource(t *testing.T, text string) *seal.Source {
	t.Helper()
	path := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	source, err := seal.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	return source
}

// sealed returns the datagram with body that a VM with the given keys sends.
func sealed(t *testing.T, keys *seal.Source, body message.Body) []byte {
	t.Helper()
	data := append(make([]byte, seal.Size), encode(t, body)...)
	seal.NewSealer(keys).Seal(data)
	return data
}

// Guards against forged datagrams between VMs that are accepted, such as a caller's, and
// against valid datagrams of VMs, callers and targets that are rejected.
func TestSealedDatagrams(t *testing.T) {
	own := keySource(t, "1 "+strings.Repeat("11", 32)+"\n2 "+strings.Repeat("22", 32))
	rotated := keySource(t, "2 "+strings.Repeat("22", 32))
	foreign := keySource(t, "1 "+strings.Repeat("33", 32))
	forward := &message.Forward{Ingress: 7, Inner: &message.Open{Flow: marker}}
	closed := &message.KindClosed{}
	answer := &message.Answer{Parts: 1}
	changed := sealed(t, own, forward)
	changed[len(changed)-1] ^= 1
	fromVMs, noKeys := policy{sender: dataSender, fromVMs: true, sealer: seal.NewSealer(own)}, policy{sender: dataSender, fromVMs: true}
	cases := []struct {
		name   string
		policy policy
		data   []byte
		want   error // nil: accepted
	}{
		{"Forward", fromVMs, sealed(t, own, forward), nil},
		{"KindClosed", fromVMs, sealed(t, own, closed), nil},
		{"second key", fromVMs, sealed(t, rotated, forward), nil},
		{"answer of a target", fromVMs, encode(t, answer), nil},
		{"plain Forward", fromVMs, encode(t, forward), seal.ErrUnauthenticated},
		{"plain KindClosed", fromVMs, encode(t, closed), seal.ErrUnauthenticated},
		{"foreign key", fromVMs, sealed(t, foreign, forward), seal.ErrUnauthenticated},
		{"changed", fromVMs, changed, seal.ErrUnauthenticated},
		{"truncated seal", fromVMs, changed[:seal.Size-1], seal.ErrUnauthenticated},
		{"sealed answer", fromVMs, sealed(t, own, answer), seal.ErrUnauthenticated},
		{"sealed, above the size limit", fromVMs, append(sealed(t, own, forward), make([]byte, wire.MaxDatagram)...), seal.ErrUnauthenticated},
		{"without keys", noKeys, encode(t, forward), nil},
		{"sealed without keys", noKeys, sealed(t, own, forward), ErrNoKeys},
		{"sealed from a caller", callerPolicy, sealed(t, own, &message.Open{}), wire.ErrMalformed},
		{"Open of a caller", callerPolicy, encode(t, &message.Open{}), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m, err := decode(c.data, netip.MustParseAddrPort("192.0.2.1:1"), c.policy)
			if !errors.Is(err, c.want) || (err == nil) != (m.Body != nil) {
				t.Fatalf("got %v and error %v, want %v", m.Body, err, c.want)
			}
		})
	}
}

// Guards against datagrams to VMs that are sent without a seal, datagrams to targets
// that are sealed, and rejected datagrams that are not counted.
func TestVMsExchangeSealedDatagrams(t *testing.T) {
	checkLeaks(t)
	is := is.New(t)
	keys := "1 " + strings.Repeat("11", 32)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	config := func() Config { return Config{Callers: loopback, Data: loopback, Keys: keySource(t, keys)} }
	a, kernelA, _ := assembleWith(t, config(), nil)
	b, kernelB, inB := assembleWith(t, config(), nil)
	plain, kernelPlain, _ := assembleWith(t, Config{Callers: loopback, Data: loopback}, nil)
	inB.forwards = true
	start(t, kernelA)
	start(t, kernelPlain)
	to := message.VMAddress(2, b.data.LocalAddr().(*net.UDPAddr).AddrPort())
	forward := &message.Forward{Ingress: 1, Inner: &message.Open{Flow: marker}}
	refused := make(chan error, 1)
	b.onReject = func(_ netip.AddrPort, err error) { refused <- err }
	start(t, kernelB)
	plain.Send(message.Message{To: to, Body: forward})
	is.True(errors.Is(<-refused, seal.ErrUnauthenticated))
	is.Equal(b.Stats().Unauthenticated, uint64(1))
	a.Send(message.Message{To: to, Body: forward})
	is.Equal((<-inB.markers).From.VM, message.VMID(1))
	is.Equal(b.Stats().Rejected, uint64(1))
	target, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer target.Close()
	a.Send(message.Message{To: message.TargetAddress(1, target.LocalAddr().(*net.UDPAddr).AddrPort()), Body: &message.Dispatch{Parts: 1}})
	is.NoErr(target.SetReadDeadline(time.Now().Add(testTimeout)))
	buf := make([]byte, wire.MaxDatagram)
	n, err := target.Read(buf)
	is.NoErr(err)
	_, err = wire.Decode(buf[:n])
	is.NoErr(err)
}

// Guards against a key file that is not reloaded, that is read in each step, or whose
// errors are not reported.
func TestKeyFileIsReadAgain(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "keys")
	one := "1 " + strings.Repeat("11", 32) + "\n"
	is.NoErr(os.WriteFile(path, []byte(one), 0o600))
	keys, err := seal.Open(path)
	is.NoErr(err)
	var seen []int
	s := New(Config{Keys: keys, OnKeysReload: func(k *seal.Keys, err error) {
		is.Equal(err != nil, len(seen) == 1)
		seen = append(seen, k.Len())
	}}, nil)
	is.Equal(s.reloadKeys(0), keyReloadInterval)
	is.NoErr(os.WriteFile(path, []byte(one+"2 "+strings.Repeat("22", 32)), 0o600))
	is.Equal(s.reloadKeys(keyReloadInterval-1), keyReloadInterval)
	is.Equal(s.reloadKeys(keyReloadInterval), 2*keyReloadInterval)
	is.NoErr(os.Remove(path))
	s.reloadKeys(2 * keyReloadInterval)
	is.Equal(seen, []int{2, 2}) // the former keys stay in use
}
