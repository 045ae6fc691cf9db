// Command gypsumspand is the entry daemon. It runs on each entry VM of the load balancer.
package main

import (
	"os"

	"github.com/gypsumspan/gypsumspan/daemon"
	_ "github.com/gypsumspan/gypsumspan/daemoncmd/earlysignal"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], daemon.Options{
		NewMachine:  daemon.NewVM,
		NewServices: daemon.StoreServices,
	}))
}
