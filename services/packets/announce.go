package packets

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/forward"
	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/events"
)

// announceInterval is the minimum time between two datagrams to each VM of the domain about targets
// that have left a SYN unanswered, and flows that have not opened.
const announceInterval = time.Second

// announce tells other VMs, at most every announceInterval, of targets that have left a SYN
// unanswered and of flows that have not opened at this VM.
func (s *Service) announce(now time.Duration) {
	if s.reports == nil || now < s.nextAnnounce {
		return
	}
	cookies, flows := s.forwarder.TakeUnanswered(), s.forwarder.TakeUnopened()
	if len(cookies)+len(flows) == 0 {
		return
	}
	s.nextAnnounce = now + announceInterval
	s.logUnopened(flows)
	s.reports.Announce(slices.Clone(cookies), slices.Clone(flows))
}

// resendSYN sends the kept SYN of a flow to the targets at which it has not opened, with the cookie
// of the target at which it has.
func (s *Service) resendSYN(k flow.Key, v forward.Verdict) {
	if len(v.Superseded) == 0 {
		return
	}
	syn, ok := s.syns.take(k)
	if !ok {
		return
	}
	for _, t := range v.Superseded {
		s.config.Codec.Encapsulate(syn, t.Number, v.Cookie)
		s.send(syn, t.Address.AddrPort(), &s.realigned)
		s.log.Log(events.CookieRealigned, events.F("caller", k.Caller), events.F("address", k.Address),
			events.F("target", v.Target.ID), events.F("superseded", t.ID))
	}
}

// handleUnopened handles a flow that has not opened at another VM.
func (s *Service) handleUnopened(now time.Duration, u relay.UnopenedFlow) {
	v, outcome := s.forwarder.HandleUnopened(now, u)
	if outcome == forward.UnopenedUnknown {
		return
	}
	text := outcome.String()
	if outcome == forward.UnopenedSuperseded && !s.syns.has(u.Flow) {
		text = "no_syn"
	}
	s.log.Log(events.UnopenedFlowReceived, events.F("caller", u.Flow.Caller), events.F("address", u.Flow.Address),
		events.F("target", v.Target.ID), events.F("other", s.targetID(u)), events.F("outcome", text))
	s.resendSYN(u.Flow, v)
}

// targetID returns the id of the target of an unopened flow, or an empty one.
func (s *Service) targetID(u relay.UnopenedFlow) string {
	view := s.forwarder.View()
	if t := view.ByCookie(flow.Cookie(u.TargetCookie), view.Route(u.Flow.Address)); t != nil {
		return t.ID
	}
	return ""
}

// logUnopened logs the flows that other VMs are told of.
func (s *Service) logUnopened(flows []relay.UnopenedFlow) {
	for _, u := range flows {
		s.log.Log(events.FlowUnopened, events.F("caller", u.Flow.Caller), events.F("address", u.Flow.Address), events.F("target", s.targetID(u)))
	}
}
