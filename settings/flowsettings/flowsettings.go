// Package flowsettings reads the settings file of gypsumflowd, the daemon that forwards packets
// of opaque flows. docs/flow-settings.md lists every key.
package flowsettings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/settings"
	"github.com/gypsumspan/gypsumspan/settings/document"
)

// referencePage is the page that lists the keys.
const referencePage = "docs/flow-settings.md"

// Settings are the checked settings of one VM.
type Settings struct {
	VM        VM
	Listen    Listen
	Readiness Readiness
	Store     Store
	Catalog   Catalog
	Cold      Cold
	Balance   Balance
	Log       Log
	Timings   Timings
}

// VM is the identity of the VM.
type VM struct {
	Name   string // unique in the fleet
	Domain string // failure domain
	// Regions holds the region of each failure domain; see key vm.regions.
	Regions map[string]string
}

// Listen are the addresses that the VM listens on.
type Listen struct {
	Packets    netip.AddrPort // UDP, packets of callers
	Readiness  netip.AddrPort // TCP, readiness probes of the routers
	Heartbeats netip.AddrPort // UDP, heartbeats of other VMs; key listen.beats
	Control    netip.AddrPort // TCP, pulls of other VMs, metrics, queries of operators
	Metrics    netip.AddrPort // TCP, an additional address that serves the same as Control; invalid: none
}

// Readiness configures the readiness probes of the routers.
type Readiness struct {
	Path string // of the HTTP request
}

// Store is the platform's key-value store.
type Store struct {
	Address netip.AddrPort
	Timeout time.Duration // of one call
}

// Catalog configures how the VM keeps its replica of the catalog up to date.
type Catalog struct {
	// ApplyWithin is the maximum time from the acknowledgement of a change by the store
	// until the change is in force.
	ApplyWithin time.Duration
	// EvacuateWithin is the maximum time from the acknowledgement of an evacuation request
	// until its failure domain gets no new flows; 0: ApplyWithin.
	EvacuateWithin time.Duration
	// Seeds are control addresses of other VMs. Some of them may be down.
	Seeds []netip.AddrPort
}

// within returns the time in which every VM must have any change of the store.
func (c Catalog) within() time.Duration {
	if c.EvacuateWithin > 0 {
		return min(c.ApplyWithin, c.EvacuateWithin)
	}
	return c.ApplyWithin
}

// MaxAge returns the maximum age of the last confirmation that the replica is up to date. At
// that age a VM reads the store itself. The remaining 30% of the time for a change are for that
// read and one retry.
func (c Catalog) MaxAge() time.Duration { return c.within() * 7 / 10 }

// WatchWait returns how long the store may hold a call of a watch without events. The sum
// of it, the pause of a watch after events and the interval of heartbeats is less than
// MaxAge, so that a VM does not consider its relay dead while the store has no events.
func (c Catalog) WatchWait() time.Duration { return c.within() * 45 / 100 }

// BatchPause returns the pause of a watch after events. It is small against the time for a change,
// and longer where a change may take longer: while targets are replaced, the relays' watches are
// most of the calls to the store.
func (c Catalog) BatchPause() time.Duration { return c.within() / 15 }

// FirstWatchWait returns how long the store may hold the first call of a watch. VMs that
// start together all read the store at the start; with the shorter wait their relay can
// confirm that the store is unchanged before that read is older than MaxAge.
func (c Catalog) FirstWatchWait() time.Duration { return c.WatchWait() / 4 }

// Balance configures the choice of targets.
type Balance struct {
	// TargetReports makes VMs of a failure domain tell each other the load and speed of its
	// targets, and choose targets by speed.
	TargetReports bool
}

// Cold limits the new flows of cold targets of services that state what a cold target bears.
type Cold struct {
	Overage float64 // factor by which a cold target may get more than it bears
	Slack   int     // flows that it may get beyond that in any second
}

// Log configures the log.
type Log struct {
	Format events.Format
	Level  events.Level
}

// Timings are intervals and timeouts.
type Timings struct {
	StopGrace time.Duration // maximum time from the first stop signal to the end of the process
}

// Load reads and checks a settings file. It returns settings.ErrFile or document.Faults.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", settings.ErrFile, err)
	}
	return Parse(file, data)
}

// Parse decodes and checks the content of a settings file; faults name it file. It returns
// document.Faults.
func Parse(file string, data []byte) (*Settings, error) {
	c := document.NewChecker[Settings](file, referencePage)
	c.Settings.Cold = Cold{Overage: defaultOverage, Slack: defaultSlack}
	c.Settings.Balance = Balance{TargetReports: true}
	if c.Check(data, keys, keys) {
		checkOverlaps(c)
	}
	return c.Result()
}

// checkOverlaps adds a fault for listen addresses of the same protocol that overlap.
func checkOverlaps(c *document.Checker[Settings]) {
	l := c.Settings.Listen
	if document.Overlap(l.Packets, l.Heartbeats) {
		c.AddFault("listen.beats", "an address that listen.packets does not use", document.FormatValue(l.Heartbeats.String()))
	}
	if document.Overlap(l.Readiness, l.Metrics) || document.Overlap(l.Control, l.Metrics) {
		c.AddFault("listen.metrics", "an address that no other key uses", document.FormatValue(l.Metrics.String()))
	}
	if document.Overlap(l.Readiness, l.Control) {
		c.AddFault("listen.control", "an address that listen.readiness does not use", document.FormatValue(l.Control.String()))
	}
}
