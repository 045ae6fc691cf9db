package daemon

import (
	"crypto/x509"
	"fmt"

	"github.com/gypsumspan/gypsumspan/certs"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/certwatch"
	"github.com/gypsumspan/gypsumspan/settings"
	"github.com/gypsumspan/gypsumspan/wire/seal"
)

// openSecurity returns the service "certs", or none when TLS is off.
func openSecurity(s *settings.Settings) ([]kernel.Service, error) {
	if !s.TLS.Enabled() {
		return nil, nil
	}
	source, err := certs.Open(certs.Config{
		Files: certs.Files{CA: s.TLS.CA, Cert: s.TLS.Cert, Key: s.TLS.Key},
		Check: isOwn(certs.VM{Name: s.VM.Name, Domain: s.VM.Domain}),
	})
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	return []kernel.Service{certwatch.New(source, 0)}, nil
}

// openKeys returns the keys of the datagrams between VMs, or nil without them.
func openKeys(s *settings.Settings) (*seal.Source, error) {
	if s.Datagrams.Keys == "" {
		return nil, nil
	}
	source, err := seal.Open(s.Datagrams.Keys)
	if err != nil {
		return nil, fmt.Errorf("datagrams: %w", err)
	}
	return source, nil
}

// storeSource returns the certificates for https endpoints of the store, and the
// service that reads them again, or nil when the system's CAs are used. The
// source of [tls] is opened again for the store: a source belongs to one duty.
func storeSource(s *settings.Settings) (*certs.Source, kernel.Service, error) {
	files := s.Store.TLS
	if files.CA == "" {
		files = s.TLS
	}
	if files.CA == "" {
		return nil, nil, nil
	}
	source, err := certs.Open(certs.Config{Files: certs.Files{CA: files.CA, Cert: files.Cert, Key: files.Key}})
	if err != nil {
		return nil, nil, fmt.Errorf("certificates of the store: %w", err)
	}
	return source, certwatch.NewNamed(storeCertsName, source, 0), nil
}

// storeCertsName is the service that reads the certificates for the store.
const storeCertsName = "store-certs"

// isOwn returns a check that a certificate names self.
func isOwn(self certs.VM) func(*x509.Certificate) error {
	return func(cert *x509.Certificate) error {
		vm, err := certs.VMOf(cert)
		if err != nil {
			return err
		}
		if vm != self {
			return fmt.Errorf("certificate of %s on VM %s: %w", vm, self, certs.ErrIdentity)
		}
		return nil
	}
}
