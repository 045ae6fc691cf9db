// Package flow holds the vocabulary of opaque flows: what the decisions read of
// a packet's header. How headers are encoded is not known here.
package flow

import (
	"fmt"
	"net/netip"
)

// Endpoint is an IPv4 address with a port.
type Endpoint struct {
	IP   [4]byte
	Port uint16
}

// EndpointOf returns the endpoint of an IPv4 address and port. ok is false for
// another kind of address.
func EndpointOf(addr netip.AddrPort) (e Endpoint, ok bool) {
	ip := addr.Addr().Unmap()
	if !ip.Is4() {
		return Endpoint{}, false
	}
	return Endpoint{IP: ip.As4(), Port: addr.Port()}, true
}

// AddrPort returns the endpoint in the form of the standard library.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port)
}

// String returns "ip:port".
func (e Endpoint) String() string {
	return e.AddrPort().String()
}

// Key identifies a flow: the four-tuple.
type Key struct {
	Caller  Endpoint
	Address Endpoint // the address that the caller opened the flow to
}

// String returns "caller>address".
func (k Key) String() string {
	return fmt.Sprintf("%s>%s", k.Caller, k.Address)
}

// Hash returns a hash of the four-tuple that is the same on every VM (FNV-1a, 64
// bits; G. Fowler, L. Noll, K. Vo, 1991).
func (k Key) Hash() uint64 {
	const (
		offset = 14695981039346656037
		prime  = 1099511628211
	)
	h := uint64(offset)
	add := func(b byte) { h = (h ^ uint64(b)) * prime }
	for _, e := range [2]Endpoint{k.Caller, k.Address} {
		for _, b := range e.IP {
			add(b)
		}
		add(byte(e.Port >> 8))
		add(byte(e.Port))
	}
	return h
}

// Flags are the flags of a packet.
type Flags uint8

// The flags.
const (
	SYN Flags = 1 << iota // opens a flow
	ACK
	FIN
	RST
)

// Has reports whether all flags of other are set.
func (f Flags) Has(other Flags) bool { return f&other == other }

// Cookie is the value that both ends of a flow return in their packets. It names
// the target of the flow; 0 names none.
type Cookie uint32

// Packet is the header of one packet from a caller.
type Packet struct {
	Flow   Key
	Flags  Flags
	Cookie Cookie
	Seq    uint32 // number of the first byte
	Ack    uint32 // next byte that the caller expects; of a SYN, the number of copies before it
	Len    int    // bytes of data
}
