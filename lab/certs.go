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

// certsVariable names the directory with the operator's certificate for requests
// to VMs and to an https store: ca.pem, operator.pem and operator.key.
const certsVariable = "GYPSUMLAB_CERTS"

// operatorFile is the name of the operator's files in that directory.
const operatorFile = "operator"

type certsKey struct{}

// withCerts returns ctx with the operator's certificates of a directory.
func withCerts(ctx context.Context, dir string) (context.Context, error) {
	if dir == "" {
		return ctx, nil
	}
	source, err := certs.Open(certs.Config{Files: filesIn(dir, operatorFile)})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", certsVariable, err)
	}
	return context.WithValue(ctx, certsKey{}, source), nil
}

func certsOf(ctx context.Context) *certs.Source {
	source, _ := ctx.Value(certsKey{}).(*certs.Source)
	return source
}

func filesIn(dir, name string) certs.Files {
	return certs.Files{
		CA:   filepath.Join(dir, "ca.pem"),
		Cert: filepath.Join(dir, name+".pem"),
		Key:  filepath.Join(dir, name+".key"),
	}
}

// requestVM asks the admin address of a VM, over HTTPS when there are certificates.
func requestVM(ctx context.Context, admin, path string) ([]byte, error) {
	source := certsOf(ctx)
	if source == nil {
		return Request(ctx, http.MethodGet, "http://"+admin+path, "")
	}
	return request(ctx, clientWith(source.VMClient()), http.MethodGet, "https://"+admin+path, "")
}

// clientFor returns the client for a URL of a stand-in.
func clientFor(ctx context.Context, text string) *http.Client {
	source := certsOf(ctx)
	u, err := url.Parse(text)
	if source == nil || err != nil || u.Scheme != "https" {
		return http.DefaultClient
	}
	return clientWith(source.HostClient(u.Hostname()))
}

func clientWith(config *tls.Config) *http.Client {
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
}

// CertsOptions say which certificates to create.
type CertsOptions struct {
	VMs      []string // NAME@DOMAIN
	Operator string
	Store    string // IP address
	Validity time.Duration
}

// CreateCerts creates a test CA and certificates in dir: ca.pem, and NAME.pem and
// NAME.key of each VM, "operator" and "store", and datagrams.keys. The key of the CA
// is not kept.
func CreateCerts(dir string, o CertsOptions) error {
	validity := ca.For(o.Validity)
	authority, err := ca.New(validity)
	if err != nil {
		return err
	}
	write := func(name string, pair ca.Pair, err error) error {
		if err != nil {
			return err
		}
		_, err = authority.Write(dir, name, pair)
		return err
	}
	for _, text := range o.VMs {
		name, domain, ok := strings.Cut(text, "@")
		if !ok {
			return fmt.Errorf("VM %q is not NAME@DOMAIN: %w", text, ErrInvalidOption)
		}
		pair, err := authority.VM(certs.VM{Name: name, Domain: domain}, validity)
		if err := write(name, pair, err); err != nil {
			return err
		}
	}
	ip := net.ParseIP(o.Store)
	if ip == nil {
		return fmt.Errorf("store %q is not an IP address: %w", o.Store, ErrInvalidOption)
	}
	if err := writeKeys(filepath.Join(dir, keysFile)); err != nil {
		return err
	}
	operator, operatorErr := authority.Operator(o.Operator, validity)
	server, serverErr := authority.Server(ip, validity)
	return errors.Join(write(operatorFile, operator, operatorErr), write("store", server, serverErr))
}

// keysFile is the name of the file with the keys of datagrams between VMs.
const keysFile = "datagrams.keys"

// writeKeys writes a file with one random key.
func writeKeys(path string) error {
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
	const defaultValidity = 30 * 24 * time.Hour // above the time from which VMs warn
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
