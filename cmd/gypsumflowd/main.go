// Command gypsumflowd is the daemon that forwards the packets of opaque flows. It runs on
// each VM of the load balancer on the users' platform.
package main

import (
	"os"

	_ "github.com/gypsumspan/gypsumspan/daemoncmd/earlysignal"
	"github.com/gypsumspan/gypsumspan/flowd"
)

func main() {
	os.Exit(flowd.Main(os.Args[1:], flowd.Options{}))
}
