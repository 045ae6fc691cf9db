package table

import (
	"encoding/binary"
	"net/netip"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// packed is a service in compact form. A row takes about 30 bytes; a Target takes 120.
type packed struct {
	name    string
	address string
	kinds   []Kind
	shards  []string // for each shard the number of rows and the rows, sorted by name
	pool    *pool
}

// pool interns the failure domains and kinds that many rows and services share. It does
// not remove those that are no longer used.
type pool struct {
	domains  []domain
	byDomain map[string]uint64 // index in domains by name
	kinds    map[string][]Kind // keyed by the encoded kinds
}

type domain struct {
	name string
	id   message.DomainID
}

func newPool() *pool {
	return &pool{byDomain: make(map[string]uint64), kinds: make(map[string][]Kind)}
}

// domain returns the index of a failure domain in domains. It adds an unknown one.
func (p *pool) domain(name string) uint64 {
	if n, ok := p.byDomain[name]; ok {
		return n
	}
	n := uint64(len(p.domains))
	p.domains = append(p.domains, domain{name: name, id: message.DomainIDOf(name)})
	p.byDomain[name] = n
	return n
}

// intern returns the slice that all lists equal to kinds share.
func (p *pool) intern(kinds []Kind) []Kind {
	var key []byte
	for _, k := range kinds {
		key = append(key, k.Name...)
		key = append(key, '/', byte(k.Urgency))
		key = binary.BigEndian.AppendUint32(key, k.Share)
	}
	if shared, ok := p.kinds[string(key)]; ok {
		return shared
	}
	p.kinds[string(key)] = kinds
	return kinds
}

// Encodings of the health address of a row.
const (
	healthNone     = iota // no health address
	healthSameHost        // port only; the IP address is that of Target.Addr
	healthOther           // IP address and port
)

// pack returns the compact form of rows.
func (p *pool) pack(rows []Target) string {
	out := binary.AppendUvarint(nil, uint64(len(rows)))
	for i := range rows {
		t := &rows[i]
		out = append(out, byte(len(t.Name)))
		out = append(out, t.Name...)
		out = binary.AppendUvarint(out, p.domain(t.Domain))
		out = appendAddr(out, t.Addr)
		out = appendHealth(out, t)
		out = binary.AppendUvarint(out, uint64(t.Weight))
		out = binary.AppendUvarint(out, uint64(t.Limit))
		out = append(out, byte(t.State))
	}
	return string(out)
}

func appendAddr(out []byte, addr netip.AddrPort) []byte {
	ip := addr.Addr().AsSlice()
	out = append(out, byte(len(ip)))
	out = append(out, ip...)
	return binary.BigEndian.AppendUint16(out, addr.Port())
}

func appendHealth(out []byte, t *Target) []byte {
	switch {
	case !t.Health.IsValid():
		return append(out, healthNone)
	case t.Health.Addr() == t.Addr.Addr():
		out = append(out, healthSameHost)
		return binary.BigEndian.AppendUint16(out, t.Health.Port())
	default:
		return appendAddr(append(out, healthOther), t.Health)
	}
}

// reader decodes packed rows. The strings it returns share the memory of the packed form.
// It does not check its input, which must come from pack.
type reader struct {
	rest string
}

func (r *reader) byte() byte {
	b := r.rest[0]
	r.rest = r.rest[1:]
	return b
}

func (r *reader) text(n int) string {
	s := r.rest[:n]
	r.rest = r.rest[n:]
	return s
}

// uvarint decodes a number that binary.AppendUvarint has encoded.
func (r *reader) uvarint() uint64 {
	var value uint64
	for shift := 0; ; shift += 7 {
		b := r.byte()
		value |= uint64(b&0x7f) << shift
		if b < 0x80 {
			return value
		}
	}
}

func (r *reader) port() uint16 {
	high := r.byte()
	return uint16(high)<<8 | uint16(r.byte())
}

func (r *reader) addr() netip.AddrPort {
	var ip netip.Addr
	if n := int(r.byte()); n == 4 {
		ip = netip.AddrFrom4([4]byte([]byte(r.text(n))))
	} else {
		ip = netip.AddrFrom16([16]byte([]byte(r.text(n))))
	}
	return netip.AddrPortFrom(ip, r.port())
}

func (r *reader) health(addr netip.AddrPort) netip.AddrPort {
	switch r.byte() {
	case healthNone:
		return netip.AddrPort{}
	case healthSameHost:
		return netip.AddrPortFrom(addr.Addr(), r.port())
	default:
		return r.addr()
	}
}

func (r *reader) target(service string, p *pool) Target {
	var t Target
	t.Name = r.text(int(r.byte()))
	t.ID = message.TargetIDOf(service, t.Name)
	d := p.domains[r.uvarint()]
	t.Domain, t.DomainID = d.name, d.id
	t.Addr = r.addr()
	t.Health = r.health(t.Addr)
	t.Weight = uint32(r.uvarint())
	t.Limit = uint32(r.uvarint())
	t.State = State(r.byte())
	return t
}

// unpack returns the rows of all shards in the order of the shards.
func (p *pool) unpack(service string, shards ...string) []Target {
	readers := make([]reader, len(shards))
	total := 0
	for i := range shards {
		readers[i].rest = shards[i]
		total += int(readers[i].uvarint())
	}
	targets := make([]Target, 0, total)
	for i := range readers {
		for readers[i].rest != "" {
			targets = append(targets, readers[i].target(service, p))
		}
	}
	return targets
}

// expand returns the service with its targets sorted by name.
func (p *packed) expand() *Service {
	s := &Service{ID: message.ServiceIDOf(p.name), Name: p.name, Address: p.address, Kinds: p.kinds}
	s.Targets = p.pool.unpack(p.name, p.shards...)
	if len(p.shards) > 1 {
		sortTargets(s.Targets)
	}
	return s
}
