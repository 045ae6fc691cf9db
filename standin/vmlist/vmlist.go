// Package vmlist is a stand-in for the platform's list of live and leaving VMs. Like the
// platform's list, it shows changes after a configurable lag.
package vmlist

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// ErrInvalid means that a list has an empty or repeated VM name.
var ErrInvalid = errors.New("invalid VM list")

// VM is one entry of the list.
type VM struct {
	Name    string         `json:"name"`
	Domain  string         `json:"domain"`  // failure domain
	Data    netip.AddrPort `json:"data"`    // UDP, datagrams between VMs
	Control netip.AddrPort `json:"control"` // TCP, control links
	Leaving bool           `json:"leaving"`
}

// Document is the JSON form of the whole list.
type Document struct {
	VMs []VM `json:"vms"`
}

// List is the list with the versions that Get may still return. It does no I/O, takes the
// time as an argument and is not safe for concurrent use.
type List struct {
	lag     time.Duration
	history []version
}

// version is the list as it was set at a time.
type version struct {
	at  time.Duration
	doc Document
}

// New returns a list of vms that Get returns immediately, whatever the lag.
func New(vms []VM) *List {
	return &List{history: []version{{doc: Document{VMs: append([]VM{}, vms...)}}}}
}

// SetLag sets the delay after which Get returns a change; a negative lag is 0.
func (l *List) SetLag(lag time.Duration) {
	l.lag = max(lag, 0)
}

// Set replaces the list. It returns ErrInvalid if a VM has no name or a repeated one.
func (l *List) Set(now time.Duration, doc Document) error {
	seen := make(map[string]bool, len(doc.VMs))
	for i, vm := range doc.VMs {
		if vm.Name == "" || seen[vm.Name] {
			return fmt.Errorf("entry %d has an empty or repeated name %q: %w", i+1, vm.Name, ErrInvalid)
		}
		seen[vm.Name] = true
	}
	l.prune(now)
	l.history = append(l.history, version{at: now, doc: doc})
	return nil
}

// Get returns the list as it was at now minus the lag.
func (l *List) Get(now time.Duration) Document {
	l.prune(now)
	return l.history[0].doc
}

// prune discards the versions that Get can no longer return.
func (l *List) prune(now time.Duration) {
	for len(l.history) > 1 && l.history[1].at <= now-l.lag {
		l.history = l.history[1:]
	}
}
