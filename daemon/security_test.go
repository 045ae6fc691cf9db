package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/certs"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/ops"
	"github.com/gypsumspan/gypsumspan/settings"
	"github.com/gypsumspan/gypsumspan/standin/ca"
	standin "github.com/gypsumspan/gypsumspan/standin/store"
	"github.com/gypsumspan/gypsumspan/store"
	"github.com/gypsumspan/gypsumspan/wire/seal"
)

// issue writes the certificate of a VM and returns the settings that name it.
func issue(t *testing.T, authority *ca.CA, vm certs.VM) settings.TLS {
	t.Helper()
	files, err := authority.CreateVMFiles(t.TempDir(), vm)
	if err != nil {
		t.Fatal(err)
	}
	return settings.TLS{CA: files.CA, Cert: files.Cert, Key: files.Key}
}

// Guards against a daemon that reads an https store without the CA or without its
// certificate, that serves the admin address in plain text or to any client, and
// against a missing or unjustified warning that TLS is off.
func TestDaemonWithTLS(t *testing.T) {
	is := is.New(t)
	authority, err := ca.New(ca.ValidFor(time.Hour))
	is.NoErr(err)
	serverPair, err := authority.IssueServer(net.IPv4(127, 0, 0, 1), ca.ValidFor(time.Hour))
	is.NoErr(err)
	serverCert, err := tls.X509KeyPair(serverPair.Cert, serverPair.Key)
	is.NoErr(err)
	pool := x509.NewCertPool()
	is.True(pool.AppendCertsFromPEM(authority.PEM))
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := tls.NewListener(plain, &tls.Config{
		Certificates: []tls.Certificate{serverCert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
	})
	e := standin.NewEngine(standin.Options{})
	_, err = e.Txn(store.Txn{Puts: []store.Put{{Key: "gypsumspan/table/a/meta", Value: []byte("v")}}})
	is.NoErr(err)
	stop := serveStore(t, listener, e)
	s := testSettings(t)
	s.TLS = issue(t, authority, certs.VM{Name: "vm-1", Domain: "north"})
	s.Store.Endpoints = []string{"https://" + plain.Addr().String()}
	m := &relayMachine{entries: make(chan message.TableEntry, 100)}
	p := start(t, s, m, StoreServices)
	is.Equal(m.next(t).Key, "gypsumspan/table/a/meta")
	queryVM := func(config *tls.Config) string {
		return ops.New(ops.Config{TLS: config}).Status(t.Context(), []string{s.Listen.Admin.String()})[0].VM
	}
	operator, err := ca.Open(authority.CreateOperatorFiles(t.TempDir(), "ann"))
	is.NoErr(err)
	config := operator.VMClient()
	is.Equal(queryVM(config), "vm-1")
	is.Equal(queryVM(nil), "") // plain HTTP
	is.Equal(p.recorder.Count(events.TLSOff), 0)
	p.signals <- syscall.SIGTERM
	is.NoErr(p.wait())
	stop()
}

// Guards against a VM that starts with the certificate of another one.
func TestCertificateOfAnotherVM(t *testing.T) {
	authority, err := ca.New(ca.ValidFor(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	for _, vm := range []certs.VM{{Name: "vm-2", Domain: "north"}, {Name: "vm-1", Domain: "south"}} {
		is := is.New(t)
		s := testSettings(t)
		s.TLS = issue(t, authority, vm)
		err = start(t, s, &bindingMachine{}, nil).wait()
		is.True(errors.Is(err, ErrAssemble))
		is.True(errors.Is(err, certs.ErrIdentity))
	}
	p := start(t, testSettings(t), &bindingMachine{}, nil)
	p.waitFor(events.TLSOff)
	p.waitFor(events.DatagramKeysOff)
	p.signals <- syscall.SIGTERM
	is.New(t).NoErr(p.wait())
}

// Guards against a VM that starts although the key file of its settings is unusable.
func TestKeyFileMustBeUsable(t *testing.T) {
	is := is.New(t)
	s := testSettings(t)
	s.Datagrams.Keys = t.TempDir()
	err := start(t, s, &bindingMachine{}, nil).wait()
	is.True(errors.Is(err, ErrAssemble))
	is.True(errors.Is(err, seal.ErrKeys))
}
