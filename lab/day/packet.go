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
	// prefixSize is the number of bytes before a packet to a target: its number.
	prefixSize = 8
	// headerSize is the size of a packet of the emulator, whose data has no bytes.
	headerSize = 28
	// vmPort is the port of packets at VMs and at callers, which is how a VM addresses
	// its resets. beatsPort and pullsPort are those of the other VMs.
	vmPort    = 7000
	beatsPort = 7001
	pullsPort = 7002
	// targetPort is the port of targets.
	targetPort = 8000
)

// errPacket means that bytes are no packet of the emulator.
var errPacket = errors.New("no packet of the emulator")

// encode returns the datagram of a packet.
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

// codec is the emulator's form of datagrams; see packets.Codec.
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

// vmIP, targetIP and callerIP return addresses of the emulated network.
func vmIP(domain, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(domain), byte(i >> 8), byte(i)})
}

func targetIP(i int) netip.Addr { return netip.AddrFrom4([4]byte{11, 0, byte(i >> 8), byte(i)}) }

func callerIP(domain, i int) [4]byte { return [4]byte{100, byte(64 + domain), byte(i >> 8), byte(i)} }

// domainOfCaller returns the index of the failure domain of a caller's address.
func domainOfCaller(ip [4]byte) int { return int(ip[1]) - 64 }
