package lab

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/gypsumspan/gypsumspan/standin/relay"
)

// ServeRelay runs the stand-in of the network between failure domains until ctx
// ends.
func ServeRelay(ctx context.Context, config relay.Config) error {
	service := relay.New(config)
	return runServices(ctx, service, service.HTTP())
}

// parseEndpoints parses entries of the form "ADVERTISED=REAL".
func parseEndpoints(entries []string) ([]relay.Endpoint, error) {
	endpoints := make([]relay.Endpoint, 0, len(entries))
	for _, entry := range entries {
		advertised, real, ok := strings.Cut(entry, "=")
		if !ok {
			return nil, fmt.Errorf("endpoint %q is not of the form ADVERTISED=REAL: %w", entry, ErrInvalidOption)
		}
		var endpoint relay.Endpoint
		var err error
		if endpoint.Advertised, err = parseAddr(advertised); err != nil {
			return nil, err
		}
		if endpoint.Real, err = parseAddr(real); err != nil {
			return nil, err
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints, nil
}

func relayCommand() *cobra.Command {
	var udp, tcp []string
	cmd := &cobra.Command{
		Use:   "relay CONTROL_ADDRESS",
		Short: "Run the stand-in of the network between failure domains",
		Example: `  gypsumlab relay 127.0.0.1:7900 --udp 127.0.0.1:7201=127.0.1.1:7201,127.0.0.1:7202=127.0.2.1:7202
  gypsumlab http PUT http://127.0.0.1:7900/cut '{"pairs":[["127.0.1.1","127.0.2.1"]]}'`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var config relay.Config
			var err error
			if config.Control, err = parseAddr(args[0]); err != nil {
				return err
			}
			if config.UDP, err = parseEndpoints(udp); err != nil {
				return err
			}
			if config.TCP, err = parseEndpoints(tcp); err != nil {
				return err
			}
			return ServeRelay(cmd.Context(), config)
		},
	}
	const form = ", each as ADVERTISED=REAL"
	cmd.Flags().StringSliceVar(&udp, "udp", nil, "endpoints that send and receive datagrams"+form)
	cmd.Flags().StringSliceVar(&tcp, "tcp", nil, "endpoints that accept connections"+form)
	return cmd
}
