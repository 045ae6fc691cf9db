// Command gypsumspand is the entry daemon: one VM of the load balancer.
package main

import (
	"net/netip"
	"os"

	"github.com/gypsumspan/gypsumspan/daemon"
)

// target is the address of the only target until the table comes from the store.
const target = "127.0.0.1:7300"

func main() {
	options := daemon.Options{Machine: daemon.StaticEcho(netip.MustParseAddrPort(target))}
	os.Exit(daemon.Main(os.Args[1:], options))
}
