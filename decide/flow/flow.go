// Package flow defines the types of flows and packet headers that the decisions use. It
// does not define how headers are encoded.
package flow

import (
	"fmt"
	"net/netip"
	"time"
)

// Endpoint is an IPv4 address with a port.
type Endpoint struct {
	IP   [4]byte
	Port uint16
}

// EndpointOf converts an IPv4 or IPv4-mapped address and port. ok is false for any other
// address.
func EndpointOf(addr netip.AddrPort) (e Endpoint, ok bool) {
	ip := addr.Addr().Unmap()
	if !ip.Is4() {
		return Endpoint{}, false
	}
	return Endpoint{IP: ip.As4(), Port: addr.Port()}, true
}

// AddrPort converts e to a netip.AddrPort.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port)
}

// String returns "ip:port".
func (e Endpoint) String() string {
	return e.AddrPort().String()
}

// Key identifies a flow by its four-tuple.
type Key struct {
	Caller  Endpoint
	Address Endpoint // destination, the address of a route
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

// Flags are the control flags of a packet.
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

// Cookie identifies the target of a flow; 0 means none. Both ends of the flow copy it
// into every packet.
type Cookie uint32

// Packet is the decoded header of one packet from a caller.
type Packet struct {
	Flow   Key
	Flags  Flags
	Cookie Cookie
	Seq    uint32 // sequence number of the first data byte
	Ack    uint32 // next byte that the caller expects; of a SYN, how often it was sent before
	Len    int    // bytes of data
	// Age is how long the packet has waited at this VM, as far as that is known: in the socket's
	// buffer, or in a ring while the VM was paused.
	Age time.Duration
}
