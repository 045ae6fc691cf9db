// Package healthcheck is the service "healthcheck": it polls the health
// endpoints of the targets that this VM owns.
//
// At each interval one duty queries the state machine for the targets and
// distributes them over a fixed number of poller duties, each with a bounded ring.
package healthcheck

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
	"github.com/gypsumspan/gypsumspan/decide/retry"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/core"
	"github.com/gypsumspan/gypsumspan/services/logs"
)

// Name is the service's name.
const Name = "healthcheck"

const (
	// pollerCount bounds the concurrent polls. With a timeout of 500 ms, 16
	// unresponsive targets are polled per second.
	pollerCount = 8
	// pollerCapacity is the number of polls that may be queued for one poller.
	pollerCapacity = 256
	// maxTargets bounds the targets of one round.
	maxTargets = pollerCount * pollerCapacity
	// jitter is the largest deviation from the interval, as a fraction of it.
	jitter = 0.1
)

// TargetSource is an optional interface of the state machine. A machine that does not
// implement it has no targets to poll.
type TargetSource interface {
	// HealthTargets calls yield for each owned target that has a health
	// address, until yield returns false.
	HealthTargets(yield func(target message.TargetID, health netip.AddrPort) bool)
}

// Core is the service "core".
type Core interface {
	Put(m message.Message) error
	Do(c core.Command) error
}

// Config configures the service.
type Config struct {
	Interval  time.Duration // mean
	Timeout   time.Duration // of one poll
	LocalAddr netip.Addr    // local address of polls; if it is invalid, the system chooses
	Seed      uint64        // of the jitter
}

// job is one poll of a target's health endpoint.
type job struct {
	target message.TargetID
	health netip.AddrPort
}

// Service is the service "healthcheck".
type Service struct {
	config    Config
	rng       *rand.Rand
	core      Core
	log       logs.Log
	gate      *kernel.Gate
	rounds    *kernel.Ring[[]job]
	pollers   [pollerCount]*poller
	nextRound time.Duration
	ctx       context.Context // ends on Stop
	cancel    context.CancelFunc
}

// New returns the service.
func New(config Config) *Service {
	s := &Service{config: config, rng: rand.New(rand.NewPCG(config.Seed, 0))}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return []string{logs.Name, core.Name} }

// Setup implements kernel.Service.
func (s *Service) Setup(k *kernel.Kernel) error {
	s.gate = kernel.NewGate()
	s.rounds = kernel.NewRing[[]job](k, "healthcheck.rounds", 1, kernel.DropOldest, s.gate)
	for i := range s.pollers {
		s.pollers[i] = newPoller(s, k, i)
	}
	return nil
}

// Connect implements kernel.Service.
func (s *Service) Connect(k *kernel.Kernel) error {
	var err error
	if s.core, err = kernel.Lookup[Core](k, core.Name); err != nil {
		return err
	}
	if s.log, err = kernel.Lookup[logs.Log](k, logs.Name); err != nil {
		return err
	}
	k.AddDuty(kernel.Duty{Name: "healthcheck.plan", Gate: s.gate, Step: s.step})
	for _, p := range s.pollers {
		k.AddDuty(kernel.Duty{Name: p.name, Gate: p.gate, Step: p.step})
	}
	return nil
}

// step distributes the listed targets and requests a new list at each interval.
func (s *Service) step(now time.Duration) time.Duration {
	if jobs, ok := s.rounds.Take(); ok {
		s.distribute(jobs)
	}
	if now >= s.nextRound {
		s.nextRound = now + retry.JitteredInterval(s.rng, s.config.Interval, jitter)
		s.requestTargets()
	}
	return s.nextRound
}

// requestTargets queues a command for the core duty that lists the targets. A refused
// command is retried at the next interval.
func (s *Service) requestTargets() {
	_ = s.core.Do(func(_ time.Duration, m core.Machine) []message.Message {
		if targets, ok := m.(TargetSource); ok {
			_ = s.rounds.Put(listTargets(targets))
		}
		return nil
	})
}

// listTargets returns the polls of one round, at most maxTargets.
func listTargets(targets TargetSource) []job {
	var jobs []job
	targets.HealthTargets(func(target message.TargetID, health netip.AddrPort) bool {
		jobs = append(jobs, job{target: target, health: health})
		return len(jobs) < maxTargets
	})
	return jobs
}

// distribute queues each target at the poller that it hashes to. A poller that
// has not finished the previous round is skipped, so that polls do not accumulate.
func (s *Service) distribute(jobs []job) {
	var busy [pollerCount]bool
	for i, p := range s.pollers {
		busy[i] = p.ring.Len() > 0
		if busy[i] {
			s.log.Log(events.HealthPollsSkipped, events.F("poller", i))
		}
	}
	for _, j := range jobs {
		i := rendezvous.Mix(uint64(j.target), 0) % pollerCount
		if !busy[i] {
			_ = s.pollers[i].ring.Put(j)
		}
	}
}

// Stop implements kernel.Stopper: it cancels the polls in progress.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	for _, p := range s.pollers {
		p.client.Close()
	}
	return nil
}

func pollerName(i int) string {
	return fmt.Sprintf("healthcheck.poll.%d", i)
}
