package lab

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/gypsumspan/gypsumspan/certs"
	"github.com/gypsumspan/gypsumspan/standin/ca"
	"github.com/gypsumspan/gypsumspan/wire/seal"
)

// certsVariable is the environment variable with the directory of the operator's
// certificate (ca.pem, operator.pem and operator.key) for requests to VMs and to a
// store over HTTPS.
const certsVariable = "GYPSUMLAB_CERTS"

// operatorFileName is the base name of the operator's files in that directory.
const operatorFileName = "operator"

// certsKey is the context key of the *certs.Source.
type certsKey struct{}

// withCerts adds the operator's certificate in dir to ctx. An empty dir adds none.
func withCerts(ctx context.Context, dir string) (context.Context, error) {
	if dir == "" {
		return ctx, nil
	}
	source, err := certs.Open(certs.Config{Files: certFiles(dir, operatorFileName)})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", certsVariable, err)
	}
	return context.WithValue(ctx, certsKey{}, source), nil
}

// certsOf returns the certificate of ctx, or nil.
func certsOf(ctx context.Context) *certs.Source {
	source, _ := ctx.Value(certsKey{}).(*certs.Source)
	return source
}

// certFiles returns the paths of a certificate and its CA in dir.
func certFiles(dir, name string) certs.Files {
	return certs.Files{
		CA:   filepath.Join(dir, "ca.pem"),
		Cert: filepath.Join(dir, name+".pem"),
		Key:  filepath.Join(dir, name+".key"),
	}
}

// requestVM sends a GET request to the admin address of a VM, over HTTPS if ctx has
// a certificate.
func requestVM(ctx context.Context, admin, path string) ([]byte, error) {
	source := certsOf(ctx)
	if source == nil {
		return Request(ctx, http.MethodGet, "http://"+admin+path, "")
	}
	return request(ctx, clientWith(source.VMClient()), http.MethodGet, "https://"+admin+path, "")
}

// clientFor returns the HTTP client for a URL. For https it presents the operator's
// certificate, if ctx has one.
func clientFor(ctx context.Context, rawURL string) *http.Client {
	source := certsOf(ctx)
	u, err := url.Parse(rawURL)
	if source == nil || err != nil || u.Scheme != "https" {
		return http.DefaultClient
	}
	return clientWith(source.HostClient(u.Hostname()))
}

func clientWith(config *tls.Config) *http.Client {
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
}

// CertsOptions configure CreateCerts.
type CertsOptions struct {
	VMs      []string // NAME@DOMAIN
	Operator string   // name in the operator's certificate
	Store    string   // IP address of the store
	Validity time.Duration
}

// CreateCerts creates a test CA and writes to dir: ca.pem; NAME.pem and NAME.key for
// each VM, for "operator" and for "store"; and datagrams.keys. The CA's private key is
// not written. It returns ErrInvalidOption for a malformed VM or store address.
func CreateCerts(dir string, o CertsOptions) error {
	validity := ca.ValidFor(o.Validity)
	authority, err := ca.New(validity)
	if err != nil {
		return err
	}
	write := func(name string, pair ca.KeyPair, err error) error {
		if err != nil {
			return err
		}
		_, err = authority.WriteFiles(dir, name, pair)
		return err
	}
	for _, text := range o.VMs {
		name, domain, ok := strings.Cut(text, "@")
		if !ok {
			return fmt.Errorf("VM %q is not NAME@DOMAIN: %w", text, ErrInvalidOption)
		}
		pair, err := authority.IssueVM(certs.VM{Name: name, Domain: domain}, validity)
		if err := write(name, pair, err); err != nil {
			return err
		}
	}
	ip := net.ParseIP(o.Store)
	if ip == nil {
		return fmt.Errorf("store %q is not an IP address: %w", o.Store, ErrInvalidOption)
	}
	if err := writeDatagramKeys(filepath.Join(dir, datagramKeysFile)); err != nil {
		return err
	}
	operator, operatorErr := authority.IssueOperator(o.Operator, validity)
	server, serverErr := authority.IssueServer(ip, validity)
	return errors.Join(write(operatorFileName, operator, operatorErr), write("store", server, serverErr))
}

// datagramKeysFile is the name of the file with the keys that authenticate datagrams
// between VMs.
const datagramKeysFile = "datagrams.keys"

// writeDatagramKeys writes a file with one random key.
func writeDatagramKeys(path string) error {
	key := make([]byte, seal.KeySize)
	// crypto/rand.Read never fails.
	_, _ = rand.Read(key)
	const secret = 0o600
	if err := os.WriteFile(path, []byte("1 "+hex.EncodeToString(key)+"\n"), secret); err != nil {
		return fmt.Errorf("write datagram keys: %w", err)
	}
	return nil
}

func certsCommand() *cobra.Command {
	const defaultValidity = 30 * 24 * time.Hour // longer than the remaining validity at which VMs log a warning
	var o CertsOptions
	cmd := &cobra.Command{
		Use:     "certs DIR",
		Short:   "Create a test CA with certificates of VMs, an operator and the store, and datagram keys",
		Example: `  gypsumlab certs certs --vm vm-1@north --vm vm-2@south --operator ann`,
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			const private = 0o700
			if err := os.MkdirAll(args[0], private); err != nil {
				return fmt.Errorf("certificates: %w", err)
			}
			return CreateCerts(args[0], o)
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&o.VMs, "vm", nil, "NAME@DOMAIN of a VM; repeatable")
	flags.StringVar(&o.Operator, "operator", "operator", "name of the operator")
	flags.StringVar(&o.Store, "store", "127.0.0.1", "IP address of the store")
	flags.DurationVar(&o.Validity, "validity", defaultValidity, "time until the certificates run out")
	return cmd
}
