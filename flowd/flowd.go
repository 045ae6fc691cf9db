// Package flowd assembles and runs one VM that forwards packets of opaque flows on the
// users' platform: the kernel, the services and the platform's formats.
// cmd/gypsumflowd is a thin main package over it.
package flowd

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/gypsumspan/gypsumspan/daemoncmd"
	"github.com/gypsumspan/gypsumspan/decide/coldstart"
	"github.com/gypsumspan/gypsumspan/decide/forward"
	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/platform"
	"github.com/gypsumspan/gypsumspan/services/catalogwatch"
	"github.com/gypsumspan/gypsumspan/services/control"
	"github.com/gypsumspan/gypsumspan/services/drain"
	"github.com/gypsumspan/gypsumspan/services/flowmetrics"
	"github.com/gypsumspan/gypsumspan/services/logs"
	"github.com/gypsumspan/gypsumspan/services/packets"
	"github.com/gypsumspan/gypsumspan/services/pulls"
	"github.com/gypsumspan/gypsumspan/services/readiness"
	relayservice "github.com/gypsumspan/gypsumspan/services/relay"
	"github.com/gypsumspan/gypsumspan/settings/flowsettings"
	"github.com/gypsumspan/gypsumspan/wire/relaywire"
)

// ErrAssemble means that a component of the daemon could not be created.
var ErrAssemble = errors.New("daemon can't be assembled")

const (
	// stopMargin is the part of the stop grace that is reserved for ending the process.
	stopMargin = 1500 * time.Millisecond
	// gcPercent is the growth of the heap, in percent, that starts a garbage collection.
	// The heap is small and memory is scarce, so that collections start early.
	gcPercent = 30
	// memberPrefix is the key prefix of the VMs' own entries in the store.
	memberPrefix = "gypsumspan/vms/"
	// permitPrefix is the key prefix of the permits for cold targets.
	permitPrefix = "gypsumspan/permits/"
	// snapshotKey is the key of the snapshot from which VMs start.
	snapshotKey = "gypsumspan/snapshot"
	// snapshotInterval is the minimum time between two snapshots. The platform's stores keep
	// 20 s of history; with half of it the changes after a snapshot are still available
	// when a VM starts, also after an outage of some seconds.
	snapshotInterval = 10 * time.Second
	// snapshotMinKeys is the number of keys from which snapshots are written. The store
	// answers a read with up to about 500 keys, so that fewer take one call without one.
	snapshotMinKeys = 500
)

// Options configure what the settings file does not.
type Options = daemoncmd.ProcessOptions

// Run runs one VM with the settings of file until a stop signal or the end of
// ctx. It returns nil after a planned stop, ErrAssemble, or the error of the
// service that failed.
func Run(ctx context.Context, file string, s *flowsettings.Settings, o Options) error {
	o.SetDefaults()
	debug.SetGCPercent(gcPercent)
	logger := o.Logger
	if logger == nil {
		logger = events.New(o.Stdout, s.Log.Format, s.Log.Level)
	}
	signals, stopSignals := o.Notify(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer stopSignals()
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	log := logs.New(logger)
	k, err := assemble(s, log, newSignalService(file, s, signals, leave, logger))
	if err == nil {
		logger.Log(events.FlowDaemonStarted,
			events.F("vm", s.VM.Name),
			events.F("domain", s.VM.Domain),
			events.F("packets", s.Listen.Packets),
			events.F("store", s.Store.Address),
			events.F("version", o.Version))
		err = k.Run(ctx, s.Timings.StopGrace-stopMargin)
	}
	log.Drain()
	if err != nil {
		logger.Log(events.DaemonFailed, events.F("vm", s.VM.Name), events.F("error", err))
		return err
	}
	logger.Log(events.DaemonStopped, events.F("vm", s.VM.Name))
	return nil
}

// newBoot returns a random number of the process, which is not 0.
func newBoot() uint64 { return rand.Uint64() | 1 }

// assemble returns an assembled kernel: its sockets are open, its duties start with Run.
// It returns ErrAssemble.
func assemble(s *flowsettings.Settings, log *logs.Service, signals kernel.Service) (*kernel.Kernel, error) {
	seed := rand.Uint64()
	services := []kernel.Service{
		log,
		signals,
		control.New(s.Listen.Control, s.Listen.Metrics),
		readiness.New(readiness.Config{Listen: s.Listen.Readiness, Path: s.Readiness.Path}),
		packets.New(packets.Config{
			Listen:        s.Listen.Packets,
			Codec:         platform.PacketCodec{},
			Headroom:      platform.TargetPrefixSize,
			MaxPacketSize: platform.MaxPacketSize,
			Forward: forward.Config{
				Domain: s.VM.Domain, Seed: seed, ApplyWithin: s.Catalog.ApplyWithin, Regions: s.VM.Regions,
			},
		}),
		catalogwatch.New(catalogwatch.Config{
			Store: platform.NewStore(platform.StoreConfig{
				Address:        s.Store.Address.String(),
				Timeout:        s.Store.Timeout,
				WatchWait:      s.Catalog.WatchWait(),
				FirstWatchWait: s.Catalog.FirstWatchWait(),
			}),
			SnapshotKey:    snapshotKey,
			DecodeSnapshot: relaywire.DecodeSnapshot,
			BatchPause:     s.Catalog.BatchPause(),
			Seed:           seed,
		}),
		pulls.New(),
		relayservice.New(relayservice.Config{
			Machine: relay.Config{
				Self: relay.Member{
					Name:          s.VM.Name,
					Domain:        s.VM.Domain,
					HeartbeatAddr: s.Listen.Heartbeats,
					PullAddr:      s.Listen.Control,
				},
				MemberPrefix:     memberPrefix,
				SnapshotKey:      snapshotKey,
				SnapshotInterval: snapshotInterval,
				SnapshotMinKeys:  snapshotMinKeys,
				MaxAge:           s.Catalog.MaxAge(),
				NoReports:        !s.Balance.TargetReports,
				Seeds:            s.Catalog.Seeds,
				Boot:             newBoot(),
			},
			PermitPrefix: permitPrefix,
			ColdLimit:    coldstart.Limit{Overage: s.Cold.Overage, Slack: s.Cold.Slack},
			Decoder:      platform.CatalogDecoder{},
		}),
		flowmetrics.New(s.VM.Name, s.VM.Domain),
		drain.New(),
	}
	k, err := kernel.Build(services...)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrAssemble, err)
	}
	return k, nil
}
