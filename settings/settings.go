// Package settings reads the settings file of an entry VM: it decodes TOML into a typed
// struct and checks it. All faults are reported together, each with its file, line, key
// and the expected value. docs/settings.md lists every key.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/settings/document"
)

// ErrFile means that the settings file can't be read.
var ErrFile = errors.New("settings file can't be read")

// ErrInvalid means that the settings have faults. Errors of Load and Parse that wrap it
// have type Faults.
var ErrInvalid = document.ErrInvalid

// Fault is one fault in a settings file; Faults are all faults of one file.
type (
	Fault  = document.Fault
	Faults = document.Faults
)

// Settings are the checked settings of one entry VM.
type Settings struct {
	VM        VM
	Listen    Addresses
	Advertise Advertised
	Outgoing  Outgoing
	Store     Store
	VMList    VMList
	Seeds     []Seed
	TLS       TLS
	Datagrams Datagrams
	Log       Log
	Timings   Timings
}

// VM is the identity of the VM.
type VM struct {
	Name   string // unique in the fleet
	Domain string // failure domain
}

// Addresses are the addresses that the VM listens on.
type Addresses struct {
	Callers netip.AddrPort // UDP, datagrams of callers
	Data    netip.AddrPort // UDP, datagrams of VMs and targets
	Control netip.AddrPort // TCP, control links of VMs
	Admin   netip.AddrPort // TCP, HTTP for operators
}

// Advertised are the addresses at which other VMs reach this one. The default is the
// corresponding address of Listen.
type Advertised struct {
	Data    netip.AddrPort
	Control netip.AddrPort
}

// Outgoing describes the connections that the VM opens.
type Outgoing struct {
	Address netip.Addr // local address; if it is invalid, the system chooses
}

// Store is the platform's key-value store.
type Store struct {
	Endpoints []string // URLs
	// TLS are the files for https endpoints. Cert and Key may be empty. If CA is empty,
	// Settings.TLS is used instead.
	TLS TLS
}

// VMList is the platform's list of VMs.
type VMList struct {
	URL string // empty: there is no list
}

// Seed is a VM that is configured in the settings, so that it is known without the VM list.
type Seed struct {
	Name    string
	Control netip.AddrPort
}

// TLS are the paths of the PEM files that authenticate VMs and operators. All are empty if
// TLS is disabled.
type TLS struct {
	CA   string
	Cert string
	Key  string
}

// Enabled reports whether TLS is enabled.
func (t TLS) Enabled() bool { return t.CA != "" }

// Datagrams configures the authentication of datagrams between VMs.
type Datagrams struct {
	Keys string // path of the key file; empty: datagrams are not authenticated
}

// Log configures the log.
type Log struct {
	Format events.Format
	Level  events.Level
}

// Timings are intervals and timeouts.
type Timings struct {
	StopGrace         time.Duration // maximum duration of a planned leave
	VMListInterval    time.Duration // mean time between two polls of the VM list
	VMListTimeout     time.Duration
	HealthInterval    time.Duration // mean time between two polls of a target
	HealthTimeout     time.Duration
	PeerDialTimeout   time.Duration
	PeerWriteTimeout  time.Duration
	PeerIdleTimeout   time.Duration // an unused control link is closed after this time; key peer_idle
	AdminQueryTimeout time.Duration // of a query on the admin address; key admin_wait
}

// Load reads and checks a settings file. It returns ErrFile or Faults.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFile, err)
	}
	return Parse(file, data)
}

// Parse decodes and checks the content of a settings file; faults name it file. It returns
// Faults.
func Parse(file string, data []byte) (*Settings, error) {
	return parse(file, data)
}
