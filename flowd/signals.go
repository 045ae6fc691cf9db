package flowd

import (
	"context"
	"os"
	"reflect"
	"syscall"
	"time"

	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/logs"
	"github.com/gypsumspan/gypsumspan/settings/flowsettings"
)

// reloadInterval is the time between two checks of the settings file, which may
// change without a signal.
const reloadInterval = 5 * time.Second

// signalService is the service "signals": it starts the planned stop and reloads
// the settings file.
type signalService struct {
	file     string
	settings *flowsettings.Settings // in force
	signals  <-chan os.Signal
	leave    func()
	logger   *events.Logger
	log      logs.Log
	modTime  time.Time
}

func newSignalService(file string, s *flowsettings.Settings, signals <-chan os.Signal, leave func(), logger *events.Logger) *signalService {
	return &signalService{file: file, settings: s, signals: signals, leave: leave, logger: logger}
}

// Name implements kernel.Service.
func (s *signalService) Name() string { return "signals" }

// Dependencies implements kernel.Service.
func (s *signalService) Dependencies() []string { return []string{logs.Name} }

// Setup implements kernel.Service.
func (s *signalService) Setup(*kernel.Kernel) error { return nil }

// Connect implements kernel.Service.
func (s *signalService) Connect(k *kernel.Kernel) error {
	var err error
	if s.log, err = kernel.Lookup[logs.Log](k, logs.Name); err != nil {
		return err
	}
	s.modTime = modTime(s.file)
	k.AddBlocker(kernel.Blocker{Name: "signals", Run: s.run})
	return nil
}

func (s *signalService) run(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case sig := <-s.signals:
			if sig == syscall.SIGHUP {
				s.reload()
				continue
			}
			s.log.Log(events.LeaveStarted,
				events.F("vm", s.settings.VM.Name),
				events.F("signal", sig),
				events.F("grace", s.settings.Timings.StopGrace))
			s.leave()
		case <-ticker.C:
			if modTime(s.file) != s.modTime {
				s.reload()
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// modTime returns the file's modification time, or zero if it can't be read.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reloads the settings file. An invalid file has no effect. Only the log level
// changes without a restart; whether other settings have changed is logged.
func (s *signalService) reload() {
	s.modTime = modTime(s.file)
	loaded, err := flowsettings.Load(s.file)
	if err != nil {
		s.log.Log(events.SettingsRejected, events.F("file", s.file), events.F("error", err))
		return
	}
	s.logger.SetLevel(loaded.Log.Level)
	compared := *loaded
	compared.Log.Level = s.settings.Log.Level
	s.log.Log(events.SettingsReloaded,
		events.F("file", s.file),
		events.F("level", loaded.Log.Level),
		events.F("restart_needed", !reflect.DeepEqual(compared, *s.settings)))
}
