// Package vmlist is the service "vmlist": it polls the platform's list of VMs
// while this VM is a relay or has no peers.
package vmlist

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/retry"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/core"
	"github.com/gypsumspan/gypsumspan/services/httpget"
	"github.com/gypsumspan/gypsumspan/services/logs"
)

// Name is the service's name.
const Name = "vmlist"

// maxListBytes is the largest accepted list. 15,000 VMs need about 2 MB.
const maxListBytes = 8 << 20

// jitter is the largest deviation from the interval, as a fraction of it. It
// spreads the polls of VMs that started at the same time.
const jitter = 0.2

// ErrInvalidEntry means that an entry of the list lacks a field or has an invalid address.
var ErrInvalidEntry = errors.New("invalid entry of the VM list")

// RelayStatus is an optional interface of the state machine. A machine that does
// not implement it is no relay.
type RelayStatus interface {
	IsRelay() bool
}

// PeerStatus is an optional interface of the state machine. A machine that does
// not implement it is assumed to have peers.
type PeerStatus interface {
	// HasPeers reports whether another VM is in the live set.
	HasPeers() bool
}

// Core is the service "core".
type Core interface {
	Put(m message.Message) error
	Do(c core.Command) error
}

// Config configures the service.
type Config struct {
	URL       string
	Interval  time.Duration // mean
	Timeout   time.Duration // of one poll
	LocalAddr netip.Addr    // local address of polls; if it is invalid, the system chooses
	Seed      uint64        // of the jitter
}

// Service is the service "vmlist".
type Service struct {
	config   Config
	client   *httpget.Client
	rng      *rand.Rand
	core     Core
	log      logs.Log
	gate     *kernel.Gate
	wanted   *kernel.Ring[bool]
	nextPoll time.Duration
	ctx      context.Context // ends on Stop
	cancel   context.CancelFunc
}

// New returns the service.
func New(config Config) *Service {
	s := &Service{
		config: config,
		client: httpget.New(config.Timeout, maxListBytes, config.LocalAddr),
		rng:    rand.New(rand.NewPCG(config.Seed, 0)),
	}
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
	s.wanted = kernel.NewRing[bool](k, "vmlist.wanted", 1, kernel.DropOldest, s.gate)
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
	k.AddDuty(kernel.Duty{Name: "vmlist", Gate: s.gate, Step: s.step})
	return nil
}

// step polls if the last query found that the list is wanted, and queries the state
// machine again at each interval.
func (s *Service) step(now time.Duration) time.Duration {
	if wanted, ok := s.wanted.Take(); ok && wanted {
		s.poll()
	}
	if now >= s.nextPoll {
		s.nextPoll = now + retry.JitteredInterval(s.rng, s.config.Interval, jitter)
		s.queryWanted()
	}
	return s.nextPoll
}

// queryWanted queues a command for the core duty that determines whether the list is
// wanted. A refused command is retried at the next interval.
func (s *Service) queryWanted() {
	_ = s.core.Do(func(_ time.Duration, m core.Machine) []message.Message {
		_ = s.wanted.Put(isWanted(m))
		return nil
	})
}

// isWanted reports whether the VM of m is a relay or has no peers.
func isWanted(m core.Machine) bool {
	if relay, ok := m.(RelayStatus); ok && relay.IsRelay() {
		return true
	}
	peers, ok := m.(PeerStatus)
	return ok && !peers.HasPeers()
}

// entry is one VM of the platform's list.
type entry struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Data    string `json:"data"`
	Control string `json:"control"`
	Leaving bool   `json:"leaving"`
}

// poll reads the list and sends its valid entries to the state machine.
func (s *Service) poll() {
	var list struct {
		VMs []entry `json:"vms"`
	}
	err := s.client.GetJSON(s.ctx, s.config.URL, &list)
	if s.ctx.Err() != nil {
		return
	}
	if err != nil {
		s.log.Log(events.VMListFailed, events.F("url", s.config.URL), events.F("error", err))
		return
	}
	body := &message.VMList{}
	for _, e := range list.VMs {
		member, err := e.toMember()
		if err != nil {
			s.log.Log(events.VMListEntryInvalid, events.F("name", e.Name), events.F("error", err))
			continue
		}
		body.Members = append(body.Members, member)
	}
	_ = s.core.Put(message.Message{From: message.Address{Kind: message.PeerPlatform}, Body: body})
}

// toMember converts an entry. It returns ErrInvalidEntry for an invalid one.
func (e entry) toMember() (message.Member, error) {
	if e.Name == "" || e.Domain == "" {
		return message.Member{}, fmt.Errorf("name or domain is empty: %w", ErrInvalidEntry)
	}
	data, err := netip.ParseAddrPort(e.Data)
	if err != nil {
		return message.Member{}, fmt.Errorf("data address: %w: %w", ErrInvalidEntry, err)
	}
	control, err := netip.ParseAddrPort(e.Control)
	if err != nil {
		return message.Member{}, fmt.Errorf("control address: %w: %w", ErrInvalidEntry, err)
	}
	state := message.MemberAlive
	if e.Leaving {
		state = message.MemberLeaving
	}
	return message.Member{
		ID:      message.VMIDOf(e.Name),
		Name:    e.Name,
		Domain:  message.DomainIDOf(e.Domain),
		Data:    data,
		Control: control,
		State:   state,
	}, nil
}

// Stop implements kernel.Stopper: it cancels a poll in progress.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.client.Close()
	return nil
}
