// Package tableview is the service "tableview": it answers questions about the
// VM's role and table for the service "storewatch". The answers come from the
// core duty, since only that duty may read the decisions.
package tableview

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/core"
	"github.com/gypsumspan/gypsumspan/services/logs"
)

// Name is the service's name.
const Name = "tableview"

// askWait bounds the wait for the core duty. It is far above the time of one
// step, so that only a paused or stopped core duty exceeds it.
const askWait = time.Second

// Machine is what the service asks of the decisions.
type Machine interface {
	IsRelay() bool
	TableVersion() uint64
	TableKeys() []string
}

// Core is the service "core".
type Core interface {
	Do(c core.Command) error
}

// Service is the service "tableview".
type Service struct {
	close    func()
	core     Core
	log      logs.Log
	relay    atomic.Bool // last answers, for a core duty that does not answer
	hasTable atomic.Bool
}

// New returns the service. closeStore releases the client of the store after
// the services that need the view have stopped.
func New(closeStore func()) *Service { return &Service{close: closeStore} }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return []string{core.Name, logs.Name} }

// Setup implements kernel.Service.
func (s *Service) Setup(*kernel.Kernel) error { return nil }

// Connect implements kernel.Service.
func (s *Service) Connect(k *kernel.Kernel) error {
	var err error
	if s.core, err = kernel.Lookup[Core](k, core.Name); err != nil {
		return err
	}
	s.log, err = kernel.Lookup[logs.Log](k, logs.Name)
	return err
}

// Stop implements kernel.Stopper.
func (s *Service) Stop(context.Context) error {
	s.close()
	return nil
}

// IsRelay reports whether the VM shall watch the store. Without an answer of the
// core duty the last one holds.
func (s *Service) IsRelay() bool {
	if relay, ok := ask(s.core, Machine.IsRelay); ok {
		s.relay.Store(relay)
	}
	return s.relay.Load()
}

// HasTable reports whether the VM has any entry of the table. Without an answer
// of the core duty the last one holds.
func (s *Service) HasTable() bool {
	if version, ok := ask(s.core, Machine.TableVersion); ok {
		s.hasTable.Store(version > 0)
	}
	return s.hasTable.Load()
}

// LiveKeys returns the keys of the VM's table. Without an answer of the core duty
// it returns none, which only delays deletions to the next full read.
func (s *Service) LiveKeys() []string {
	keys, _ := ask(s.core, Machine.TableKeys)
	return keys
}

// LogStoreError logs an attempt to read or watch the table that failed.
func (s *Service) LogStoreError(err error) {
	s.log.Log(events.StoreFailed, events.F("error", err))
}

// ask runs question on the core duty. It reports false when the decisions can't
// answer it or the wait ended.
func ask[T any](c Core, question func(Machine) T) (answer T, ok bool) {
	answers := make(chan T, 1)
	unable := make(chan struct{})
	err := c.Do(func(_ time.Duration, m core.Machine) []message.Message {
		if able, ok := m.(Machine); ok {
			answers <- question(able)
			return nil
		}
		close(unable)
		return nil
	})
	if err != nil {
		return answer, false
	}
	timer := time.NewTimer(askWait)
	defer timer.Stop()
	select {
	case answer = <-answers:
		return answer, true
	case <-unable:
	case <-timer.C:
	}
	return answer, false
}
