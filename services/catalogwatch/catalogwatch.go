// Package catalogwatch is the service "catalogwatch": it reads routes and targets
// from the platform's store, watches them, and hands every change to the service
// "packets". Each part of the catalog has a duty of its own.
package catalogwatch

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/retry"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/logs"
	"github.com/gypsumspan/gypsumspan/services/packets"
	"github.com/gypsumspan/gypsumspan/store"
)

// Name is the service's name.
const Name = "catalogwatch"

const (
	// firstRetry and lastRetry bound the delay after a failed call. A VM has four
	// seconds after the store's return to be up to date.
	firstRetry = 200 * time.Millisecond
	lastRetry  = time.Second
)

// ErrCatalog means that a part of the catalog was not received from the store.
var ErrCatalog = errors.New("catalog was not received from the store")

// Decoder decodes values of the store.
type Decoder interface {
	Configuration(value []byte) (*catalog.Configuration, error)
	Target(id string, value []byte) (*catalog.Entry, error)
}

// Inbox takes the changes; it is the service "packets".
type Inbox interface {
	Put(in packets.Input) error
}

// Config configures the service.
type Config struct {
	Store            store.Store
	Decoder          Decoder
	ConfigurationKey string
	TargetPrefix     string
	Seed             uint64 // of the jitter
}

// Stats counts since start.
type Stats struct {
	Reads    uint64 // pages read
	Polls    uint64 // answers of watches
	Failures uint64 // failed calls
	Changes  uint64 // changes handed on
	Invalid  uint64 // values that could not be decoded
}

// Service is the service "catalogwatch".
type Service struct {
	config Config
	inbox  Inbox
	log    logs.Log

	reads    atomic.Uint64
	polls    atomic.Uint64
	failures atomic.Uint64
	changes  atomic.Uint64
	invalid  atomic.Uint64
}

// New returns the service.
func New(config Config) *Service { return &Service{config: config} }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{logs.Name, packets.Name} }

// Setup implements kernel.Service.
func (s *Service) Setup(*kernel.Kernel) error { return nil }

// Connect implements kernel.Service.
func (s *Service) Connect(k *kernel.Kernel) error {
	var err error
	if s.inbox, err = kernel.Lookup[Inbox](k, packets.Name); err != nil {
		return err
	}
	if s.log, err = kernel.Lookup[logs.Log](k, logs.Name); err != nil {
		return err
	}
	for _, part := range []catalog.Part{catalog.ConfigurationPart, catalog.TargetsPart} {
		p := newPart(s, part)
		k.AddBlocker(kernel.Blocker{Name: "catalogwatch." + part.String(), Run: p.run})
	}
	return nil
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	return Stats{
		Reads:    s.reads.Load(),
		Polls:    s.polls.Load(),
		Failures: s.failures.Load(),
		Changes:  s.changes.Load(),
		Invalid:  s.invalid.Load(),
	}
}

// part reads and watches one part of the catalog. One duty uses it.
type part struct {
	service  *Service
	name     catalog.Part
	span     store.Span
	known    map[string]int64 // keys in the store, with the revision of the last write
	revision int64            // everything up to it was handed on; 0: nothing yet
	failing  bool
	retries  int
	backoff  *retry.Backoff
}

func newPart(s *Service, name catalog.Part) *part {
	p := &part{service: s, name: name, known: make(map[string]int64)}
	p.span = store.Key(s.config.ConfigurationKey)
	if name == catalog.TargetsPart {
		p.span = store.Prefix(s.config.TargetPrefix)
	}
	p.backoff = retry.NewBackoff(retry.BackoffConfig{Base: firstRetry, Max: lastRetry}, s.config.Seed+uint64(name))
	return p
}

// run keeps the part up to date until ctx ends.
func (p *part) run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := p.follow(ctx)
		if ctx.Err() != nil || errors.Is(err, kernel.ErrRingClosed) {
			return nil
		}
		if errors.Is(err, store.ErrCompacted) {
			p.revision = 0
		}
		if err := p.failed(err); err != nil {
			return nil
		}
		p.retries++
		if sleep(ctx, p.backoff.Delay(p.retries, firstRetry)) != nil {
			return nil
		}
	}
	return nil
}

// follow reads the part if nothing of it is known, then watches it until an error.
func (p *part) follow(ctx context.Context) error {
	if p.revision == 0 {
		if err := p.read(ctx); err != nil {
			return err
		}
	}
	watcher, err := p.service.config.Store.Watch(ctx, p.span, p.revision+1)
	if err != nil {
		return fmt.Errorf("%w: watch %s: %w", ErrCatalog, p.name, err)
	}
	defer watcher.Close()
	for {
		batch, err := watcher.Next()
		if err != nil {
			return fmt.Errorf("%w: watch %s: %w", ErrCatalog, p.name, err)
		}
		p.service.polls.Add(1)
		if err := p.answered(); err != nil {
			return err
		}
		for _, e := range batch.Events {
			if err := p.hand(e.KV, e.Deleted); err != nil {
				return err
			}
		}
		p.revision = batch.Revision
	}
}

// read hands the whole part on, page by page, and a removal for each key that is
// known and no longer in the store. Pages are not a snapshot, so that the watch
// continues from the revision of the first page.
func (p *part) read(ctx context.Context) error {
	request := store.RangeRequest{Span: p.span}
	found := make(map[string]struct{})
	var from int64
	for more := true; more; {
		page, err := p.service.config.Store.Range(ctx, request)
		if err != nil {
			return fmt.Errorf("%w: read %s: %w", ErrCatalog, p.name, err)
		}
		p.service.reads.Add(1)
		if from == 0 {
			from = page.Revision
		}
		if err := p.answered(); err != nil {
			return err
		}
		for _, kv := range page.KVs {
			found[kv.Key] = struct{}{}
			request.After = kv.Key
			if err := p.hand(kv, false); err != nil {
				return err
			}
		}
		more = page.More && len(page.KVs) > 0
	}
	for key, revision := range p.known {
		if _, ok := found[key]; ok || revision > from {
			continue
		}
		if err := p.hand(store.KV{Key: key, ModRevision: from}, true); err != nil {
			return err
		}
	}
	p.revision = from
	return p.put(catalog.Change{Revision: from, Synced: p.name})
}

// hand decodes one write and hands it on.
func (p *part) hand(kv store.KV, deleted bool) error {
	if deleted {
		delete(p.known, kv.Key)
	} else {
		p.known[kv.Key] = kv.ModRevision
	}
	change, ok := p.decode(kv, deleted)
	if !ok {
		return nil
	}
	return p.put(change)
}

// decode returns the change that a write stands for; ok is false without one. A
// value that can't be decoded removes a target and leaves the configuration.
func (p *part) decode(kv store.KV, deleted bool) (catalog.Change, bool) {
	change := catalog.Change{Revision: kv.ModRevision}
	if p.name == catalog.ConfigurationPart {
		if deleted || kv.Key != p.span.Key {
			return change, false
		}
		c, err := p.service.config.Decoder.Configuration(kv.Value)
		if err != nil {
			p.service.logInvalid(kv, err)
			return change, false
		}
		change.Configuration = c
		return change, true
	}
	id := strings.TrimPrefix(kv.Key, p.span.Key)
	if deleted {
		change.Gone = id
		return change, id != ""
	}
	entry, err := p.service.config.Decoder.Target(id, kv.Value)
	if err != nil {
		p.service.logInvalid(kv, err)
		change.Gone = id
		return change, id != ""
	}
	change.Target = entry
	return change, true
}

func (p *part) put(c catalog.Change) error {
	p.service.changes.Add(1)
	return p.putInput(packets.Input{Change: c})
}

func (p *part) putInput(in packets.Input) error {
	if err := p.service.inbox.Put(in); err != nil {
		return fmt.Errorf("hand on %s: %w", p.name, err)
	}
	return nil
}

// failed notes a failed call.
func (p *part) failed(err error) error {
	p.service.failures.Add(1)
	if p.failing {
		return nil
	}
	p.failing = true
	p.service.log.Log(events.StoreLost, events.F("part", p.name), events.F("error", err))
	return p.putInput(packets.Input{Store: packets.StoreLost})
}

// answered notes an answer of the store.
func (p *part) answered() error {
	p.retries = 0
	if !p.failing {
		return nil
	}
	p.failing = false
	p.service.log.Log(events.StoreRegained, events.F("part", p.name))
	return p.putInput(packets.Input{Store: packets.StoreRegained})
}

func (s *Service) logInvalid(kv store.KV, err error) {
	s.invalid.Add(1)
	s.log.Log(events.CatalogValueInvalid,
		events.F("key", kv.Key),
		events.F("revision", kv.ModRevision),
		events.F("error", err))
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
