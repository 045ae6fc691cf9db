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
	caPool  *x509.CertPool
	ownPair *tls.Certificate // nil: no own certificate
	expires time.Time        // zero without an own certificate
}

// Expires returns the expiry of the own certificate, or of a certificate of the chain that
// issued it if that is earlier. It is zero without an own certificate.
func (c *Credentials) Expires() time.Time { return c.expires }

// Leaf returns the own certificate, or nil.
func (c *Credentials) Leaf() *x509.Certificate {
	if c.ownPair == nil {
		return nil
	}
	return c.ownPair.Leaf
}

// parse decodes the contents of the files. Without cert and key there is no own
// certificate. The own certificate must be issued by the CA and be valid at now.
func parse(ca, cert, key []byte, now time.Time) (*Credentials, error) {
	c := &Credentials{caPool: x509.NewCertPool()}
	if !c.caPool.AppendCertsFromPEM(ca) {
		return nil, fmt.Errorf("no certificate in the CA file: %w", ErrFiles)
	}
	if len(cert) == 0 && len(key) == 0 {
		return c, nil
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFiles, err)
	}
	c.ownPair = &pair
	chains, err := c.verifyChains(presentedChain(pair), x509.ExtKeyUsageAny, now)
	if err != nil {
		return nil, fmt.Errorf("own certificate: %w", err)
	}
	c.expires = latestExpiry(chains)
	return c, nil
}

// presentedChain returns the certificates of a pair: the own certificate, then the
// intermediate ones.
func presentedChain(pair tls.Certificate) []*x509.Certificate {
	list := []*x509.Certificate{pair.Leaf}
	for _, der := range pair.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil {
			list = append(list, c)
		}
	}
	return list
}

// latestExpiry returns the time at which the last of the chains expires. A chain expires
// with the first of its certificates.
func latestExpiry(chains [][]*x509.Certificate) time.Time {
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

// verifyChains verifies the first certificate of list for a use at now; the others are
// intermediate ones. It returns the chains to the CA, or ErrNoCertificate, ErrExpired or
// ErrUntrusted.
func (c *Credentials) verifyChains(list []*x509.Certificate, usage x509.ExtKeyUsage, now time.Time) ([][]*x509.Certificate, error) {
	if len(list) == 0 {
		return nil, ErrNoCertificate
	}
	options := x509.VerifyOptions{
		Roots:         c.caPool,
		Intermediates: x509.NewCertPool(),
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	}
	for _, cert := range list[1:] {
		options.Intermediates.AddCert(cert)
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
