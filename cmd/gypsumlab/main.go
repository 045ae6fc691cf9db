// Command gypsumlab runs stand-ins, callers and load generators for trials on one machine.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/gypsumspan/gypsumspan/lab"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := lab.Command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "gypsumlab:", err)
		os.Exit(1)
	}
}
