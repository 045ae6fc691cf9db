package relay

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// filter is a classic BPF program (McCanne and Jacobson 1993) that runs on each
// segment that arrives at a socket; nil lets all pass.
type filter []unix.SockFilter

const (
	// networkHeader is the offset at which a filter reads the network header,
	// SKF_NET_OFF in linux/filter.h.
	networkHeader = -0x100000
	// ipv4Source is the offset of the source address in the IPv4 header.
	ipv4Source = networkHeader + 12
	passAll    = 0xffffffff // bytes of a segment that are kept
)

// dropAll loses every segment.
func dropAll() filter {
	return filter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
}

// dropSources loses the segments of the given IPv4 addresses, at most 255.
func dropSources(sources []netip.Addr) filter {
	if len(sources) == 0 {
		return nil
	}
	offset := int32(ipv4Source)
	program := filter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: uint32(offset)}}
	for i, source := range sources {
		address := source.As4()
		// A match jumps over the other comparisons and over the first return.
		program = append(program, unix.SockFilter{
			Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: uint8(len(sources) - i), K: binary.BigEndian.Uint32(address[:]),
		})
	}
	return append(program, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: passAll}, dropAll()[0])
}

// setFilter replaces the filter of a socket.
func setFilter(socket syscall.Conn, program filter) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return fmt.Errorf("filter: %w", err)
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		if len(program) == 0 {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			if errors.Is(failed, unix.ENOENT) {
				failed = nil // there was none
			}
			return
		}
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	if err := errors.Join(err, failed); err != nil {
		return fmt.Errorf("filter: %w", err)
	}
	return nil
}
