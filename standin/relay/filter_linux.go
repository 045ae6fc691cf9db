package relay

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// bpfProgram is a classic BPF program (McCanne and Jacobson, "The BSD Packet Filter", 1993)
// that filters the segments arriving at a socket; nil accepts all.
type bpfProgram []unix.SockFilter

const (
	// networkHeaderOffset is the offset at which a program reads the network header,
	// SKF_NET_OFF in linux/filter.h.
	networkHeaderOffset = -0x100000
	// ipv4SourceOffset is the offset of the source address in the IPv4 header.
	ipv4SourceOffset = networkHeaderOffset + 12
	acceptAll        = 0xffffffff // return value: the number of bytes of a segment to accept
)

// dropAllProgram returns a program that drops every segment.
func dropAllProgram() bpfProgram {
	return bpfProgram{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
}

// dropSourcesProgram returns a program that drops the segments from the given IPv4 addresses,
// of which there may be at most 255 because jump offsets have 8 bits.
func dropSourcesProgram(sources []netip.Addr) bpfProgram {
	if len(sources) == 0 {
		return nil
	}
	offset := int32(ipv4SourceOffset)
	program := bpfProgram{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: uint32(offset)}}
	for i, source := range sources {
		address := source.As4()
		// A match skips the remaining comparisons and the return that accepts.
		program = append(program, unix.SockFilter{
			Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: uint8(len(sources) - i), K: binary.BigEndian.Uint32(address[:]),
		})
	}
	return append(program, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: acceptAll}, dropAllProgram()[0])
}

// setFilter replaces the filter of a socket; an empty program removes it.
func setFilter(socket syscall.Conn, program bpfProgram) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return fmt.Errorf("set socket filter: %w", err)
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		if len(program) == 0 {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			if errors.Is(failed, unix.ENOENT) {
				failed = nil // no filter was attached
			}
			return
		}
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	if err := errors.Join(err, failed); err != nil {
		return fmt.Errorf("set socket filter: %w", err)
	}
	return nil
}
