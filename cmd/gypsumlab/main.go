// Command gypsumlab runs stand-ins and callers for trials on one machine.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/gypsumspan/gypsumspan/lab"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cobra.Command{
		Use:           "gypsumlab",
		Short:         "Stand-ins and callers for trials on one machine",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(targetCommand(), callCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "gypsumlab:", err)
		os.Exit(1)
	}
}

func targetCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "target ADDRESS",
		Short: "Run a target that answers each request with its payload",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			addr, err := netip.ParseAddrPort(args[0])
			if err != nil {
				return fmt.Errorf("target address: %w", err)
			}
			return lab.ServeTarget(cmd.Context(), addr)
		},
	}
}

func callCommand() *cobra.Command {
	const timeout = 2 * time.Second
	return &cobra.Command{
		Use:   "call ADDRESS PAYLOAD",
		Short: "Send one request to service \"echo\" through the VM at ADDRESS",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			addr, err := netip.ParseAddrPort(args[0])
			if err != nil {
				return fmt.Errorf("VM address: %w", err)
			}
			answer, err := lab.Call(addr, "echo", []byte(args[1]), timeout)
			if err != nil {
				return err
			}
			fmt.Println(string(answer))
			return nil
		},
	}
}
