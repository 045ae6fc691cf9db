// Package vmlist is a stand-in for the platform's list of live and leaving VMs.
// Like the platform's list, it lags.
package vmlist

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// ErrInvalid means that a list can't be accepted.
var ErrInvalid = errors.New("invalid VM list")

// VM is one entry.
type VM struct {
	Name    string         `json:"name"`
	Domain  string         `json:"domain"`  // failure domain
	Data    netip.AddrPort `json:"data"`    // UDP, datagrams between VMs
	Control netip.AddrPort `json:"control"` // TCP, control links
	Leaving bool           `json:"leaving"`
}

// Document is the JSON form of the list.
type Document struct {
	VMs []VM `json:"vms"`
}

// List holds the list and as much of its history as it lags. It is pure and not
// safe for concurrent use.
type List struct {
	lag     time.Duration
	history []version
}

type version struct {
	at  time.Duration
	doc Document
}

// New returns a list that is visible from the start.
func New(vms []VM) *List {
	return &List{history: []version{{doc: Document{VMs: append([]VM{}, vms...)}}}}
}

// SetLag sets the age of what Get returns.
func (l *List) SetLag(lag time.Duration) {
	l.lag = max(lag, 0)
}

// Set replaces the list. It returns ErrInvalid for an unnamed or repeated VM.
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

// Get returns the list as it was a lag before now.
func (l *List) Get(now time.Duration) Document {
	l.prune(now)
	return l.history[0].doc
}

// prune drops versions that can't be returned any more.
func (l *List) prune(now time.Duration) {
	for len(l.history) > 1 && l.history[1].at <= now-l.lag {
		l.history = l.history[1:]
	}
}
