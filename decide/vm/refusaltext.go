package vm

import "github.com/gypsumspan/gypsumspan/decide/message"

// refusalText explains to operators why a request was refused, and what they can do.
type refusalText struct {
	why, advice string
}

// causeTexts explain the causes of refusals.
var causeTexts = [message.NumCauses]refusalText{
	message.CauseNone: {"No cause was recorded.",
		"Report it; it is a fault in gypsumspan."},
	message.CauseNoEpoch: {"The request carried no epoch, so no owner may dispatch it.",
		"Nothing: the refusal carries the binding. If it recurs, update the caller library."},
	message.CauseStaleEpoch: {"The request carried the epoch of an earlier ownership of the target.",
		"Nothing after the loss of a VM; otherwise look for GS3201 and GS3204 in the logs."},
	message.CauseQueueFull: {"The queue of the target was full and the request's kind or caller was over its share of it.",
		"Compare gypsumspan_waiting by kind, find the caller that floods, or add targets or slots."},
	message.CauseDeadline: {"The request could not finish before its deadline.",
		"Check the target's answer time and the deadline that the caller sets; add targets if the queue is long."},
	message.CauseKindClosed: {"The owner's queue for the kind is full, so this VM refuses the kind for a short time.",
		"Compare gypsumspan_waiting by kind, or add targets or slots."},
	message.CauseNoTarget: {"No target of the service accepts new flows, or no owner of one is known.",
		"Check states in the table, targets out of service (GS3301) and the members that this VM sees."},
	message.CauseTargetLost: {"The target crashed, or refused the request before it started.",
		"Check the target; look for GS3303 in the owner's log."},
	message.CauseUnreachable: {"The owner of the target, or the target itself, can't be reached now.",
		"Check the network between failure domains and the members that this VM sees."},
	message.CauseUnknownFlow: {"No VM along the ranking has a record of the flow: it ended, was idle too long, or its state was lost.",
		"Nothing for a single flow; look for GS3303 and GS3306 if there are many."},
	message.CauseUnknownTable: {"The service or the kind is not in the table of this VM.",
		"Check the names that the caller uses and the table revision of this VM."},
	message.CauseLogEvicted: {"The request's log entry or recorded answer is gone.",
		"Nothing for a late retransmission; check the size of answers if it recurs."},
	message.CauseOwnerMoved: {"The ownership of the target ended while the request was queued.",
		"Nothing during a planned change; look for GS3204 in the logs."},
	message.CauseCancelled: {"The caller cancelled the request.",
		"Nothing."},
}

// reasonTexts explain what a refusal means for the request.
var reasonTexts = [message.NumReasons]string{
	message.NotRun:      "The request did not run; the caller may send it again.",
	message.MayHaveRun:  "The request may have run: only an idempotent one may be sent again, any other needs a check at the target.",
	message.FlowUnknown: "The flow is broken; the caller library opens a new one.",
	message.Busy:        "Only this datagram was dropped; the caller library continues with the same attempt.",
}

// refusalTextFor returns the explanation of a refusal.
func refusalTextFor(reason message.RefusalReason, cause message.Cause) refusalText {
	text := causeTexts[cause]
	text.advice = reasonTexts[reason] + " " + text.advice
	return text
}
