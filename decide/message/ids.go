package message

import (
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// FlowID identifies a flow. The caller library chooses it at random.
type FlowID struct {
	Hi, Lo uint64
}

// String returns the id as 32 hexadecimal digits.
func (f FlowID) String() string {
	return fmt.Sprintf("%016x%016x", f.Hi, f.Lo)
}

// RequestID identifies a request within its flow. Ids are increasing and start at 1.
type RequestID uint64

// RequestKey identifies a request globally.
type RequestKey struct {
	Flow FlowID
	ID   RequestID
}

// VMID is the hash of a VM's name.
type VMID uint64

// ServiceID is the hash of a service's name.
type ServiceID uint64

// TargetID is the hash of a service's name and a target's name.
type TargetID uint64

// KindID is the index of a kind of request among those of its service, in table order.
type KindID uint8

// DomainID is the hash of a failure domain's name.
type DomainID uint32

// Epoch identifies one period of ownership of one target. It is random and never 0;
// 0 means that no epoch is known.
type Epoch uint64

// VMIDOf returns the id of the VM called name.
func VMIDOf(name string) VMID {
	return VMID(xxhash.Sum64String(name))
}

// ServiceIDOf returns the id of the service called name.
func ServiceIDOf(name string) ServiceID {
	return ServiceID(xxhash.Sum64String(name))
}

// TargetIDOf returns the id of a target of a service. The hash includes the service, so
// that targets with the same name in two services have different ids.
func TargetIDOf(service, target string) TargetID {
	return TargetID(xxhash.Sum64String(service + "/" + target))
}

// DomainIDOf returns the id of the failure domain called name.
func DomainIDOf(name string) DomainID {
	return DomainID(xxhash.Sum64String(name))
}

// Binding is the target of a flow and the epoch of the target's ownership. The caller
// library sends it in every datagram; the epoch is the fencing token of non-idempotent
// requests.
type Binding struct {
	Target TargetID
	Epoch  Epoch
}

// IsZero reports whether the binding has no target.
func (b Binding) IsZero() bool {
	return b.Target == 0
}

// PeerKind is the kind of the sender or receiver of a message.
type PeerKind uint8

// The kinds of peers.
const (
	PeerNone PeerKind = iota
	PeerCaller
	PeerVM
	PeerTarget
	PeerPlatform
)

// Address identifies the sender or receiver of a message.
type Address struct {
	Kind   PeerKind
	VM     VMID           // PeerVM
	Target TargetID       // PeerTarget
	Addr   netip.AddrPort // UDP address; of a VM: data or control address, depending on the body
}

// CallerAddress returns the address of a caller.
func CallerAddress(addr netip.AddrPort) Address {
	return Address{Kind: PeerCaller, Addr: addr}
}

// VMAddress returns the address of a VM for datagrams (addr is its data address)
// or control messages (addr is its control address).
func VMAddress(id VMID, addr netip.AddrPort) Address {
	return Address{Kind: PeerVM, VM: id, Addr: addr}
}

// TargetAddress returns the address of a target.
func TargetAddress(id TargetID, addr netip.AddrPort) Address {
	return Address{Kind: PeerTarget, Target: id, Addr: addr}
}
