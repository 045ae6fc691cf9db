package lab

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/gypsumspan/gypsumspan/standin/store"
)

// StoreOptions configure a store stand-in.
type StoreOptions struct {
	store.Options
	Control store.Control // faults from the start on
	// File stores the contents across restarts; with "" they are lost.
	File string
	// Certs is a directory written by CreateCerts: the store then accepts only HTTPS
	// with a client certificate. "" means plain HTTP.
	Certs string
}

// ServeStore runs the store stand-in until ctx ends. It reads the contents from
// o.File, if that exists, and writes them back at the end.
func ServeStore(ctx context.Context, addr string, o StoreOptions) error {
	e := store.NewEngine(o.Options)
	if err := loadStore(e, o.File); err != nil {
		return err
	}
	if err := e.Apply(o.Control); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidOption, err)
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if o.Certs != "" {
		config, err := storeTLS(o.Certs)
		if err != nil {
			return errors.Join(err, listener.Close())
		}
		listener = tls.NewListener(listener, config)
	}
	return errors.Join(store.ServeEngine(ctx, listener, e), saveStore(e, o.File))
}

func storeTLS(dir string) (*tls.Config, error) {
	files := certFiles(dir, "store")
	pair, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	data, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(data)
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
	}, nil
}

func loadStore(e *store.Engine, path string) error {
	if path == "" {
		return nil
	}
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	defer file.Close()
	return e.Load(file)
}

// saveStore writes a temporary file and renames it, so that an interrupted save
// leaves the old contents.
func saveStore(e *store.Engine, path string) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path + ".new")
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if err := errors.Join(e.Save(file), file.Close()); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

func storeCommand() *cobra.Command {
	var o StoreOptions
	var outage bool
	var delay time.Duration
	cmd := &cobra.Command{
		Use:   "store ADDRESS",
		Short: "Run the stand-in of the platform's store",
		Long: `Run the stand-in of the platform's store (etcd v3 JSON over HTTP). While it runs,
faults are changed by POST ` + store.PathControl + `, and GET ` + store.PathCalls + ` counts the calls:

  gypsumlab http POST http://ADDRESS` + store.PathControl + ` '{"outage":true}'
  gypsumlab http POST http://ADDRESS` + store.PathControl + ` '{"outage":false,"delay_ms":200,"lose_answers":2}'`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := parseAddr(args[0]); err != nil {
				return err
			}
			delayMS := int(delay.Milliseconds())
			o.Control.Outage, o.Control.DelayMS = &outage, &delayMS
			return ServeStore(cmd.Context(), args[0], o)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.File, "file", "", "file that keeps the contents when the stand-in is stopped and started again")
	flags.Float64Var(&o.WritesPerSecond, "writes", store.DefaultWritesPerSecond, "writes per second; below 0: no limit")
	flags.Float64Var(&o.ReadsPerSecond, "reads", store.DefaultReadsPerSecond, "reads per second, watches included; below 0: no limit")
	flags.StringVar(&o.Certs, "certs", "", "directory of gypsumlab certs; serve HTTPS to clients with a certificate only")
	flags.BoolVar(&outage, "outage", false, "refuse all calls from the start")
	flags.DurationVar(&delay, "delay", 0, "wait before each call is made")
	flags.IntVar(&o.Control.LoseAnswers, "lose-answers", 0, "number of first writes that are made without an answer")
	flags.IntVar(&o.Control.LoseWrites, "lose-writes", 0, "number of writes after those that are not made and get no answer")
	return cmd
}
