package lab

import (
	"context"
	"errors"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/certs"
	standin "github.com/gypsumspan/gypsumspan/standin/store"
	"github.com/gypsumspan/gypsumspan/wire/seal"
)

// Guards against created certificates that VMs or the store reject, and against a
// store stand-in that serves clients without a certificate.
func TestCreatedCertificates(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	o := CertsOptions{VMs: []string{"vm-1@north"}, Operator: "ann", Store: "127.0.0.1", Validity: time.Hour}
	is.NoErr(CreateCerts(dir, o))
	vm, err := certs.Open(certs.Config{Files: certFiles(dir, "vm-1")})
	is.NoErr(err)
	owner, err := certs.VMOf(vm.Current().Leaf())
	is.NoErr(err)
	is.Equal(owner, certs.VM{Name: "vm-1", Domain: "north"})
	keys, err := seal.Open(filepath.Join(dir, datagramKeysFile))
	is.NoErr(err)
	is.Equal(keys.Current().Len(), 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := listener.Addr().String()
	is.NoErr(listener.Close())
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- ServeStore(ctx, addr, StoreOptions{Certs: dir}) }()
	trusted, err := withCerts(ctx, dir)
	is.NoErr(err)
	ready, cancel := context.WithTimeout(trusted, time.Minute)
	defer cancel()
	is.NoErr(Await(ready, Condition{URLs: []string{"https://" + addr + standin.PathCalls}}))
	_, err = Request(ctx, http.MethodGet, "https://"+addr+standin.PathCalls, "")
	is.True(errors.Is(err, ErrHTTP))
	stop()
	is.NoErr(<-ended)
	o.VMs = []string{"vm-1"}
	is.True(errors.Is(CreateCerts(dir, o), ErrInvalidOption))
	o.VMs, o.Store = nil, "localhost"
	is.True(errors.Is(CreateCerts(dir, o), ErrInvalidOption))
}
