package relaywire

import (
	"encoding/binary"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/halfopen"
	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/wire/relaypb"
)

// addFlows adds the unopened and opened flows of a heartbeat to its message.
func addFlows(m *relaypb.Beat, h relay.Heartbeat) {
	for _, u := range h.Unopened {
		m.Unopened = append(m.Unopened, &relaypb.UnopenedFlow{
			CallerIp: ipToPB(u.Flow.Caller), CallerPort: uint32(u.Flow.Caller.Port),
			AddressIp: ipToPB(u.Flow.Address), AddressPort: uint32(u.Flow.Address.Port),
			Target: u.TargetCookie, TargetBorn: u.TargetBorn, SynSeq: u.SYNSeq, Copy: u.Copy, AgeMs: roundUpMillis(u.Age),
		})
	}
	for _, o := range h.Opened {
		m.Opened = append(m.Opened, &relaypb.OpenedFlow{
			CallerIp: ipToPB(o.Flow.Caller), CallerPort: uint32(o.Flow.Caller.Port),
			AddressIp: ipToPB(o.Flow.Address), AddressPort: uint32(o.Flow.Address.Port),
			Target: o.TargetCookie, SynSeq: o.SYNSeq, AgeMs: roundUpMillis(o.Age),
		})
	}
}

func flowsFromPB(m *relaypb.Beat) (unopened []halfopen.Unopened, opened []halfopen.Opened) {
	for _, u := range m.GetUnopened() {
		unopened = append(unopened, halfopen.Unopened{
			Flow: keyFromPB(u), TargetCookie: u.GetTarget(), TargetBorn: u.GetTargetBorn(), SYNSeq: u.GetSynSeq(), Copy: u.GetCopy(),
			Age: time.Duration(u.GetAgeMs()) * time.Millisecond,
		})
	}
	for _, o := range m.GetOpened() {
		opened = append(opened, halfopen.Opened{
			Flow: keyFromPB(o), TargetCookie: o.GetTarget(), SYNSeq: o.GetSynSeq(), Age: time.Duration(o.GetAgeMs()) * time.Millisecond,
		})
	}
	return unopened, opened
}

// flowMessage is a message that names a flow.
type flowMessage interface {
	GetCallerIp() uint32
	GetCallerPort() uint32
	GetAddressIp() uint32
	GetAddressPort() uint32
}

func keyFromPB(m flowMessage) flow.Key {
	return flow.Key{
		Caller:  endpointFromPB(m.GetCallerIp(), m.GetCallerPort()),
		Address: endpointFromPB(m.GetAddressIp(), m.GetAddressPort()),
	}
}

// ipToPB returns the IPv4 address of an endpoint as a number.
func ipToPB(e flow.Endpoint) uint32 { return binary.BigEndian.Uint32(e.IP[:]) }

func endpointFromPB(ip, port uint32) flow.Endpoint {
	e := flow.Endpoint{Port: uint16(port)}
	binary.BigEndian.PutUint32(e.IP[:], ip)
	return e
}
