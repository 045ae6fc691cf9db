// Package flowset reads the settings file of gypsumflowd, the daemon that
// forwards packets of opaque flows. docs/flow-settings.md lists every key.
package flowset

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/settings"
	"github.com/gypsumspan/gypsumspan/settings/document"
)

// page lists the keys.
const page = "docs/flow-settings.md"

// Settings are the checked settings of one VM.
type Settings struct {
	VM        VM
	Listen    Listen
	Readiness Readiness
	Store     Store
	Catalog   Catalog
	Log       Log
	Timings   Timings
}

// VM is the identity of the VM.
type VM struct {
	Name   string // unique in the fleet
	Domain string // failure domain
}

// Listen are the addresses that the VM listens on.
type Listen struct {
	Packets    netip.AddrPort // UDP, packets of callers
	Readiness  netip.AddrPort // TCP, questions of the routers
	Heartbeats netip.AddrPort // UDP, heartbeats of other VMs; key listen.beats
	Control    netip.AddrPort // TCP, pulls of other VMs, metrics, operators' questions
	Metrics    netip.AddrPort // TCP, a further address for the same; invalid: none
}

// Readiness is the question of the routers.
type Readiness struct {
	Path string // of the HTTP request
}

// Store is the platform's store.
type Store struct {
	Address netip.AddrPort
	Timeout time.Duration // of one call
}

// Catalog says how soon changes must be in force.
type Catalog struct {
	ApplyWithin time.Duration // from the acknowledgement of a change to its effect
	// Seeds are control addresses of other VMs, which may be down.
	Seeds []netip.AddrPort
}

// MaxAge returns the age of the knowledge of the store at which a VM reads the
// store itself. The rest of the time is for that reading, one retry included.
func (c Catalog) MaxAge() time.Duration { return c.ApplyWithin * 7 / 10 }

// WatchWait returns how long the store may hold a watch without events. Together with
// the pause after events and the time between two beats it is less than MaxAge, so
// that a VM without news never takes its relay for a dead one.
func (c Catalog) WatchWait() time.Duration { return c.ApplyWithin * 45 / 100 }

// FirstWatchWait returns how long the store may hold the first call of a watch. VMs that
// start together read the store at once; their relay then knows that it is unchanged
// before what they know is older than MaxAge.
func (c Catalog) FirstWatchWait() time.Duration { return c.WatchWait() / 4 }

// Log is the form of the log.
type Log struct {
	Format events.Format
	Level  events.Level
}

// Timings are intervals and time-outs.
type Timings struct {
	StopGrace time.Duration // from the first stop signal to the end at the latest
}

// Load reads and checks the file. It returns settings.ErrFile or document.Faults.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", settings.ErrFile, err)
	}
	return Parse(file, data)
}

// Parse checks data; file is its name in faults. It returns document.Faults.
func Parse(file string, data []byte) (*Settings, error) {
	c := document.NewChecker[Settings](file, page)
	if c.Check(data, keys, keys) {
		checkDuplicates(c)
	}
	return c.Result()
}

// checkDuplicates reports listen addresses of the same protocol that overlap.
func checkDuplicates(c *document.Checker[Settings]) {
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
