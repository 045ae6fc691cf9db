package main

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	flagSYN     = 2
	flagRST     = 4
	flagACK     = 8
	flagBounced = 64
	flagFIN     = 128
)

const (
	headerSize = 32
	prefixSize = 8 // the number of the backend, before each packet to one
	maxData    = 1200
)

// packet is one packet of a consumer, a backend or the system.
type packet struct {
	echo     uint32
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	data     []byte
	reset    bool // a reset of the system's own: RST with sum 0 and no data
}

var (
	errMalformed = errors.New("malformed packet")
	errChanged   = errors.New("packet was changed on its way")
)

// sum is the keyed sum over all fields but echo, pad and BOUNCED.
func (p *packet) sum() uint32 {
	const key = "review-3"
	b := p.header(0)
	copy(b[0:4], []byte{0, 0, 0, 0})
	b[18] &^= flagBounced
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write(b)
	_, _ = h.Write(p.data)
	return h.Sum32() | 1
}

func (p *packet) header(sum uint32) []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	binary.BigEndian.PutUint32(b, p.echo)
	copy(b[4:], src[:])
	copy(b[8:], dst[:])
	binary.BigEndian.PutUint16(b[12:], p.dst.Port())
	binary.BigEndian.PutUint16(b[14:], p.src.Port())
	binary.BigEndian.PutUint16(b[16:], uint16(len(p.data)))
	b[18] = p.flags
	binary.BigEndian.PutUint32(b[20:], sum)
	binary.BigEndian.PutUint32(b[24:], p.seq)
	binary.BigEndian.PutUint32(b[28:], p.ack)
	return b
}

func (p *packet) encode() []byte { return append(p.header(p.sum()), p.data...) }

func decode(b []byte) (packet, error) {
	if len(b) < headerSize || len(b) != headerSize+int(binary.BigEndian.Uint16(b[16:])) {
		return packet{}, errMalformed
	}
	p := packet{
		echo:  binary.BigEndian.Uint32(b),
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[14:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[8:12])), binary.BigEndian.Uint16(b[12:])),
		flags: b[18],
		seq:   binary.BigEndian.Uint32(b[24:]),
		ack:   binary.BigEndian.Uint32(b[28:]),
		data:  append([]byte{}, b[headerSize:]...),
	}
	sum := binary.BigEndian.Uint32(b[20:])
	p.reset = p.flags == flagRST && sum == 0 && len(p.data) == 0
	if !p.reset && sum != p.sum() {
		return p, errChanged
	}
	return p, nil
}
