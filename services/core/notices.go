package core

import (
	"github.com/gypsumspan/gypsumspan/decide/notice"
	"github.com/gypsumspan/gypsumspan/events"
)

// Noticer is implemented by machines that record notices of their decisions for the log.
type Noticer interface {
	// TakeNotices removes the recorded notices and calls yield for each, oldest first.
	TakeNotices(yield func(notice.Notice))
}

// eventByKind maps each kind of notice to its log event.
var eventByKind = [notice.NumKinds]*events.Event{
	notice.TargetTakenOver:    events.OwnershipTakenOver,
	notice.TargetHandedOver:   events.OwnershipHandedOver,
	notice.HandoverReceived:   events.OwnershipReceived,
	notice.EpochsRevoked:      events.OwnershipRevoked,
	notice.TargetEjected:      events.TargetEjected,
	notice.TargetRestored:     events.TargetRestored,
	notice.TargetLost:         events.TargetLost,
	notice.MovesStarted:       events.MovesStarted,
	notice.MovesFinished:      events.MovesFinished,
	notice.MoveAbandoned:      events.MoveAbandoned,
	notice.VMPaused:           events.VMPaused,
	notice.MemberSuspect:      events.MemberSuspected,
	notice.MemberDead:         events.MemberDead,
	notice.MemberBack:         events.MemberBack,
	notice.MemberLeaving:      events.MemberLeaving,
	notice.TableInForce:       events.TableInForce,
	notice.TableEntryRejected: events.TableEntryRejected,
	notice.LeaveStarted:       events.HandoversStarted,
	notice.LeaveFinished:      events.HandoversFinished,
	notice.NoticesDropped:     events.NoticesDropped,
}

// logNotices logs the machine's notices. Without a log it discards them, so that the
// machine's list does not fill up.
func (s *Service) logNotices() {
	if s.noticer != nil {
		s.noticer.TakeNotices(s.logNotice)
	}
}

func (s *Service) logNotice(n notice.Notice) {
	e := eventByKind[n.Kind]
	if s.log == nil || e == nil {
		return
	}
	fields := make([]events.Field, 0, len(e.Fields))
	for _, name := range e.Fields {
		fields = append(fields, events.F(name, fieldValue(&n, name)))
	}
	s.log.Log(e, fields...)
}

// fieldValue returns the value of an event's field, or nil for an unknown field.
func fieldValue(n *notice.Notice, field string) any {
	switch field {
	case "target":
		return n.Target
	case "peer":
		return n.VM
	case "flows":
		return n.Flows
	case "gap", "took":
		return n.Duration
	case "revision":
		return n.Revision
	case "key":
		return n.Key
	case "error":
		return n.Err
	case "dropped":
		return n.Count
	default:
		return nil
	}
}
