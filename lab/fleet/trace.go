package fleet

import (
	"fmt"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// Trace records the messages of a run as text, a line each, so that the cause of
// a failed run can be read from its seed.
type Trace struct {
	fleet   *Fleet
	vms     map[message.VMID]string
	targets map[message.TargetID]string
	Lines   []string
}

// StartTrace records all messages that are sent from now on.
func (f *Fleet) StartTrace() *Trace {
	t := &Trace{fleet: f, vms: make(map[message.VMID]string), targets: make(map[message.TargetID]string)}
	f.net.trace = t
	return t
}

// names learns the names of the VMs and targets that run now.
func (t *Trace) names() {
	for name, n := range t.fleet.vms {
		t.vms[n.member.ID] = name
	}
	for _, s := range t.fleet.services {
		for i := range s.Targets {
			t.targets[s.Targets[i].ID] = s.Name + "/" + s.Targets[i].Name
		}
	}
}

// address returns a short name of a sender or receiver.
func (t *Trace) address(a message.Address) string {
	switch a.Kind {
	case message.PeerVM:
		return t.vms[a.VM]
	case message.PeerTarget:
		return t.targets[a.Target]
	default:
		return a.Addr.String()
	}
}

func (t *Trace) record(now time.Duration, from message.Address, m message.Message) {
	text := t.describe(m.Body)
	if text == "" {
		return
	}
	t.names()
	line := fmt.Sprintf("%-14v %s -> %s: %s", now, t.address(from), t.address(m.To), text)
	t.Lines = append(t.Lines, line)
}

// describe returns the text of a message, or "" for gossip and load reports.
func (t *Trace) describe(body message.Body) string {
	switch b := body.(type) {
	case *message.Forward:
		return fmt.Sprintf("forward hop %d at %s hinted %v: %s", b.Hops, t.targets[b.Target], b.Hinted, t.describe(b.Inner))
	case *message.Open:
		return fmt.Sprintf("open %v refresh %v binding %s", b.Flow, b.Refresh, t.targets[b.Binding.Target])
	case *message.Bound:
		return fmt.Sprintf("bound %v to %s", b.Flow, t.targets[b.Binding.Target])
	case *message.Request:
		return fmt.Sprintf("request %v/%d attempt %d binding %s %x", b.Flow, b.ID, b.Attempt, t.targets[b.Binding.Target], uint64(b.Binding.Epoch)>>48)
	case *message.Dispatch:
		return fmt.Sprintf("dispatch %v/%d attempt %d", b.Flow, b.ID, b.Attempt)
	case *message.Answer:
		return fmt.Sprintf("answer %v/%d attempt %d part %d of %d", b.Flow, b.ID, b.Attempt, b.Part, b.Parts)
	case *message.Refusal:
		return fmt.Sprintf("refusal %v/%d attempt %d: %v (%v)", b.Flow, b.ID, b.Attempt, b.Reason, b.Cause)
	case *message.Shed:
		return fmt.Sprintf("shed %v/%d attempt %d started %v", b.Flow, b.ID, b.Attempt, b.Started)
	case *message.Handover:
		return t.describeHandover(b)
	case *message.HandoverAck:
		return fmt.Sprintf("handover of %s transfer %x accepted %v", t.targets[b.Target], b.Transfer>>48, b.Accepted)
	case *message.Released:
		if b.Answer == nil {
			return fmt.Sprintf("released at %s", t.targets[b.Target])
		}
		return fmt.Sprintf("released at %s: %s", t.targets[b.Target], t.describe(b.Answer))
	default:
		return ""
	}
}

func (t *Trace) describeHandover(h *message.Handover) string {
	text := fmt.Sprintf("handover of %s from %s transfer %x last %v: %d flows", t.targets[h.Target], t.targets[h.Source], h.Transfer>>48, h.Last, len(h.Flows))
	for i := range h.Log {
		text += fmt.Sprintf(" log %v/%d attempt %d state %d", h.Log[i].Key.Flow, h.Log[i].Key.ID, h.Log[i].Attempt, h.Log[i].State)
	}
	return text
}
