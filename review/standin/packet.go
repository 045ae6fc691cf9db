package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
)

// Sizes in bytes, and the bits of the flags.
const (
	headerSize = 32
	prefixSize = 8
	bufferSize = 2048

	flagSYN = 2
	flagRST = 4
	flagACK = 8
	flagFIN = 128
)

var errPacket = errors.New("not a valid packet")

// packet is one packet of a consumer, a backend or the system.
type packet struct {
	echo     uint32
	src, dst netip.AddrPort
	flags    byte
	sum      uint32
	seq, ack uint32
	data     []byte
}

// keyedSum stands for the sum over all fields but echo, pad and BOUNCED, whose key only
// the two ends of a flow know.
func (p packet) keyedSum() uint32 {
	h := fnv.New32a()
	fmt.Fprint(h, "review", p.src, p.dst, p.flags, p.seq, p.ack, len(p.data))
	_, _ = h.Write(p.data)
	return max(h.Sum32(), 1)
}

// encode returns the packet as its sender writes it.
func (p packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	binary.BigEndian.PutUint32(b[0:], p.echo)
	copy(b[4:], src[:])
	copy(b[8:], dst[:])
	binary.BigEndian.PutUint16(b[12:], p.dst.Port())
	binary.BigEndian.PutUint16(b[14:], p.src.Port())
	binary.BigEndian.PutUint16(b[16:], uint16(len(p.data)))
	b[18] = p.flags
	binary.BigEndian.PutUint32(b[20:], p.keyedSum())
	binary.BigEndian.PutUint32(b[24:], p.seq)
	binary.BigEndian.PutUint32(b[28:], p.ack)
	return append(b, p.data...)
}

func decode(b []byte) (packet, error) {
	if len(b) < headerSize || len(b) != headerSize+int(binary.BigEndian.Uint16(b[16:])) {
		return packet{}, errPacket
	}
	return packet{
		echo:  binary.BigEndian.Uint32(b),
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[14:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[8:12])), binary.BigEndian.Uint16(b[12:])),
		flags: b[18],
		sum:   binary.BigEndian.Uint32(b[20:]),
		seq:   binary.BigEndian.Uint32(b[24:]),
		ack:   binary.BigEndian.Uint32(b[28:]),
		data:  append([]byte(nil), b[headerSize:]...),
	}, nil
}

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

// intact reports whether the packet is as its sender wrote it.
func (p packet) intact() bool { return p.sum == p.keyedSum() }

// ofSystem reports whether the packet is a reset of the system's own.
func (p packet) ofSystem() bool { return p.flags == flagRST && p.sum == 0 && len(p.data) == 0 }

// newer reports whether sequence number a is after b.
func newer(a, b uint32) bool { return int32(a-b) > 0 }
