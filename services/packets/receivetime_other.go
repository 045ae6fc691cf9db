//go:build !linux

package packets

import (
	"net"
	"time"
)

const timestampSize = 0

// enableReceiveTimes does nothing: the age of datagrams is known from when they were read.
func enableReceiveTimes(*net.UDPConn) error { return nil }

func receiveTimeOf([]byte) time.Time { return time.Time{} }
