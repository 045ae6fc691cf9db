package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Sizes and bits of packets, as PROTOCOL.md states them.
const (
	headSize = 32
	maxData  = 1200

	flagSYN = 2
	flagRST = 4
	flagACK = 8
	flagFIN = 128
)

// packet is one packet of a flow.
type packet struct {
	echo     uint32
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	data     []byte
	sum      uint32 // as received
}

// keyedSum is the sum over all fields but echo.
func (p packet) keyedSum() uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("key of the two ends"))
	q := p
	q.echo, q.sum = 0, 0
	_, _ = h.Write(q.head())
	_, _ = h.Write(p.data)
	return h.Sum32() | 1
}

func (p packet) head() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	binary.BigEndian.PutUint32(b, p.echo)
	copy(b[4:], src[:])
	copy(b[8:], dst[:])
	binary.BigEndian.PutUint16(b[12:], p.dst.Port())
	binary.BigEndian.PutUint16(b[14:], p.src.Port())
	binary.BigEndian.PutUint16(b[16:], uint16(len(p.data)))
	b[18] = p.flags
	binary.BigEndian.PutUint32(b[20:], p.sum)
	binary.BigEndian.PutUint32(b[24:], p.seq)
	binary.BigEndian.PutUint32(b[28:], p.ack)
	return b
}

// encode returns the packet with its sum.
func (p packet) encode() []byte {
	p.sum = p.keyedSum()
	return append(p.head(), p.data...)
}

// decode decodes a packet. ok is false if its length is wrong or its sum is neither right
// nor that of a reset of the system's own.
func decode(b []byte) (p packet, ok bool) {
	if len(b) < headSize || len(b) != headSize+int(binary.BigEndian.Uint16(b[16:])) || len(b) > headSize+maxData {
		return packet{}, false
	}
	p = packet{
		echo:  binary.BigEndian.Uint32(b),
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[14:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[8:12])), binary.BigEndian.Uint16(b[12:])),
		flags: b[18],
		sum:   binary.BigEndian.Uint32(b[20:]),
		seq:   binary.BigEndian.Uint32(b[24:]),
		ack:   binary.BigEndian.Uint32(b[28:]),
		data:  append([]byte(nil), b[headSize:]...),
	}
	return p, p.systemReset() || p.sum == p.keyedSum()
}

// systemReset reports whether p is a reset that the system made.
func (p packet) systemReset() bool { return p.flags == flagRST && p.sum == 0 }
