package day

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/gypsumspan/gypsumspan/decide/flow"
)

const (
	// maxData is the largest number of bytes of data in one packet.
	maxData = 1200
	// prefixSize is the size of the encapsulation of a packet to a target: the target's
	// number.
	prefixSize = 8
	// headerSize is the size of an encoded packet. Only the length of its data is encoded.
	headerSize = 28
	// vmPort is the port for packets of VMs and of callers; a datagram of a VM to this
	// port is a reset for a caller. heartbeatPort and pullPort are for other VMs.
	vmPort        = 7000
	heartbeatPort = 7001
	pullPort      = 7002
	// targetPort is the port of targets.
	targetPort = 8000
)

// errPacket means that a datagram is not an encoded packet of the emulator.
var errPacket = errors.New("not a packet of the emulator")

// encode encodes a packet as a datagram.
func encode(p flow.Packet) []byte {
	b := make([]byte, headerSize)
	binary.BigEndian.PutUint32(b, uint32(p.Cookie))
	copy(b[4:], p.Flow.Caller.IP[:])
	copy(b[8:], p.Flow.Address.IP[:])
	binary.BigEndian.PutUint16(b[12:], p.Flow.Caller.Port)
	binary.BigEndian.PutUint16(b[14:], p.Flow.Address.Port)
	binary.BigEndian.PutUint16(b[16:], uint16(p.Len))
	b[18] = byte(p.Flags)
	binary.BigEndian.PutUint32(b[20:], p.Seq)
	binary.BigEndian.PutUint32(b[24:], p.Ack)
	return b
}

// codec is the packets.Codec for the emulator's datagrams.
type codec struct{}

// Decode implements packets.Codec.
func (codec) Decode(b []byte) (flow.Packet, error) {
	if len(b) != headerSize {
		return flow.Packet{}, errPacket
	}
	p := flow.Packet{
		Cookie: flow.Cookie(binary.BigEndian.Uint32(b)),
		Len:    int(binary.BigEndian.Uint16(b[16:])),
		Flags:  flow.Flags(b[18]),
		Seq:    binary.BigEndian.Uint32(b[20:]),
		Ack:    binary.BigEndian.Uint32(b[24:]),
	}
	copy(p.Flow.Caller.IP[:], b[4:])
	copy(p.Flow.Address.IP[:], b[8:])
	p.Flow.Caller.Port = binary.BigEndian.Uint16(b[12:])
	p.Flow.Address.Port = binary.BigEndian.Uint16(b[14:])
	return p, nil
}

// Encapsulate implements packets.Codec.
func (codec) Encapsulate(buf []byte, target uint64, cookie flow.Cookie) {
	binary.BigEndian.PutUint64(buf, target)
	binary.BigEndian.PutUint32(buf[prefixSize:], uint32(cookie))
}

// AppendReset implements packets.Codec.
func (codec) AppendReset(dst []byte, p flow.Packet) []byte {
	return append(dst, encode(flow.Packet{Flow: p.Flow, Flags: flow.RST, Seq: p.Ack})...)
}

// vmIP, targetIP and callerIP return the address with index i in the emulated network.
func vmIP(domain, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(domain), byte(i >> 8), byte(i)})
}

func targetIP(i int) netip.Addr { return netip.AddrFrom4([4]byte{11, 0, byte(i >> 8), byte(i)}) }

func callerIP(domain, i int) [4]byte { return [4]byte{100, byte(64 + domain), byte(i >> 8), byte(i)} }

// domainOfCaller returns the index of the failure domain that callerIP encoded.
func domainOfCaller(ip [4]byte) int { return int(ip[1]) - 64 }
