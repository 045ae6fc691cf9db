// Command gypsumctl is the operators' command.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/gypsumspan/gypsumspan/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := ctl.Run(ctx, os.Args[1:], ctl.Environment{
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Getenv: os.Getenv,
	})
	stop()
	os.Exit(code)
}
