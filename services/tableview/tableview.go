// Package tableview is the service "tableview": it queries the VM's role and table
// for the service "storewatch". The queries run on the core duty, since only that
// duty may access the state machine.
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

// queryTimeout bounds the wait for the core duty. It is far above the time of one
// step, so that only a paused or stopped core duty exceeds it.
const queryTimeout = time.Second

// Machine is the part of the state machine that the service queries.
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
	closeStore   func()
	core         Core
	log          logs.Log
	lastIsRelay  atomic.Bool // last results, used while the core duty does not respond
	lastHasTable atomic.Bool
}

// New returns the service. Stop calls closeStore, which closes the client of the
// store, after the services that depend on this one have stopped.
func New(closeStore func()) *Service { return &Service{closeStore: closeStore} }

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
	s.closeStore()
	return nil
}

// IsRelay reports whether the VM is a relay, which watches the store. If the core
// duty does not respond, it returns the last result.
func (s *Service) IsRelay() bool {
	if relay, ok := query(s.core, Machine.IsRelay); ok {
		s.lastIsRelay.Store(relay)
	}
	return s.lastIsRelay.Load()
}

// HasTable reports whether the VM has any entry of the table. If the core duty does
// not respond, it returns the last result.
func (s *Service) HasTable() bool {
	if version, ok := query(s.core, Machine.TableVersion); ok {
		s.lastHasTable.Store(version > 0)
	}
	return s.lastHasTable.Load()
}

// LiveKeys returns the keys of the VM's table. If the core duty does not respond, it
// returns none, which only delays deletions until the next full read.
func (s *Service) LiveKeys() []string {
	keys, _ := query(s.core, Machine.TableKeys)
	return keys
}

// LogStoreError logs a failed attempt to read or watch the table.
func (s *Service) LogStoreError(err error) {
	s.log.Log(events.StoreFailed, events.F("error", err))
}

// query runs fn on the core duty and returns its result. ok is false if the command
// is refused, the state machine does not implement Machine, or queryTimeout passes.
func query[T any](c Core, fn func(Machine) T) (result T, ok bool) {
	results := make(chan T, 1)
	unsupported := make(chan struct{})
	err := c.Do(func(_ time.Duration, m core.Machine) []message.Message {
		if machine, ok := m.(Machine); ok {
			results <- fn(machine)
			return nil
		}
		close(unsupported)
		return nil
	})
	if err != nil {
		return result, false
	}
	timer := time.NewTimer(queryTimeout)
	defer timer.Stop()
	select {
	case result = <-results:
		return result, true
	case <-unsupported:
	case <-timer.C:
	}
	return result, false
}
