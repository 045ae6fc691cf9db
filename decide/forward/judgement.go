package forward

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/revision"
)

// Judgement is a change of what a VM believes about a target: that it is dead, or no
// longer, with the evidence that decided it.
type Judgement struct {
	Target     *catalog.Target
	Dead       bool
	Cause      JudgementCause
	StuckFlows int           // flows that are stuck, of those that still count
	Silence    time.Duration // since the last response at this VM; noResponse: there was none
	Age        time.Duration // of the judgement that ends; 0 if it starts
	at         time.Duration
	revision   revision.Revision // of the entry of the target
}

// noResponse is the silence of a target of which the VM has seen no response.
const noResponse = -time.Millisecond

// JudgementCause is why a target was judged.
type JudgementCause uint8

// The causes.
const (
	Unanswered   JudgementCause = iota // flows are stuck and the target has not responded
	Responded                          // the target has responded to a flow of this VM
	EntryWritten                       // the target has written its entry in the store
	Expired                            // there was no further evidence
)

// String returns the cause as it appears in logs.
func (c JudgementCause) String() string {
	switch c {
	case Responded:
		return "responded"
	case EntryWritten:
		return "entry_written"
	case Expired:
		return "expired"
	default:
		return "unanswered"
	}
}

// TakeJudgements returns the changes since the last call. The slice is valid until the
// next call of any method.
func (f *Forwarder) TakeJudgements() []Judgement {
	taken := f.newJudgements
	f.newJudgements = f.newJudgements[:0]
	return taken
}

// recordDeath records that t was judged dead.
func (f *Forwarder) recordDeath(now time.Duration, t *catalog.Target) {
	judgement := f.judge(now, t)
	judgement.Dead, judgement.Cause = true, Unanswered
	f.deaths[t] = judgement
	f.newJudgements = append(f.newJudgements, judgement)
}

// endJudgements records the judgements that have ended since the last call, sorted by target.
func (f *Forwarder) endJudgements(now time.Duration) {
	ended := slices.SortedFunc(maps.Keys(f.deaths), func(a, b *catalog.Target) int { return cmp.Compare(a.ID, b.ID) })
	for _, t := range ended {
		if f.evidence[t.Slot].Declared(now) {
			continue
		}
		death := f.deaths[t]
		judgement := f.judge(now, t)
		judgement.Cause = f.causeOfEnd(death)
		judgement.Age = now - death.at
		f.newJudgements = append(f.newJudgements, judgement)
		delete(f.deaths, t)
	}
}

// causeOfEnd returns why a target is no longer judged dead.
func (f *Forwarder) causeOfEnd(death Judgement) JudgementCause {
	alive, ok := f.evidence[death.Target.Slot].LastAlive()
	switch {
	case ok && alive > death.at:
		return Responded
	case death.Target.Listed && death.Target.Revision > death.revision:
		return EntryWritten
	default:
		return Expired
	}
}

// judge returns a judgement with the present evidence about t.
func (f *Forwarder) judge(now time.Duration, t *catalog.Target) Judgement {
	tracker := &f.evidence[t.Slot]
	judgement := Judgement{Target: t, StuckFlows: tracker.StuckFlows(now), Silence: noResponse, at: now, revision: t.Revision}
	if alive, ok := tracker.LastAlive(); ok {
		judgement.Silence = now - alive
	}
	return judgement
}
