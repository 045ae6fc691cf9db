package fleet

import (
	"fmt"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// Trace records the messages of a run as text, one line each, to find the cause of a failed
// run by running its seed again.
type Trace struct {
	fleet       *Fleet
	vmNames     map[message.VMID]string
	targetNames map[message.TargetID]string
	Lines       []string
}

// StartTrace records all messages that are sent from now on, except gossip and load reports.
func (f *Fleet) StartTrace() *Trace {
	t := &Trace{fleet: f, vmNames: make(map[message.VMID]string), targetNames: make(map[message.TargetID]string)}
	f.net.trace = t
	return t
}

// updateNames adds the names of the VMs and targets that exist now. Older names stay.
func (t *Trace) updateNames() {
	for name, n := range t.fleet.vms {
		t.vmNames[n.member.ID] = name
	}
	for _, s := range t.fleet.services {
		for i := range s.Targets {
			t.targetNames[s.Targets[i].ID] = s.Name + "/" + s.Targets[i].Name
		}
	}
}

// addressName returns the name of a VM or target, or the address of a caller.
func (t *Trace) addressName(a message.Address) string {
	switch a.Kind {
	case message.PeerVM:
		return t.vmNames[a.VM]
	case message.PeerTarget:
		return t.targetNames[a.Target]
	default:
		return a.Addr.String()
	}
}

func (t *Trace) record(now time.Duration, from message.Address, m message.Message) {
	text := t.describe(m.Body)
	if text == "" {
		return
	}
	t.updateNames()
	line := fmt.Sprintf("%-14v %s -> %s: %s", now, t.addressName(from), t.addressName(m.To), text)
	t.Lines = append(t.Lines, line)
}

// describe returns a message as text, or "" for gossip and load reports.
func (t *Trace) describe(body message.Body) string {
	switch b := body.(type) {
	case *message.Forward:
		return fmt.Sprintf("forward hop %d at %s hinted %v: %s", b.Hops, t.targetNames[b.Target], b.Hinted, t.describe(b.Inner))
	case *message.Open:
		return fmt.Sprintf("open %v refresh %v binding %s", b.Flow, b.Refresh, t.targetNames[b.Binding.Target])
	case *message.Bound:
		return fmt.Sprintf("bound %v to %s", b.Flow, t.targetNames[b.Binding.Target])
	case *message.Request:
		return fmt.Sprintf("request %v/%d attempt %d binding %s %x", b.Flow, b.ID, b.Attempt, t.targetNames[b.Binding.Target], uint64(b.Binding.Epoch)>>48)
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
		return fmt.Sprintf("handover of %s transfer %x accepted %v", t.targetNames[b.Target], b.Transfer>>48, b.Accepted)
	case *message.Released:
		if b.Answer == nil {
			return fmt.Sprintf("released at %s", t.targetNames[b.Target])
		}
		return fmt.Sprintf("released at %s: %s", t.targetNames[b.Target], t.describe(b.Answer))
	default:
		return ""
	}
}

func (t *Trace) describeHandover(h *message.Handover) string {
	text := fmt.Sprintf("handover of %s from %s transfer %x last %v: %d flows", t.targetNames[h.Target], t.targetNames[h.Source], h.Transfer>>48, h.Last, len(h.Flows))
	for i := range h.Log {
		text += fmt.Sprintf(" log %v/%d attempt %d state %d", h.Log[i].Key.Flow, h.Log[i].Key.ID, h.Log[i].Attempt, h.Log[i].State)
	}
	return text
}
