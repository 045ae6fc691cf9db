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

// newCertServices returns the service "certs", or none if TLS is off.
func newCertServices(s *settings.Settings) ([]kernel.Service, error) {
	if !s.TLS.Enabled() {
		return nil, nil
	}
	source, err := certs.Open(certs.Config{
		Files: certs.Files{CA: s.TLS.CA, Cert: s.TLS.Cert, Key: s.TLS.Key},
		Check: checkIdentity(certs.VM{Name: s.VM.Name, Domain: s.VM.Domain}),
	})
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	return []kernel.Service{certwatch.New(source, 0)}, nil
}

// openDatagramKeys returns the keys of datagrams between VMs, or nil if the settings name
// no key file.
func openDatagramKeys(s *settings.Settings) (*seal.Source, error) {
	if s.Datagrams.Keys == "" {
		return nil, nil
	}
	source, err := seal.Open(s.Datagrams.Keys)
	if err != nil {
		return nil, fmt.Errorf("datagrams: %w", err)
	}
	return source, nil
}

// openStoreCerts returns the certificates for https endpoints of the store, and the
// service that reloads them, or nil if the system's CAs are used. If the store has no
// files of its own, it opens those of [tls] again, since a source belongs to one duty.
func openStoreCerts(s *settings.Settings) (*certs.Source, kernel.Service, error) {
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

// storeCertsName is the name of the service that reloads the certificates for the store.
const storeCertsName = "store-certs"

// checkIdentity returns a check that a certificate is issued to self. The check returns
// certs.ErrIdentity.
func checkIdentity(self certs.VM) func(*x509.Certificate) error {
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
