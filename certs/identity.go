package certs

import (
	"crypto/x509"
	"fmt"
	"net/url"
	"strings"
)

// Schemes of the URI names (SAN URIs) in certificates. They differ so that a VM's
// certificate is not accepted as an operator's, or vice versa.
const (
	SchemeVM       = "gypsumspan"
	SchemeOperator = "gypsumspan-operator"
)

// VM is the identity of a VM.
type VM struct {
	Name   string
	Domain string // failure domain
}

// URI returns the URI name of the VM: "gypsumspan://<domain>/<vm>".
func (v VM) URI() *url.URL {
	return &url.URL{Scheme: SchemeVM, Host: v.Domain, Path: "/" + v.Name}
}

// String implements fmt.Stringer.
func (v VM) String() string { return v.URI().String() }

// OperatorURI returns the URI name of an operator: "gypsumspan-operator://<name>".
func OperatorURI(name string) *url.URL {
	return &url.URL{Scheme: SchemeOperator, Host: name}
}

// VMOf returns the VM that a certificate names, or ErrIdentity.
func VMOf(cert *x509.Certificate) (VM, error) {
	uri, err := singleURI(cert, SchemeVM)
	if err != nil {
		return VM{}, err
	}
	vm := VM{Name: strings.TrimPrefix(uri.Path, "/"), Domain: uri.Host}
	if vm.Name == "" || vm.Domain == "" || strings.Contains(vm.Name, "/") || uri.String() != vm.String() {
		return VM{}, fmt.Errorf("URI name %q is not gypsumspan://<domain>/<vm>: %w", uri, ErrIdentity)
	}
	return vm, nil
}

// OperatorOf returns the operator that a certificate names, or ErrIdentity.
func OperatorOf(cert *x509.Certificate) (string, error) {
	uri, err := singleURI(cert, SchemeOperator)
	if err != nil {
		return "", err
	}
	if uri.Host == "" || uri.String() != OperatorURI(uri.Host).String() {
		return "", fmt.Errorf("URI name %q is not gypsumspan-operator://<name>: %w", uri, ErrIdentity)
	}
	return uri.Host, nil
}

// singleURI returns the URI name with the scheme, or ErrIdentity if there is none or more
// than one.
func singleURI(cert *x509.Certificate, scheme string) (*url.URL, error) {
	var found *url.URL
	for _, uri := range cert.URIs {
		if uri.Scheme != scheme {
			continue
		}
		if found != nil {
			return nil, fmt.Errorf("more than one URI name with scheme %s: %w", scheme, ErrIdentity)
		}
		found = uri
	}
	if found == nil {
		return nil, fmt.Errorf("no URI name with scheme %s: %w", scheme, ErrIdentity)
	}
	return found, nil
}
