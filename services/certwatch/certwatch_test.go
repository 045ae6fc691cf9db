package certwatch

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/certs"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/logs"
	"github.com/gypsumspan/gypsumspan/standin/ca"
)

// Guards against a certificate that expires without a warning, warnings at an unlimited
// rate, files that are read at each step, and a rotation that is not detected.
func TestExpiryAndRotation(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	vm := certs.VM{Name: "vm-1", Domain: "north"}
	authority, err := ca.New(ca.ValidFor(100 * 24 * time.Hour))
	is.NoErr(err)
	issue := func(d time.Duration) certs.Files {
		pair, err := authority.IssueVM(vm, ca.ValidFor(d))
		is.NoErr(err)
		files, err := authority.WriteFiles(dir, vm.Name, pair)
		is.NoErr(err)
		return files
	}
	files := issue(ExpiryWarningPeriod + time.Hour)
	stepper := kernel.NewStepper(1)
	start := time.Now()
	source, err := certs.Open(certs.Config{Files: files, Now: func() time.Time { return start.Add(stepper.Now()) }})
	is.NoErr(err)
	recorder, logger := events.NewRecorder(nil)
	s := New(source, 0)
	k := kernel.NewStepped(stepper)
	is.NoErr(k.Register(logs.New(logger)))
	is.NoErr(k.Register(s))
	is.NoErr(stepper.Add(k))
	stepper.Advance(time.Hour - time.Minute)
	is.Equal(recorder.Count(events.CertificateExpires), 0)
	stepper.Advance(2 * time.Minute)
	is.Equal(recorder.Count(events.CertificateExpires), 1)
	stepper.Advance(3 * time.Hour)
	is.Equal(recorder.Count(events.CertificateExpires), 4) // one per hour
	key, err := os.ReadFile(files.Key)
	is.NoErr(err)
	is.NoErr(os.Remove(files.Key))
	stepper.Advance(DefaultInterval)
	is.Equal(recorder.Count(events.CertificatesUnusable), 1)
	is.Equal(s.Stats().Failures, uint64(1))
	is.NoErr(os.WriteFile(files.Key, key, 0o600))
	stepper.Advance(ExpiryWarningPeriod)
	is.True(recorder.Count(events.CertificateExpired) > 0)
	is.True(s.Stats().Expires.Before(source.Now()))
	issue(60 * 24 * time.Hour)
	stepper.Advance(DefaultInterval)
	is.Equal(recorder.Count(events.CertificatesReloaded), 1)
	is.Equal(s.Stats().Reloads, uint64(1))
	expired := recorder.Count(events.CertificateExpired)
	stepper.Advance(2 * time.Hour)
	is.Equal(recorder.Count(events.CertificateExpired), expired)
}
