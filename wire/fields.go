package wire

import (
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/wire/wirepb"
)

func toMicros(d time.Duration) int64 {
	return d.Microseconds()
}

func fromMicros(us int64) time.Duration {
	return time.Duration(us) * time.Microsecond
}

func flowToPB(f message.FlowID) *wirepb.Flow {
	return &wirepb.Flow{Hi: f.Hi, Lo: f.Lo}
}

func flowFromPB(f *wirepb.Flow) message.FlowID {
	return message.FlowID{Hi: f.GetHi(), Lo: f.GetLo()}
}

// bindingToPB returns nil for the zero binding, so that datagrams stay small.
func bindingToPB(b message.Binding) *wirepb.Binding {
	if b == (message.Binding{}) {
		return nil
	}
	return &wirepb.Binding{Target: uint64(b.Target), Epoch: uint64(b.Epoch)}
}

func bindingFromPB(b *wirepb.Binding) message.Binding {
	return message.Binding{Target: message.TargetID(b.GetTarget()), Epoch: message.Epoch(b.GetEpoch())}
}

func endpointToPB(a netip.AddrPort) *wirepb.Endpoint {
	if !a.IsValid() {
		return nil
	}
	return &wirepb.Endpoint{Ip: a.Addr().Unmap().AsSlice(), Port: uint32(a.Port())}
}

// endpointFromPB returns the zero AddrPort if the endpoint is not a valid IP address and
// port.
func endpointFromPB(e *wirepb.Endpoint) netip.AddrPort {
	addr, ok := netip.AddrFromSlice(e.GetIp())
	if !ok || e.GetPort() > 65535 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(addr, uint16(e.GetPort()))
}
