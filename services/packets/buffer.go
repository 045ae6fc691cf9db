package packets

import (
	"net"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/datagramage"
	"github.com/gypsumspan/gypsumspan/kernel"
)

// buffer holds one datagram, after Config.Headroom free bytes.
type buffer struct {
	bytes   []byte
	n       int // size of the datagram, without the headroom
	arrival datagramage.Arrival
}

// datagramReader reads datagrams from a socket and records when they arrived.
type datagramReader struct {
	kernel  *kernel.Kernel
	socket  Socket
	udp     *net.UDPConn // nil if socket is not one of the system
	control [timestampSize]byte
	emptyAt time.Duration // last time at which the socket is known to have been empty
}

func newDatagramReader(k *kernel.Kernel, s Socket) datagramReader {
	udp, _ := s.(*net.UDPConn)
	return datagramReader{kernel: k, socket: s, udp: udp}
}

// read reads a datagram into b and returns its size.
func (r *datagramReader) read(b []byte) (n int, a datagramage.Arrival, err error) {
	startedAt := r.kernel.Now()
	controlSize := 0
	if r.udp != nil {
		n, controlSize, _, _, err = r.udp.ReadMsgUDPAddrPort(b, r.control[:])
	} else {
		n, _, err = r.socket.ReadFromUDPAddrPort(b)
	}
	if err != nil {
		return n, datagramage.Arrival{}, err
	}
	a.ReadAt = r.kernel.Now()
	if a.ReadAt-startedAt >= datagramage.BlockedRead {
		r.emptyAt = startedAt
	}
	a.EmptyAt, a.ReceivedAt = r.emptyAt, receiveTimeOf(r.control[:controlSize])
	return n, a, nil
}
