package peers

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/certs"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/services/certwatch"
	"github.com/gypsumspan/gypsumspan/standin/ca"
)

var (
	vmA = certs.VM{Name: "a", Domain: "north"}
	vmB = certs.VM{Name: "b", Domain: "south"}
	vmC = certs.VM{Name: "c", Domain: "south"}
)

func newCA(t testing.TB) *ca.CA {
	t.Helper()
	authority, err := ca.New(ca.ValidFor(24 * time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// writeCertificate issues a certificate for vm and writes it to dir.
func writeCertificate(t testing.TB, authority *ca.CA, dir string, vm certs.VM) certs.Files {
	t.Helper()
	files, err := authority.CreateVMFiles(dir, vm)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// newCertWatch returns the service "certs" of a VM; a nil clock is the system's.
func newCertWatch(t testing.TB, files certs.Files, now func() time.Time) *certwatch.Service {
	t.Helper()
	source, err := certs.Open(certs.Config{Files: files, Now: now})
	if err != nil {
		t.Fatal(err)
	}
	return certwatch.New(source, 0)
}

func configOf(vm certs.VM) Config {
	// Handshakes under the race detector on a busy machine need more than 500 ms.
	return Config{Self: message.VMIDOf(vm.Name), TLS: true, DialTimeout: testTimeout}
}

func selfOf(vm certs.VM) message.Member {
	return message.Member{ID: message.VMIDOf(vm.Name), Name: vm.Name, Domain: message.DomainIDOf(vm.Domain)}
}

func heartbeatOf(vm certs.VM) message.Body {
	return &message.Heartbeat{Sequence: 1, Self: selfOf(vm), Updates: []message.Member{}}
}

// Guards against links to or from a VM that has no valid certificate of its own, and
// against valid certificates that are refused.
func TestCertificatesOfLinks(t *testing.T) {
	authority, foreign := newCA(t), newCA(t)
	afterExpiry := func() time.Time { return time.Now().Add(2 * time.Hour) } // when certificates have expired
	cases := []struct {
		name       string
		authority  *ca.CA // of the dialling VM
		cert       certs.VM
		serverTime func() time.Time
		to         certs.VM
		plain      bool
		dialled    *events.Event // at the dialling VM
		accepted   *events.Event // at the accepting VM
		want       error         // in the event of the accepting VM, or else of the dialling one
	}{
		{name: "right", authority: authority, cert: vmA, to: vmB},
		{name: "foreign CA", authority: foreign, cert: vmA, to: vmB, dialled: events.PeerUntrusted, want: certs.ErrUntrusted},
		{name: "expired", authority: authority, cert: vmA, to: vmB, serverTime: afterExpiry,
			dialled: events.PeerUnreachable, accepted: events.PeerRefused, want: certs.ErrExpired},
		{name: "swapped", authority: authority, cert: vmC, to: vmB, accepted: events.PeerMismatch, want: errIdentityMismatch},
		{name: "another receiver", authority: authority, cert: vmA, to: vmC, dialled: events.PeerUntrusted, want: errIdentityMismatch},
		{name: "plain TCP", authority: authority, cert: vmA, to: vmB, plain: true, accepted: events.PeerRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			checkLeaks(t)
			is := is.New(t)
			// The server's certificate must be valid when it is opened.
			started := false
			clock := func() time.Time {
				if started && c.serverTime != nil {
					return c.serverTime()
				}
				return time.Now()
			}
			server := newCertWatch(t, writeCertificate(t, authority, t.TempDir(), vmB), clock)
			started = true
			b := startNode(t, configOf(vmB), server)
			config := configOf(vmA)
			config.TLS = !c.plain
			a, stepper := steppedNode(t, config, newCertWatch(t, writeCertificate(t, c.authority, t.TempDir(), c.cert), nil))
			to := message.VMAddress(message.VMIDOf(c.to.Name), b.Addr())
			for range 3 {
				a.Send(message.Message{To: to, Body: heartbeatOf(vmA)})
				stepper.Advance(time.Millisecond)
			}
			if c.dialled == nil && c.accepted == nil {
				for range 3 {
					m := b.receive()
					is.Equal(m.From.VM, message.VMIDOf(vmA.Name))
					is.Equal(m.Body, heartbeatOf(vmA))
				}
				is.Equal(a.Stats().Links, int64(1))
				return
			}
			recorder := a
			if c.accepted != nil {
				b.waitFor(c.accepted)
				recorder = b
			}
			if c.dialled != nil {
				a.waitFor(c.dialled)
			}
			found := false
			for _, line := range recorder.recorder.Lines() {
				err, _ := line.Fields[len(line.Fields)-1].Value.(error)
				found = found || c.want == nil || errors.Is(err, c.want)
			}
			is.True(found)
			is.Equal(len(b.inbox.messages), 0) // no message was accepted
			if c.dialled == events.PeerUnreachable {
				is.Equal(a.Stats().DialsFailed, uint64(1)) // a refused VM backs off
			}
		})
	}
}

// Guards against a VM that sends heartbeats with the name or domain of another VM over its
// own link, and against a link that is closed because of them.
func TestHeartbeatInAnotherName(t *testing.T) {
	checkLeaks(t)
	is := is.New(t)
	authority := newCA(t)
	a := startNode(t, configOf(vmA), newCertWatch(t, writeCertificate(t, authority, t.TempDir(), vmA), nil))
	b := startNode(t, configOf(vmB), newCertWatch(t, writeCertificate(t, authority, t.TempDir(), vmB), nil))
	short := message.Member{ID: message.VMIDOf(vmA.Name), Incarnation: 1}
	wrong := []message.Member{selfOf(vmC), {}, {ID: message.VMIDOf(vmC.Name)},
		{ID: short.ID, Domain: message.DomainIDOf("south")}, selfOf(certs.VM{Name: "a", Domain: "south"}), selfOf(certs.VM{Name: "c", Domain: "north"})}
	for _, self := range wrong {
		a.Send(message.Message{To: b.address(), Body: &message.Heartbeat{Self: self}})
		a.Send(message.Message{To: b.address(), Body: &message.HeartbeatAck{Self: self}})
	}
	a.Send(message.Message{To: b.address(), Body: heartbeatOf(vmA)})
	is.Equal(b.receive().Body, heartbeatOf(vmA)) // the first that arrives
	// Established neighbours send their id without name and failure domain.
	a.Send(message.Message{To: b.address(), Body: &message.HeartbeatAck{Self: short, Updates: []message.Member{}}})
	is.Equal(b.receive().Body.(*message.HeartbeatAck).Self, short)
	is.Equal(b.Stats().IdentityMismatches, uint64(2*len(wrong)))
	b.waitFor(events.PeerMismatch)
}

// Guards against a certificate rotation that needs a restart or, with the same CA, loses
// messages; against outgoing links that use the former certificate until it is refused;
// and against links that stay open after their CA was removed.
func TestRotationOfCertificates(t *testing.T) {
	checkLeaks(t)
	is := is.New(t)
	oldCA, newCA := newCA(t), newCA(t)
	dirA, dirB := t.TempDir(), t.TempDir()
	watchA := newCertWatch(t, writeCertificate(t, oldCA, dirA, vmA), nil)
	sourceB, err := certs.Open(certs.Config{Files: writeCertificate(t, oldCA, dirB, vmB)})
	is.NoErr(err)
	watchB := certwatch.New(sourceB, time.Millisecond)
	a, stepper := steppedNode(t, configOf(vmA), watchA)
	b := startNode(t, configOf(vmB), watchB)
	send := func() {
		t.Helper()
		a.Send(message.Message{To: b.address(), Body: heartbeatOf(vmA)})
		stepper.Advance(time.Millisecond)
	}
	links := make(map[*link]bool)
	exchange := func() {
		t.Helper()
		send()
		b.receive()
		for _, d := range a.senders {
			if p, ok := d.peers[b.Addr()]; ok {
				links[p.link] = true
			}
		}
	}
	exchange()
	exchange()
	is.Equal(len(links), 1)
	writeCertificate(t, oldCA, dirA, vmA) // a new certificate of the same CA
	stepper.Advance(certwatch.DefaultInterval)
	exchange()
	exchange()
	is.Equal(len(links), 2)
	is.Equal(a.Stats().Links, int64(1))
	is.Equal(a.Stats().LinksFailed, uint64(0))
	is.Equal(b.Stats().CertificatesRefused+b.Stats().SessionsFailed, uint64(0))
	writeCertificate(t, newCA, dirB, vmB)
	b.waitFor(events.CertificatesReloaded) // b no longer trusts a's CA
	send()
	b.waitFor(events.PeerRefused)
	is.Equal(len(b.inbox.messages), 0)
	writeCertificate(t, newCA, dirA, vmA)
	stepper.Advance(certwatch.DefaultInterval)
	for i := 0; len(b.inbox.messages) == 0 && i < 50; i++ {
		send()
		stepper.Advance(minBackoff)
	}
	is.Equal(b.receive().Body, heartbeatOf(vmA))
}

// Guards against a client that disconnects during the handshake, as on a busy machine, and
// is reported as one with an invalid certificate.
func TestAbandonedHandshake(t *testing.T) {
	checkLeaks(t)
	is := is.New(t)
	b := startNode(t, configOf(vmB), newCertWatch(t, writeCertificate(t, newCA(t), t.TempDir(), vmB), nil))
	conn, err := net.Dial("tcp", b.Addr().String())
	is.NoErr(err)
	is.NoErr(conn.Close())
	b.waitFor(events.PeerSessionFailed)
	is.Equal(b.Stats().CertificatesRefused, uint64(0))
	is.Equal(b.recorder.Count(events.PeerRefused), 0)
}
