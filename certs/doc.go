// Package certs reads the certificates of a VM or an operator and returns the crypto/tls
// configurations of control links, the admin endpoint and the store client. It starts no
// goroutines: the service "certs" calls Reload.
package certs

import "errors"

// Errors of the package.
var (
	// ErrFiles means that the certificate files can't be used.
	ErrFiles = errors.New("certificate files can't be used")
	// ErrNoCertificate means that the peer presented no certificate, or that there is no
	// own certificate to present.
	ErrNoCertificate = errors.New("no certificate")
	// ErrUntrusted means that a certificate was not issued by the CA, or not for this use.
	ErrUntrusted = errors.New("certificate is not trusted")
	// ErrExpired means that a certificate is not valid at this time.
	ErrExpired = errors.New("certificate is not valid at this time")
	// ErrIdentity means that a certificate names no VM or operator, more than one, or not
	// the expected one.
	ErrIdentity = errors.New("certificate has the wrong identity")
)
