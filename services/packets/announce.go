package packets

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/forward"
	"github.com/gypsumspan/gypsumspan/decide/halfopen"
	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/events"
)

// announceInterval is the minimum time between two announcements to the VMs of the domain, each of which
// gets a datagram, and leavingInterval that of a VM which will soon be gone. keeperInterval is that of
// messages for single keepers.
const (
	announceInterval = time.Second
	leavingInterval  = 100 * time.Millisecond
	keeperInterval   = 100 * time.Millisecond
)

// announce tells other VMs of targets that have left a SYN unanswered, of flows that have not opened at
// this VM, and of contested ones.
func (s *Service) announce(now time.Duration) {
	if s.reports == nil {
		return
	}
	var a relay.Announcement
	if now >= s.nextAnnounce {
		a.UnansweredBy = slices.Clone(s.forwarder.TakeUnanswered())
		a.Unopened = slices.Clone(s.forwarder.TakeUnopened())
		a.Contested = slices.Clone(s.forwarder.TakeContested())
	}
	if now >= s.nextKeepers {
		a.ForKeepers = slices.Clone(s.forwarder.TakeForKeepers())
	}
	if len(a.UnansweredBy)+len(a.Unopened)+len(a.Contested) > 0 {
		s.nextAnnounce = now + announceInterval
		if s.leaving {
			s.nextAnnounce = now + leavingInterval
		}
	} else if len(a.ForKeepers) == 0 {
		return
	}
	s.nextKeepers = now + keeperInterval
	s.logUnopened(a.Unopened)
	s.reports.Announce(a)
}

// startLeaving prepares the planned stop of the VM.
func (s *Service) startLeaving(now time.Duration) {
	s.leaving, s.nextAnnounce = true, now
	s.forwarder.StartLeaving(now)
}

// correctCookies carries out the forwarder's corrections.
func (s *Service) correctCookies(now time.Duration) {
	for _, c := range s.forwarder.TakeCorrections() {
		s.resendSYN(now, c.Flow, c.Target, c.Superseded)
	}
}

// keepSYN keeps a SYN that is sent to a target until its flow opens, and after that if the flow is
// contested.
func (s *Service) keepSYN(now time.Duration, p flow.Packet, v forward.Verdict, datagram []byte) {
	if p.Flags.Has(flow.SYN) {
		if v.Action == forward.Forward {
			s.syns.keep(now, p.Flow, datagram)
		}
		return
	}
	if v.ConnectTime > 0 && !s.forwarder.IsContested(p.Flow) {
		s.syns.drop(p.Flow)
	}
}

// resendSYN sends the kept SYN of a flow to the targets at which it has not opened, with the cookie
// of the target at which it has.
func (s *Service) resendSYN(now time.Duration, k flow.Key, t *catalog.Target, superseded []*catalog.Target) {
	if len(superseded) == 0 {
		return
	}
	syn, ok := s.syns.get(now, k)
	if !ok {
		return
	}
	for _, other := range superseded {
		s.config.Codec.Encapsulate(syn, other.Number, t.Cookie)
		s.send(syn, other.Address.AddrPort(), &s.realigned)
		s.log.Log(events.CookieRealigned, events.F("caller", k.Caller), events.F("address", k.Address),
			events.F("target", t.ID), events.F("superseded", other.ID))
	}
}

// handleUnopened handles a flow that has not opened at another VM.
func (s *Service) handleUnopened(now time.Duration, u halfopen.Unopened) {
	v, outcome := s.forwarder.HandleUnopened(now, u)
	if outcome == forward.UnopenedUnknown {
		return
	}
	text := outcome.String()
	if _, kept := s.syns.get(now, u.Flow); outcome == forward.UnopenedSuperseded && !kept {
		text = "no_syn"
	}
	s.log.Log(events.UnopenedFlowReceived, events.F("caller", u.Flow.Caller), events.F("address", u.Flow.Address),
		events.F("target", v.Target.ID), events.F("other", s.targetID(u)), events.F("outcome", text), events.F("age_ms", u.Age.Milliseconds()))
	s.resendSYN(now, u.Flow, v.Target, v.Superseded)
}

// handleOpened handles a flow that has opened at another VM.
func (s *Service) handleOpened(now time.Duration, o halfopen.Opened) {
	v := s.forwarder.HandleOpened(now, o)
	s.resendSYN(now, o.Flow, v.Target, v.Superseded)
}

// targetID returns the id of the target of an unopened flow, or an empty one.
func (s *Service) targetID(u halfopen.Unopened) string {
	view := s.forwarder.View()
	if t := view.ByCookie(flow.Cookie(u.TargetCookie), view.Route(u.Flow.Address)); t != nil {
		return t.ID
	}
	return ""
}

// logUnopened logs the flows that other VMs are told of.
func (s *Service) logUnopened(flows []halfopen.Unopened) {
	for _, u := range flows {
		s.log.Log(events.FlowUnopened, events.F("caller", u.Flow.Caller), events.F("address", u.Flow.Address), events.F("target", s.targetID(u)))
	}
}
