package relay

import (
	"strings"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/coldstart"
	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/catalogwatch"
	"github.com/gypsumspan/gypsumspan/services/packets"
)

// shareInterval is the time after which tokens for targets that are warm by now are no longer
// sent to other VMs. New tokens are sent at once.
const shareInterval = 250 * time.Millisecond

// coldTargets is the part of the service that claims permits for cold targets and shares their
// tokens.
type coldTargets struct {
	holder    *coldstart.Holder
	enabled   bool
	received  uint64 // tokens, as last logged
	nextShare time.Duration
	started   bool // a cold target has started, which announceStarts has not handled yet
}

func newColdTargets(config Config) coldTargets {
	self := config.Machine.Self
	return coldTargets{
		holder: coldstart.NewHolder(coldstart.Config{
			Domain: self.Domain, VM: self.Name, Boot: config.Machine.Boot, Prefix: config.PermitPrefix, Limit: config.ColdLimit,
		}),
		enabled: config.PermitPrefix != "" && config.Machine.Boot != 0,
	}
}

// shareTokens claims permits, deletes those that are no longer needed, and passes tokens on to
// the VMs that poll this one and to "packets". It returns the time of the next call.
func (s *Service) shareTokens(now time.Duration) time.Duration {
	if !s.cold.enabled {
		return kernel.Idle
	}
	age, confirmed := s.machine.Age(now)
	var pollers []relay.Poller
	if s.cold.holder.Shares() {
		pollers = s.machine.Pollers(now)
	}
	out := s.cold.holder.Tick(now, coldstart.State{
		IsRelay:     s.machine.IsRelay(),
		StoreLost:   !confirmed || age >= s.config.Machine.MaxAge,
		Revision:    s.machine.Replica().Revision(),
		ConfirmedAt: now - age,
		Pollers:     pollers,
		DomainSize:  s.machine.DomainSize(),
	})
	if out.Claim != nil {
		s.watch.Transact(catalogwatch.Transaction{ID: out.Claim.ID, Items: out.Claim.Items})
	}
	if len(out.Delete) > 0 {
		s.watch.Transact(catalogwatch.Transaction{Items: out.Delete})
	}
	if out.Granted || now >= s.cold.nextShare {
		s.cold.nextShare = now + shareInterval
		for _, poller := range pollers {
			s.machine.SetGrants(poller.Process, s.cold.holder.Grants(poller.Process))
		}
	}
	if out.Granted {
		s.forwardOwnGrants()
		out.Next = now // the machine sends the grants
	}
	s.permitsHeld.Store(uint64(s.cold.holder.Held()))
	return out.Next
}

// announceStarts has the start of a cold target passed on at once, and the pauses of the watch of
// the store shortened: until they know of it, VMs take a target that starts again under its id for warm,
// and targets of a failure domain often start together. It returns the time of the next step.
func (s *Service) announceStarts(now time.Duration) time.Duration {
	if !s.cold.started {
		return kernel.Idle
	}
	s.cold.started = false
	s.watch.ShortenPauses()
	s.machine.NotifyAtOnce()
	return now
}

// forwardOwnGrants passes the tokens of this process to "packets".
func (s *Service) forwardOwnGrants() {
	grants := s.cold.holder.OwnGrants()
	if len(grants) == 0 {
		return
	}
	tokens := uint64(0)
	for _, g := range grants {
		tokens += uint64(g.Tokens)
	}
	s.pending = append(s.pending, packets.Input{Grants: grants})
	if tokens != s.cold.received {
		s.cold.received = tokens
		s.log.Log(events.TokensReceived, events.F("targets", len(grants)), events.F("tokens", tokens))
	}
}

// receiveGrants handles the grants of this process that another VM has sent.
func (s *Service) receiveGrants(now time.Duration, grants []relay.Grant) {
	if s.cold.enabled && len(grants) > 0 {
		s.cold.holder.HandleGrants(now, grants)
	}
}

// completeTransaction handles the outcome of a claim. Deletions of permits have the ID 0; one
// that failed is repeated.
func (s *Service) completeTransaction(now time.Duration, r *catalogwatch.TransactionResult) {
	if r.Err != nil {
		s.log.Log(events.PermitClaimFailed, events.F("keys", len(r.Transaction.Items)), events.F("error", r.Err))
	}
	if r.Transaction.ID == 0 {
		return
	}
	s.logOutcome(s.cold.holder.HandleAnswer(now, coldstart.Answer{
		ID: r.Transaction.ID, Era: r.Era, Succeeded: r.Succeeded, Failed: r.Err != nil,
	}))
}

func (s *Service) logOutcome(o coldstart.Outcome) {
	if len(o.Held) > 0 {
		s.log.Log(events.PermitClaimed, events.F("targets", strings.Join(o.Held, ",")), events.F("tokens", o.Tokens))
	}
	if len(o.Refused) > 0 {
		s.log.Log(events.PermitRefused, events.F("targets", strings.Join(o.Refused, ",")))
	}
}
