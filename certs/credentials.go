package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"time"
)

// Credentials are the CA certificates and the own certificate of one consistent reading
// of the files. They are immutable.
type Credentials struct {
	pool    *x509.CertPool
	pair    *tls.Certificate // nil: no own certificate
	expires time.Time        // zero without an own certificate
}

// Expires returns the end of the validity of the own certificate or of the CA
// certificate that issued it, whichever is earlier.
func (m *Credentials) Expires() time.Time { return m.expires }

// Leaf returns the own certificate, or nil.
func (m *Credentials) Leaf() *x509.Certificate {
	if m.pair == nil {
		return nil
	}
	return m.pair.Leaf
}

// parse checks the contents of the files. Without cert and key there is no own
// certificate. The own certificate must be issued by the CA and be valid at now.
func parse(ca, cert, key []byte, now time.Time) (*Credentials, error) {
	m := &Credentials{pool: x509.NewCertPool()}
	if !m.pool.AppendCertsFromPEM(ca) {
		return nil, fmt.Errorf("no certificate in the CA file: %w", ErrFiles)
	}
	if len(cert) == 0 && len(key) == 0 {
		return m, nil
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFiles, err)
	}
	m.pair = &pair
	chain, err := m.chains(certificates(pair), x509.ExtKeyUsageAny, now)
	if err != nil {
		return nil, fmt.Errorf("own certificate: %w", err)
	}
	m.expires = expiry(chain)
	return m, nil
}

// certificates parses the chain of a pair, own certificate first.
func certificates(pair tls.Certificate) []*x509.Certificate {
	list := []*x509.Certificate{pair.Leaf}
	for _, der := range pair.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil {
			list = append(list, c)
		}
	}
	return list
}

// expiry returns the time at which the last of the chains is no longer valid.
func expiry(chains [][]*x509.Certificate) time.Time {
	var last time.Time
	for _, chain := range chains {
		end := chain[0].NotAfter
		for _, c := range chain {
			if c.NotAfter.Before(end) {
				end = c.NotAfter
			}
		}
		if end.After(last) {
			last = end
		}
	}
	return last
}

// chains verifies a certificate (the first of list) for a use at now. It
// returns ErrNoCertificate, ErrExpired or ErrUntrusted.
func (m *Credentials) chains(list []*x509.Certificate, usage x509.ExtKeyUsage, now time.Time) ([][]*x509.Certificate, error) {
	if len(list) == 0 {
		return nil, ErrNoCertificate
	}
	options := x509.VerifyOptions{
		Roots:         m.pool,
		Intermediates: x509.NewCertPool(),
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	}
	for _, c := range list[1:] {
		options.Intermediates.AddCert(c)
	}
	found, err := list[0].Verify(options)
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		return nil, fmt.Errorf("%w: %w", ErrExpired, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUntrusted, err)
	}
	return found, nil
}
