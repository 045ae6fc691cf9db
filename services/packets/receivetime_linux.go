package packets

import (
	"encoding/binary"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// timestampSize is the size in bytes of the control message with the receive time: a cmsghdr and a
// timespec of 16 bytes each.
const timestampSize = 32

// enableReceiveTimes has the operating system report when it received each datagram
// (SO_TIMESTAMPNS, socket(7)).
func enableReceiveTimes(conn *net.UDPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	if err != nil {
		return err
	}
	return optionErr
}

// receiveTimeOf returns the receive time in a datagram's control messages, or the zero time. The
// layout is that of 64-bit systems.
func receiveTimeOf(control []byte) time.Time {
	const headerSize = syscall.SizeofCmsghdr
	if len(control) < timestampSize || headerSize != timestampSize/2 {
		return time.Time{}
	}
	level := binary.NativeEndian.Uint32(control[8:])
	kind := binary.NativeEndian.Uint32(control[12:])
	if level != unix.SOL_SOCKET || kind != unix.SCM_TIMESTAMPNS {
		return time.Time{}
	}
	seconds := binary.NativeEndian.Uint64(control[headerSize:])
	nanoseconds := binary.NativeEndian.Uint64(control[headerSize+8:])
	return time.Unix(int64(seconds), int64(nanoseconds))
}
