//go:build !linux

package relay

import (
	"errors"
	"net/netip"
	"syscall"
)

// bpfProgram is true if it would drop any segment.
type bpfProgram bool

func dropAllProgram() bpfProgram { return true }

func dropSourcesProgram(sources []netip.Addr) bpfProgram { return len(sources) > 0 }

// setFilter returns errors.ErrUnsupported for a program that drops segments: only Linux
// supports socket filters.
func setFilter(_ syscall.Conn, program bpfProgram) error {
	if program {
		return errors.ErrUnsupported
	}
	return nil
}
