package peers

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is the longest time that sent bytes may stay unacknowledged before the
// connection fails. Without it a link would resume after a partition of 60 s only with
// the next TCP retransmission, up to a minute after the partition healed.
const userTimeout = 3 * time.Second

// setUserTimeout sets TCP_USER_TIMEOUT (RFC 5482) on a new socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
