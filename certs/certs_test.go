package certs_test

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"net"
	"net/url"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/certs"
	"github.com/gypsumspan/gypsumspan/standin/ca"
)

// Guards against URI names that are accepted as another VM, or an operator's that is
// accepted as a VM.
func TestIdentityOfURIs(t *testing.T) {
	cases := []struct {
		name string
		uris []string
		vm   certs.VM
		ok   bool
	}{
		{"right", []string{"gypsumspan://north/vm-1"}, certs.VM{Name: "vm-1", Domain: "north"}, true},
		{"beside a foreign name", []string{"spiffe://x/y", "gypsumspan://north/vm-1"}, certs.VM{Name: "vm-1", Domain: "north"}, true},
		{"none", nil, certs.VM{}, false},
		{"two", []string{"gypsumspan://north/vm-1", "gypsumspan://north/vm-2"}, certs.VM{}, false},
		{"no domain", []string{"gypsumspan:///vm-1"}, certs.VM{}, false},
		{"no VM", []string{"gypsumspan://north/"}, certs.VM{}, false},
		{"longer path", []string{"gypsumspan://north/vm-1/x"}, certs.VM{}, false},
		{"port", []string{"gypsumspan://north:1/vm-1?a"}, certs.VM{}, false},
		{"query", []string{"gypsumspan://north/vm-1?a=1"}, certs.VM{}, false},
		{"user", []string{"gypsumspan://u@north/vm-1"}, certs.VM{}, false},
		{"operator", []string{"gypsumspan-operator://ann"}, certs.VM{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cert := &x509.Certificate{}
			for _, text := range c.uris {
				uri, err := url.Parse(text)
				is.NoErr(err)
				cert.URIs = append(cert.URIs, uri)
			}
			vm, err := certs.VMOf(cert)
			is.Equal(vm, c.vm)
			is.Equal(err == nil, c.ok)
			is.True(c.ok || errors.Is(err, certs.ErrIdentity))
		})
	}
}

// connect returns both ends of a TCP connection. It does not use net.Pipe, which has no
// buffer: both ends of a failed handshake may write at once and would block each other.
func connect(t testing.TB) (net.Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	a, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return a, b
}

// handshake connects a client and a server and returns their errors.
func handshake(t *testing.T, client, server *tls.Config) (clientErr, serverErr error) {
	t.Helper()
	a, b := connect(t)
	defer a.Close()
	done := make(chan error, 1)
	go func() {
		c := tls.Server(b, server)
		err := c.Handshake()
		if err == nil {
			_, err = c.Write([]byte{1})
		}
		c.Close()
		done <- err
	}()
	c := tls.Client(a, client)
	clientErr = c.Handshake()
	if clientErr == nil {
		_, clientErr = c.Read(make([]byte, 1))
	}
	a.Close()
	return clientErr, <-done
}

var vm1 = certs.VM{Name: "vm-1", Domain: "north"}

// Guards against a server that accepts a VM as an operator or vice versa, and a client that
// accepts any certificate of the CA as the store's.
func TestRolesAreSeparate(t *testing.T) {
	is := is.New(t)
	authority, err := ca.New(ca.ValidFor(time.Hour))
	is.NoErr(err)
	vm, err := ca.Open(authority.CreateVMFiles(t.TempDir(), vm1))
	is.NoErr(err)
	operator, err := ca.Open(authority.CreateOperatorFiles(t.TempDir(), "ann"))
	is.NoErr(err)
	storePair, err := authority.IssueServer(net.IPv4(127, 0, 0, 1), ca.ValidFor(time.Hour))
	is.NoErr(err)
	store, err := ca.Open(authority.WriteFiles(t.TempDir(), "store", storePair))
	is.NoErr(err)
	plainClient := &tls.Config{InsecureSkipVerify: true}
	old := vm.VMClient()
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	var refused []error
	admin := vm.OperatorServer(func(_ net.Addr, err error) { refused = append(refused, err) })
	serverCert, err := tls.X509KeyPair(storePair.Cert, storePair.Key)
	is.NoErr(err)
	storeServer := &tls.Config{Certificates: []tls.Certificate{serverCert}}
	cases := []struct {
		name           string
		client, server *tls.Config
		clientErr      error // nil: any error will do unless ok
		serverErr      error
		ok             bool
	}{
		{"VM to VM", vm.VMClient(), vm.VMServer(), nil, nil, true},
		{"operator to VM", operator.VMClient(), vm.VMServer(), nil, certs.ErrIdentity, false},
		{"operator to admin", operator.VMClient(), admin, nil, nil, true},
		{"VM to admin", vm.VMClient(), admin, nil, certs.ErrIdentity, false},
		{"nobody to admin", plainClient, admin, nil, certs.ErrNoCertificate, false},
		{"nobody to VM", plainClient, vm.VMServer(), nil, certs.ErrNoCertificate, false},
		{"TLS 1.2", old, vm.VMServer(), nil, nil, false},
		{"VM to operator's server", vm.VMClient(), operator.VMServer(), certs.ErrUntrusted, nil, false},
		{"VM to store's server", vm.VMClient(), store.VMServer(), certs.ErrIdentity, nil, false},
		{"store", operator.HostClient("127.0.0.1"), storeServer, nil, nil, true},
		{"store of another name", operator.HostClient("127.0.0.2"), storeServer, nil, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clientErr, serverErr := handshake(t, c.client, c.server)
			is.Equal(clientErr == nil && serverErr == nil, c.ok)
			is.True(c.clientErr == nil || errors.Is(clientErr, c.clientErr))
			is.True(c.serverErr == nil || errors.Is(serverErr, c.serverErr))
		})
	}
	is.Equal(len(refused), 2)
}

// Guards against an incomplete rotation of the files that is accepted or that drops the
// previous certificate, and against a complete rotation that has no effect.
func TestReload(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	authority, err := ca.New(ca.ValidFor(2 * time.Hour))
	is.NoErr(err)
	pair := func(d time.Duration) ca.KeyPair {
		p, err := authority.IssueVM(vm1, ca.ValidFor(d))
		is.NoErr(err)
		return p
	}
	first, second := pair(time.Hour), pair(90*time.Minute)
	files, err := authority.WriteFiles(dir, "vm-1", first)
	is.NoErr(err)
	source, err := certs.Open(certs.Config{Files: files})
	is.NoErr(err)
	before := source.Current()
	changed, err := source.Reload()
	is.NoErr(err)
	is.True(!changed && source.Current() == before)
	faults := []struct {
		name, path string
		data       []byte
		want       error
	}{
		{"certificate without its key", files.Cert, second.Cert, certs.ErrFiles},
		{"cut certificate", files.Cert, first.Cert[:100], certs.ErrFiles},
		{"empty CA", files.CA, nil, certs.ErrFiles},
		{"foreign CA", files.CA, foreignCA(t), certs.ErrUntrusted},
		{"missing key", files.Key, nil, certs.ErrFiles},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			good, err := os.ReadFile(f.path)
			is.NoErr(err)
			is.NoErr(os.WriteFile(f.path, f.data, 0o600))
			for range 2 { // the error is repeated while the files stay as they are
				_, err = source.Reload()
				is.True(errors.Is(err, f.want))
				is.True(source.Current() == before)
			}
			is.NoErr(os.WriteFile(f.path, good, 0o600))
		})
	}
	_, err = authority.WriteFiles(dir, "vm-1", second)
	is.NoErr(err)
	changed, err = source.Reload()
	is.NoErr(err)
	is.True(changed)
	block, _ := pem.Decode(second.Cert)
	is.Equal(source.Current().Leaf().Raw, block.Bytes)
	is.Equal(source.Current().Expires(), source.Current().Leaf().NotAfter)
}

func foreignCA(t *testing.T) []byte {
	t.Helper()
	foreign, err := ca.New(ca.ValidFor(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	return foreign.PEM
}

// BenchmarkHandshake measures one mutual handshake, both ends together.
func BenchmarkHandshake(b *testing.B) {
	authority, err := ca.New(ca.ValidFor(time.Hour))
	if err != nil {
		b.Fatal(err)
	}
	source, err := ca.Open(authority.CreateVMFiles(b.TempDir(), vm1))
	if err != nil {
		b.Fatal(err)
	}
	client, server := source.VMClient(), source.VMServer()
	var sent [2]int
	b.ResetTimer()
	for range b.N {
		x, y := connect(b)
		cx, cy := &countingConn{Conn: x}, &countingConn{Conn: y}
		done := make(chan error, 1)
		go func() { done <- tls.Server(cy, server).Handshake() }()
		if err := tls.Client(cx, client).Handshake(); err != nil {
			b.Fatal(err)
		}
		if err := <-done; err != nil {
			b.Fatal(err)
		}
		sent = [2]int{cx.sent, cy.sent}
		x.Close()
		y.Close()
	}
	b.ReportMetric(float64(sent[0]), "client-bytes")
	b.ReportMetric(float64(sent[1]), "server-bytes")
}

type countingConn struct {
	net.Conn
	sent int
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.sent += len(p)
	return c.Conn.Write(p)
}
