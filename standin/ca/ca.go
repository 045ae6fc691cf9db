// Package ca is a stand-in for the operators' certificate authority (CA). It issues
// certificates for VMs, operators and servers in tests and the demo.
package ca

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/gypsumspan/gypsumspan/certs"
)

// clockSkew is how long before its issue a certificate becomes valid, so that VMs whose
// clocks are behind accept it.
const clockSkew = 5 * time.Minute

// CA is a certificate authority with an ECDSA P-256 key.
type CA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	// PEM is the CA certificate in PEM.
	PEM []byte
}

// KeyPair is a certificate and its private key (PKCS #8), both in PEM.
type KeyPair struct {
	Cert []byte
	Key  []byte
}

// Validity is the period in which a certificate is valid.
type Validity struct {
	From, To time.Time
}

// ValidFor returns the validity from clockSkew before now until d after now.
func ValidFor(d time.Duration) Validity {
	now := time.Now()
	return Validity{From: now.Add(-clockSkew), To: now.Add(d)}
}

// New returns a CA with a new key and a self-signed certificate.
func New(v Validity) (*CA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate CA key: %w", err)
	}
	template, err := newTemplate("gypsumspan test CA", v)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("create CA certificate: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse CA certificate: %w", err)
	}
	return &CA{cert: cert, key: key, PEM: encodePEM("CERTIFICATE", der)}, nil
}

// IssueVM issues the certificate of a VM, for TLS servers and clients.
func (c *CA) IssueVM(vm certs.VM, v Validity) (KeyPair, error) {
	usage := []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return c.issue(vm.Name, v, usage, []*url.URL{vm.URI()}, nil)
}

// IssueOperator issues the certificate of an operator, for TLS clients.
func (c *CA) IssueOperator(name string, v Validity) (KeyPair, error) {
	usage := []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	return c.issue(name, v, usage, []*url.URL{certs.OperatorURI(name)}, nil)
}

// IssueServer issues the certificate of a TLS server with an IP address, such as the store.
func (c *CA) IssueServer(ip net.IP, v Validity) (KeyPair, error) {
	usage := []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	return c.issue(ip.String(), v, usage, nil, []net.IP{ip})
}

func (c *CA) issue(name string, v Validity, usage []x509.ExtKeyUsage, uris []*url.URL, ips []net.IP) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("generate key of %s: %w", name, err)
	}
	template, err := newTemplate(name, v)
	if err != nil {
		return KeyPair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = usage
	template.URIs = uris
	template.IPAddresses = ips
	der, err := x509.CreateCertificate(rand.Reader, template, c.cert, &key.PublicKey, c.key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("create certificate of %s: %w", name, err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("encode key of %s: %w", name, err)
	}
	return KeyPair{Cert: encodePEM("CERTIFICATE", der), Key: encodePEM("PRIVATE KEY", keyDER)}, nil
}

func newTemplate(name string, v Validity) (*x509.Certificate, error) {
	const serialBits = 120
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    v.From,
		NotAfter:     v.To,
	}, nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// WriteFiles writes the CA certificate, the certificate and the key to ca.pem, NAME.pem and
// NAME.key in dir, and returns their paths.
func (c *CA) WriteFiles(dir, name string, p KeyPair) (certs.Files, error) {
	files := certs.Files{
		CA:   filepath.Join(dir, "ca.pem"),
		Cert: filepath.Join(dir, name+".pem"),
		Key:  filepath.Join(dir, name+".key"),
	}
	const keyFileMode = 0o600
	for path, data := range map[string][]byte{files.CA: c.PEM, files.Cert: p.Cert, files.Key: p.Key} {
		if err := os.WriteFile(path, data, keyFileMode); err != nil {
			return certs.Files{}, fmt.Errorf("write certificate file: %w", err)
		}
	}
	return files, nil
}

// testValidity is how long the certificates of CreateVMFiles and CreateOperatorFiles are valid.
const testValidity = time.Hour

// CreateVMFiles issues a certificate for a VM, valid for testValidity, and writes it to dir
// under the name vm.Name; see WriteFiles.
func (c *CA) CreateVMFiles(dir string, vm certs.VM) (certs.Files, error) {
	pair, err := c.IssueVM(vm, ValidFor(testValidity))
	if err != nil {
		return certs.Files{}, err
	}
	return c.WriteFiles(dir, vm.Name, pair)
}

// CreateOperatorFiles issues a certificate for an operator, valid for testValidity, and writes
// it to dir under the name name; see WriteFiles.
func (c *CA) CreateOperatorFiles(dir, name string) (certs.Files, error) {
	pair, err := c.IssueOperator(name, ValidFor(testValidity))
	if err != nil {
		return certs.Files{}, err
	}
	return c.WriteFiles(dir, name, pair)
}

// Open opens files unless err is not nil. Its parameters are the results of WriteFiles,
// CreateVMFiles or CreateOperatorFiles.
func Open(files certs.Files, err error) (*certs.Source, error) {
	if err != nil {
		return nil, err
	}
	return certs.Open(certs.Config{Files: files})
}
