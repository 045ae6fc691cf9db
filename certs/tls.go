package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
)

// baseConfig returns the common part of all configurations. Session tickets are disabled,
// so that each handshake verifies the certificate against the CA in use.
func (s *Source) baseConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.ownPair()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if pair := s.Current().ownPair; pair != nil {
				return pair, nil
			}
			return &tls.Certificate{}, nil
		},
	}
}

func (s *Source) ownPair() (*tls.Certificate, error) {
	pair := s.Current().ownPair
	if pair == nil {
		return nil, ErrNoCertificate
	}
	return pair, nil
}

// VMServer returns the configuration for accepting connections of VMs. VerifyConnection
// verifies the client's certificate, so that failures have the errors of this package
// instead of those of crypto/tls.
func (s *Source) VMServer() *tls.Config {
	return s.serverConfig(func(cert *x509.Certificate) error {
		_, err := VMOf(cert)
		return err
	})
}

// OperatorServer returns the configuration for accepting connections of operators. It calls
// onRefused for each rejected client, on the goroutine of the handshake; onRefused must not
// block.
func (s *Source) OperatorServer(onRefused func(remote net.Addr, err error)) *tls.Config {
	config := s.serverConfig(func(cert *x509.Certificate) error {
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
				onRefused(remote, err)
			}
			return err
		}
		return c, nil
	}
	return config
}

func (s *Source) serverConfig(checkIdentity func(*x509.Certificate) error) *tls.Config {
	config := s.baseConfig()
	config.ClientAuth = tls.RequestClientCert
	config.VerifyConnection = func(state tls.ConnectionState) error {
		return s.verifyPeer(state.PeerCertificates, x509.ExtKeyUsageClientAuth, checkIdentity)
	}
	return config
}

// VMClient returns the configuration for connections to VMs. A VM is addressed by IP, but
// its certificate names it by a URI, which crypto/tls does not compare with a server name.
// The verification of crypto/tls is therefore disabled, and VerifyConnection does all of it.
func (s *Source) VMClient() *tls.Config {
	config := s.baseConfig()
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		return s.verifyPeer(state.PeerCertificates, x509.ExtKeyUsageServerAuth, func(cert *x509.Certificate) error {
			_, err := VMOf(cert)
			return err
		})
	}
	return config
}

// HostClient returns the configuration for one connection to a server whose certificate
// names it by host name or IP address, such as the store.
func (s *Source) HostClient(host string) *tls.Config {
	config := s.baseConfig()
	config.RootCAs = s.Current().caPool
	config.ServerName = host
	return config
}

// verifyPeer verifies the certificates that a peer presented, and the identity that the
// first one names.
func (s *Source) verifyPeer(list []*x509.Certificate, usage x509.ExtKeyUsage, checkIdentity func(*x509.Certificate) error) error {
	if _, err := s.Current().verifyChains(list, usage, s.Now()); err != nil {
		return err
	}
	return checkIdentity(list[0])
}

// Peer is the VM at the other end of a control link.
type Peer struct {
	VM           VM
	source       *Source
	certificates []*x509.Certificate // that the peer presented, its own first
	usage        x509.ExtKeyUsage
	verifiedWith *Credentials      // with which certificates were last verified
	ownLeaf      *x509.Certificate // own certificate when the connection was opened
}

// NewPeer returns the peer of a connection after the handshake; isServer means that the
// peer is the server. It returns ErrNoCertificate or ErrIdentity.
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
	return &Peer{VM: vm, source: s, certificates: state.PeerCertificates, usage: usage, verifiedWith: s.Current(), ownLeaf: s.Current().Leaf()}, nil
}

// IsOutdated reports whether the own certificate has changed since the connection was
// opened. The peer rejects the previous certificate once that expires.
func (p *Peer) IsOutdated() bool {
	leaf := p.source.Current().Leaf()
	return leaf != nil && !leaf.Equal(p.ownLeaf)
}

// Check returns an error if the peer's certificate has expired, or if the CA in use did not
// issue it, which a reload of the files may change. The check at the handshake is not
// enough, since links stay open for days.
func (p *Peer) Check() error {
	now := p.source.Now()
	if now.After(p.certificates[0].NotAfter) {
		return fmt.Errorf("%w: it expired at %s", ErrExpired, p.certificates[0].NotAfter)
	}
	c := p.source.Current()
	if c == p.verifiedWith {
		return nil
	}
	if _, err := c.verifyChains(p.certificates, p.usage, now); err != nil {
		return err
	}
	p.verifiedWith = c
	return nil
}
