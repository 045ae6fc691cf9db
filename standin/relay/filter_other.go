//go:build !linux

package relay

import (
	"errors"
	"net/netip"
	"syscall"
)

// filter says whether segments are lost.
type filter bool

func dropAll() filter { return true }

func dropSources(sources []netip.Addr) filter { return len(sources) > 0 }

// setFilter fails for a filter that loses segments: only Linux filters sockets.
func setFilter(_ syscall.Conn, program filter) error {
	if program {
		return errors.ErrUnsupported
	}
	return nil
}
