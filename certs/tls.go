package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
)

// base returns the common part of all configurations. Session tickets are off:
// each handshake checks the certificate against the CA that is in use now.
func (s *Source) base() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.pair()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if pair := s.Current().pair; pair != nil {
				return pair, nil
			}
			return &tls.Certificate{}, nil
		},
	}
}

func (s *Source) pair() (*tls.Certificate, error) {
	pair := s.Current().pair
	if pair == nil {
		return nil, ErrNoCertificate
	}
	return pair, nil
}

// VMServer returns the configuration for accepting VMs. The client's
// certificate is checked by VerifyConnection, so that a missing one has the
// errors of this package and not an error text of crypto/tls.
func (s *Source) VMServer() *tls.Config {
	return s.server(func(cert *x509.Certificate) error {
		_, err := VMOf(cert)
		return err
	})
}

// OperatorServer returns the configuration for accepting operators. refused is
// called on the goroutine of the handshake; it must not wait.
func (s *Source) OperatorServer(refused func(remote net.Addr, err error)) *tls.Config {
	config := s.server(func(cert *x509.Certificate) error {
		_, err := OperatorOf(cert)
		return err
	})
	config.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		remote := hello.Conn.RemoteAddr()
		c := config.Clone()
		c.GetConfigForClient = nil
		c.VerifyConnection = func(state tls.ConnectionState) error {
			err := config.VerifyConnection(state)
			if err != nil {
				refused(remote, err)
			}
			return err
		}
		return c, nil
	}
	return config
}

func (s *Source) server(identity func(*x509.Certificate) error) *tls.Config {
	config := s.base()
	config.ClientAuth = tls.RequestClientCert
	config.VerifyConnection = func(state tls.ConnectionState) error {
		return s.verify(state.PeerCertificates, x509.ExtKeyUsageClientAuth, identity)
	}
	return config
}

// VMClient returns the configuration for connections to VMs. VMs are reached by
// address and named by a URI, which crypto/tls does not compare with a server
// name; VerifyConnection therefore does the whole check.
func (s *Source) VMClient() *tls.Config {
	config := s.base()
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		return s.verify(state.PeerCertificates, x509.ExtKeyUsageServerAuth, func(cert *x509.Certificate) error {
			_, err := VMOf(cert)
			return err
		})
	}
	return config
}

// HostClient returns the configuration for one connection to a server that its
// certificate names by host or IP address, such as the store.
func (s *Source) HostClient(host string) *tls.Config {
	config := s.base()
	config.RootCAs = s.Current().pool
	config.ServerName = host
	return config
}

func (s *Source) verify(list []*x509.Certificate, usage x509.ExtKeyUsage, identity func(*x509.Certificate) error) error {
	if _, err := s.Current().chains(list, usage, s.Now()); err != nil {
		return err
	}
	return identity(list[0])
}

// Peer is the other end of a control link.
type Peer struct {
	VM     VM
	source *Source
	list   []*x509.Certificate
	usage  x509.ExtKeyUsage
	seen   *Credentials // that the certificate was last checked against
	own    *x509.Certificate
}

// NewPeer returns the peer of a connection whose handshake has ended. It returns
// ErrNoCertificate or ErrIdentity.
func (s *Source) NewPeer(state tls.ConnectionState, isServer bool) (*Peer, error) {
	if len(state.PeerCertificates) == 0 {
		return nil, ErrNoCertificate
	}
	vm, err := VMOf(state.PeerCertificates[0])
	if err != nil {
		return nil, err
	}
	usage := x509.ExtKeyUsageClientAuth
	if isServer {
		usage = x509.ExtKeyUsageServerAuth
	}
	return &Peer{VM: vm, source: s, list: state.PeerCertificates, usage: usage, seen: s.Current(), own: s.Current().Leaf()}, nil
}

// IsOutdated reports whether this end has another certificate than when the
// connection was opened. The peer would refuse the former one when it runs out.
func (p *Peer) IsOutdated() bool {
	leaf := p.source.Current().Leaf()
	return leaf != nil && !leaf.Equal(p.own)
}

// Check returns an error when the peer's certificate has run out, or is not
// issued by the CA any more since the files changed. Links stay open for days,
// so that the handshake alone is not enough.
func (p *Peer) Check() error {
	now := p.source.Now()
	if now.After(p.list[0].NotAfter) {
		return fmt.Errorf("%w: it ended at %s", ErrExpired, p.list[0].NotAfter)
	}
	m := p.source.Current()
	if m == p.seen {
		return nil
	}
	if _, err := m.chains(p.list, p.usage, now); err != nil {
		return err
	}
	p.seen = m
	return nil
}
