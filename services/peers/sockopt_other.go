//go:build !linux

package peers

import "syscall"

// setUserTimeout does nothing: only Linux has TCP_USER_TIMEOUT.
func setUserTimeout(_, _ string, _ syscall.RawConn) error {
	return nil
}
