package wire

import (
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/wire/wirepb"
)

// setBody sets the body of env and reports whether the type of body is part of the wire
// format.
func setBody(env *wirepb.Envelope, body message.Body) bool {
	switch m := body.(type) {
	case *message.Open:
		env.Body = &wirepb.Envelope_Open{Open: openToPB(m)}
	case *message.Bound:
		env.Body = &wirepb.Envelope_Bound{Bound: boundToPB(m)}
	case *message.Request:
		env.Body = &wirepb.Envelope_Request{Request: requestToPB(m)}
	case *message.Answer:
		env.Body = &wirepb.Envelope_Answer{Answer: answerToPB(m)}
	case *message.Refusal:
		env.Body = &wirepb.Envelope_Refusal{Refusal: refusalToPB(m)}
	case *message.Cancel:
		env.Body = &wirepb.Envelope_Cancel{Cancel: cancelToPB(m)}
	case *message.Close:
		env.Body = &wirepb.Envelope_Close{Close: closeToPB(m)}
	case *message.KindClosed:
		env.Body = &wirepb.Envelope_KindClosed{KindClosed: kindClosedToPB(m)}
	case *message.Dispatch:
		env.Body = &wirepb.Envelope_Dispatch{Dispatch: dispatchToPB(m)}
	case *message.TargetCancel:
		env.Body = &wirepb.Envelope_TargetCancel{TargetCancel: targetCancelToPB(m)}
	case *message.FlowEnd:
		env.Body = &wirepb.Envelope_FlowEnd{FlowEnd: flowEndToPB(m)}
	case *message.Shed:
		env.Body = &wirepb.Envelope_Shed{Shed: shedToPB(m)}
	case *message.Forward:
		env.Body = &wirepb.Envelope_Forward{Forward: forwardToPB(m)}
	case *message.Heartbeat:
		env.Body = &wirepb.Envelope_Heartbeat{Heartbeat: heartbeatToPB(m)}
	case *message.MembersPull:
		env.Body = &wirepb.Envelope_MembersPull{MembersPull: &wirepb.MembersPull{}}
	case *message.Members:
		env.Body = &wirepb.Envelope_Members{Members: membersToPB(m)}
	case *message.DomainPull:
		env.Body = &wirepb.Envelope_DomainPull{DomainPull: domainPullToPB(m)}
	case *message.DomainMembers:
		env.Body = &wirepb.Envelope_DomainMembers{DomainMembers: domainMembersToPB(m)}
	case *message.TablePull:
		env.Body = &wirepb.Envelope_TablePull{TablePull: tablePullToPB(m)}
	case *message.TableDelta:
		env.Body = &wirepb.Envelope_TableDelta{TableDelta: tableDeltaToPB(m)}
	case *message.LoadReport:
		env.Body = &wirepb.Envelope_LoadReport{LoadReport: loadReportToPB(m)}
	case *message.Handover:
		env.Body = &wirepb.Envelope_Handover{Handover: handoverToPB(m)}
	case *message.HandoverAck:
		env.Body = &wirepb.Envelope_HandoverAck{HandoverAck: handoverAckToPB(m)}
	case *message.Released:
		env.Body = &wirepb.Envelope_Released{Released: releasedToPB(m)}
	case *message.HeartbeatAck:
		env.Body = &wirepb.Envelope_HeartbeatAck{HeartbeatAck: heartbeatToPB((*message.Heartbeat)(m))}
	default:
		return false
	}
	return true
}

// getBody returns the body of env, or nil if it has none.
func getBody(env *wirepb.Envelope) message.Body {
	switch b := env.GetBody().(type) {
	case *wirepb.Envelope_Open:
		return openFromPB(b.Open)
	case *wirepb.Envelope_Bound:
		return boundFromPB(b.Bound)
	case *wirepb.Envelope_Request:
		return requestFromPB(b.Request)
	case *wirepb.Envelope_Answer:
		return answerFromPB(b.Answer)
	case *wirepb.Envelope_Refusal:
		return refusalFromPB(b.Refusal)
	case *wirepb.Envelope_Cancel:
		return cancelFromPB(b.Cancel)
	case *wirepb.Envelope_Close:
		return closeFromPB(b.Close)
	case *wirepb.Envelope_KindClosed:
		return kindClosedFromPB(b.KindClosed)
	case *wirepb.Envelope_Dispatch:
		return dispatchFromPB(b.Dispatch)
	case *wirepb.Envelope_TargetCancel:
		return targetCancelFromPB(b.TargetCancel)
	case *wirepb.Envelope_FlowEnd:
		return flowEndFromPB(b.FlowEnd)
	case *wirepb.Envelope_Shed:
		return shedFromPB(b.Shed)
	case *wirepb.Envelope_Forward:
		return forwardFromPB(b.Forward)
	case *wirepb.Envelope_Heartbeat:
		return heartbeatFromPB(b.Heartbeat)
	case *wirepb.Envelope_MembersPull:
		return &message.MembersPull{}
	case *wirepb.Envelope_Members:
		return membersFromPB(b.Members)
	case *wirepb.Envelope_DomainPull:
		return domainPullFromPB(b.DomainPull)
	case *wirepb.Envelope_DomainMembers:
		return domainMembersFromPB(b.DomainMembers)
	case *wirepb.Envelope_TablePull:
		return tablePullFromPB(b.TablePull)
	case *wirepb.Envelope_TableDelta:
		return tableDeltaFromPB(b.TableDelta)
	case *wirepb.Envelope_LoadReport:
		return loadReportFromPB(b.LoadReport)
	case *wirepb.Envelope_Handover:
		return handoverFromPB(b.Handover)
	case *wirepb.Envelope_HandoverAck:
		return handoverAckFromPB(b.HandoverAck)
	case *wirepb.Envelope_Released:
		return releasedFromPB(b.Released)
	case *wirepb.Envelope_HeartbeatAck:
		return (*message.HeartbeatAck)(heartbeatFromPB(b.HeartbeatAck))
	default:
		return nil
	}
}
