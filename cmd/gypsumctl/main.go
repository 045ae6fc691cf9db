// Command gypsumctl edits the table, lists the audit trail and shows the state of VMs. It
// is the command of operators.
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
