// Command gypsumspand is the entry daemon: one VM of the load balancer.
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

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
	"github.com/gypsumspan/gypsumspan/decide/vm"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/core"
	"github.com/gypsumspan/gypsumspan/services/logs"
	"github.com/gypsumspan/gypsumspan/services/peers"
	"github.com/gypsumspan/gypsumspan/services/udp"
)

// stopGrace bounds the planned leave.
const stopGrace = 30 * time.Second

func main() {
	var callers, data, target string
	cmd := &cobra.Command{
		Use:           "gypsumspand",
		Short:         "Run one entry VM of the load balancer",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			return run(callers, data, target)
		},
	}
	cmd.Flags().StringVar(&callers, "callers", "127.0.0.1:7100", "address for callers' datagrams")
	cmd.Flags().StringVar(&data, "data", "127.0.0.1:7200", "address for datagrams of VMs and targets")
	cmd.Flags().StringVar(&target, "target", "127.0.0.1:7300", "address of the only target")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "gypsumspand:", err)
		os.Exit(1)
	}
}

func run(callers, data, target string) error {
	config := udp.Config{}
	var err error
	if config.Callers, err = netip.ParseAddrPort(callers); err != nil {
		return fmt.Errorf("address for callers: %w", err)
	}
	if config.Data, err = netip.ParseAddrPort(data); err != nil {
		return fmt.Errorf("data address: %w", err)
	}
	targetAddr, err := netip.ParseAddrPort(target)
	if err != nil {
		return fmt.Errorf("target address: %w", err)
	}
	t := table.New()
	t.SetService(&table.Service{
		ID:   message.ServiceIDOf("echo"),
		Name: "echo",
		Targets: []table.Target{{
			ID: message.TargetIDOf("echo", "t1"), Name: "t1", Addr: targetAddr, Weight: 1, Limit: 3, State: table.Active,
		}},
	})
	machine := vm.New(vm.Config{Epoch: 1}, t)
	k := kernel.New(kernel.NewClock())
	for _, s := range []kernel.Service{
		logs.New(events.New(os.Stderr, events.Text, events.Info)),
		udp.New(config, nil),
		peers.New(peers.Config{Listen: netip.MustParseAddrPort("127.0.0.1:7400")}),
		core.New(machine),
	} {
		if err := k.Register(s); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return k.Run(ctx, stopGrace)
}
