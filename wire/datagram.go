package wire

import (
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/wire/wirepb"
)

// The functions with names in ToPB and FromPB convert between the types of decide/message
// and their protobuf messages.

func openToPB(m *message.Open) *wirepb.Open {
	return &wirepb.Open{
		Service: uint64(m.Service),
		Flow:    flowToPB(m.Flow),
		Refresh: m.Refresh,
		Binding: bindingToPB(m.Binding),
	}
}

func openFromPB(p *wirepb.Open) *message.Open {
	return &message.Open{
		Service: message.ServiceID(p.GetService()),
		Flow:    flowFromPB(p.GetFlow()),
		Refresh: p.GetRefresh(),
		Binding: bindingFromPB(p.GetBinding()),
	}
}

func boundToPB(m *message.Bound) *wirepb.Bound {
	return &wirepb.Bound{
		Flow:    flowToPB(m.Flow),
		Binding: bindingToPB(m.Binding),
	}
}

func boundFromPB(p *wirepb.Bound) *message.Bound {
	return &message.Bound{
		Flow:    flowFromPB(p.GetFlow()),
		Binding: bindingFromPB(p.GetBinding()),
	}
}

func requestToPB(m *message.Request) *wirepb.Request {
	return &wirepb.Request{
		Service:    uint64(m.Service),
		Flow:       flowToPB(m.Flow),
		Id:         uint64(m.ID),
		Kind:       uint32(m.Kind),
		Idempotent: m.Idempotent,
		Attempt:    m.Attempt,
		DeadlineUs: toMicros(m.Deadline),
		Part:       uint32(m.Part),
		Parts:      uint32(m.Parts),
		Binding:    bindingToPB(m.Binding),
		Payload:    m.Payload,
	}
}

func requestFromPB(p *wirepb.Request) *message.Request {
	return &message.Request{
		Service:    message.ServiceID(p.GetService()),
		Flow:       flowFromPB(p.GetFlow()),
		ID:         message.RequestID(p.GetId()),
		Kind:       message.KindID(p.GetKind()),
		Idempotent: p.GetIdempotent(),
		Attempt:    p.GetAttempt(),
		Deadline:   fromMicros(p.GetDeadlineUs()),
		Part:       uint16(p.GetPart()),
		Parts:      uint16(p.GetParts()),
		Binding:    bindingFromPB(p.GetBinding()),
		Payload:    p.GetPayload(),
	}
}

func answerToPB(m *message.Answer) *wirepb.Answer {
	return &wirepb.Answer{
		Flow:    flowToPB(m.Flow),
		Id:      uint64(m.ID),
		Attempt: m.Attempt,
		Part:    uint32(m.Part),
		Parts:   uint32(m.Parts),
		Binding: bindingToPB(m.Binding),
		Payload: m.Payload,
	}
}

func answerFromPB(p *wirepb.Answer) *message.Answer {
	return &message.Answer{
		Flow:    flowFromPB(p.GetFlow()),
		ID:      message.RequestID(p.GetId()),
		Attempt: p.GetAttempt(),
		Part:    uint16(p.GetPart()),
		Parts:   uint16(p.GetParts()),
		Binding: bindingFromPB(p.GetBinding()),
		Payload: p.GetPayload(),
	}
}

func refusalToPB(m *message.Refusal) *wirepb.Refusal {
	return &wirepb.Refusal{
		Flow:         flowToPB(m.Flow),
		Id:           uint64(m.ID),
		Attempt:      m.Attempt,
		Reason:       uint32(m.Reason),
		Cause:        uint32(m.Cause),
		RetryAfterUs: toMicros(m.RetryAfter),
		Binding:      bindingToPB(m.Binding),
	}
}

func refusalFromPB(p *wirepb.Refusal) *message.Refusal {
	return &message.Refusal{
		Flow:       flowFromPB(p.GetFlow()),
		ID:         message.RequestID(p.GetId()),
		Attempt:    p.GetAttempt(),
		Reason:     message.RefusalReason(p.GetReason()),
		Cause:      message.Cause(p.GetCause()),
		RetryAfter: fromMicros(p.GetRetryAfterUs()),
		Binding:    bindingFromPB(p.GetBinding()),
	}
}

func cancelToPB(m *message.Cancel) *wirepb.Cancel {
	return &wirepb.Cancel{
		Service: uint64(m.Service),
		Flow:    flowToPB(m.Flow),
		Id:      uint64(m.ID),
		Binding: bindingToPB(m.Binding),
	}
}

func cancelFromPB(p *wirepb.Cancel) *message.Cancel {
	return &message.Cancel{
		Service: message.ServiceID(p.GetService()),
		Flow:    flowFromPB(p.GetFlow()),
		ID:      message.RequestID(p.GetId()),
		Binding: bindingFromPB(p.GetBinding()),
	}
}

func closeToPB(m *message.Close) *wirepb.Close {
	return &wirepb.Close{
		Service: uint64(m.Service),
		Flow:    flowToPB(m.Flow),
		Binding: bindingToPB(m.Binding),
	}
}

func closeFromPB(p *wirepb.Close) *message.Close {
	return &message.Close{
		Service: message.ServiceID(p.GetService()),
		Flow:    flowFromPB(p.GetFlow()),
		Binding: bindingFromPB(p.GetBinding()),
	}
}

func kindClosedToPB(m *message.KindClosed) *wirepb.KindClosed {
	return &wirepb.KindClosed{
		Service:     uint64(m.Service),
		Target:      uint64(m.Target),
		Kind:        uint32(m.Kind),
		ClosedForUs: toMicros(m.ClosedFor),
	}
}

func kindClosedFromPB(p *wirepb.KindClosed) *message.KindClosed {
	return &message.KindClosed{
		Service:   message.ServiceID(p.GetService()),
		Target:    message.TargetID(p.GetTarget()),
		Kind:      message.KindID(p.GetKind()),
		ClosedFor: fromMicros(p.GetClosedForUs()),
	}
}

func dispatchToPB(m *message.Dispatch) *wirepb.Dispatch {
	return &wirepb.Dispatch{
		Service:    uint64(m.Service),
		Target:     uint64(m.Target),
		Flow:       flowToPB(m.Flow),
		Id:         uint64(m.ID),
		Attempt:    m.Attempt,
		Open:       m.Open,
		Kind:       uint32(m.Kind),
		DeadlineUs: toMicros(m.Deadline),
		Part:       uint32(m.Part),
		Parts:      uint32(m.Parts),
		Payload:    m.Payload,
	}
}

func dispatchFromPB(p *wirepb.Dispatch) *message.Dispatch {
	return &message.Dispatch{
		Service:  message.ServiceID(p.GetService()),
		Target:   message.TargetID(p.GetTarget()),
		Flow:     flowFromPB(p.GetFlow()),
		ID:       message.RequestID(p.GetId()),
		Attempt:  p.GetAttempt(),
		Open:     p.GetOpen(),
		Kind:     message.KindID(p.GetKind()),
		Deadline: fromMicros(p.GetDeadlineUs()),
		Part:     uint16(p.GetPart()),
		Parts:    uint16(p.GetParts()),
		Payload:  p.GetPayload(),
	}
}

func targetCancelToPB(m *message.TargetCancel) *wirepb.TargetCancel {
	return &wirepb.TargetCancel{
		Target: uint64(m.Target),
		Flow:   flowToPB(m.Flow),
		Id:     uint64(m.ID),
	}
}

func targetCancelFromPB(p *wirepb.TargetCancel) *message.TargetCancel {
	return &message.TargetCancel{
		Target: message.TargetID(p.GetTarget()),
		Flow:   flowFromPB(p.GetFlow()),
		ID:     message.RequestID(p.GetId()),
	}
}

func flowEndToPB(m *message.FlowEnd) *wirepb.FlowEnd {
	return &wirepb.FlowEnd{
		Target: uint64(m.Target),
		Flow:   flowToPB(m.Flow),
	}
}

func flowEndFromPB(p *wirepb.FlowEnd) *message.FlowEnd {
	return &message.FlowEnd{
		Target: message.TargetID(p.GetTarget()),
		Flow:   flowFromPB(p.GetFlow()),
	}
}

func shedToPB(m *message.Shed) *wirepb.Shed {
	return &wirepb.Shed{
		Target:  uint64(m.Target),
		Flow:    flowToPB(m.Flow),
		Id:      uint64(m.ID),
		Attempt: m.Attempt,
		Started: m.Started,
	}
}

func shedFromPB(p *wirepb.Shed) *message.Shed {
	return &message.Shed{
		Target:  message.TargetID(p.GetTarget()),
		Flow:    flowFromPB(p.GetFlow()),
		ID:      message.RequestID(p.GetId()),
		Attempt: p.GetAttempt(),
		Started: p.GetStarted(),
	}
}

func forwardToPB(m *message.Forward) *wirepb.Forward {
	p := &wirepb.Forward{
		Ingress:    uint64(m.Ingress),
		Caller:     endpointToPB(m.Caller),
		Hops:       uint32(m.Hops),
		Target:     uint64(m.Target),
		Hinted:     m.Hinted,
		RowUnknown: m.RowUnknown,
	}
	switch inner := m.Inner.(type) {
	case *message.Open:
		p.Inner = &wirepb.Forward_Open{Open: openToPB(inner)}
	case *message.Request:
		p.Inner = &wirepb.Forward_Request{Request: requestToPB(inner)}
	case *message.Cancel:
		p.Inner = &wirepb.Forward_Cancel{Cancel: cancelToPB(inner)}
	case *message.Close:
		p.Inner = &wirepb.Forward_Close{Close: closeToPB(inner)}
	}
	return p
}

func forwardFromPB(p *wirepb.Forward) *message.Forward {
	m := &message.Forward{
		Ingress:    message.VMID(p.GetIngress()),
		Caller:     endpointFromPB(p.GetCaller()),
		Hops:       uint8(min(p.GetHops(), message.MaxHops)),
		Target:     message.TargetID(p.GetTarget()),
		Hinted:     p.GetHinted(),
		RowUnknown: p.GetRowUnknown(),
	}
	switch inner := p.GetInner().(type) {
	case *wirepb.Forward_Open:
		m.Inner = openFromPB(inner.Open)
	case *wirepb.Forward_Request:
		m.Inner = requestFromPB(inner.Request)
	case *wirepb.Forward_Cancel:
		m.Inner = cancelFromPB(inner.Cancel)
	case *wirepb.Forward_Close:
		m.Inner = closeFromPB(inner.Close)
	}
	return m
}
