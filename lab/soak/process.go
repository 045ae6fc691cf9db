package soak

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gypsumspan/gypsumspan/standin/flowends"
)

// Ports of VMs; packetsPort is also that of callers. Runs have different addresses.
const (
	packetsPort   = 7400
	heartbeatPort = 7401
	controlPort   = 7402
	readinessPort = 7403
	storePort     = 7404
)

// killSettleTime is the time after a kill of a VM in which another target may reset a flow whose packet
// the VM has got: what it knew of the flow is gone, and it may not have told others yet. It is the time
// after a disturbance of a VM from which the platform's rules hold for it again.
const killSettleTime = 4 * time.Second

// stopGrace bounds the graceful shutdown of a VM.
const stopGrace = 4 * time.Second

// vm is one VM: a process that is restarted when it has exited.
type vm struct {
	name            string
	domain          string
	ip              netip.Addr
	dir             string
	daemon          string // path of gypsumflowd
	storeAddress    netip.AddrPort
	proxy           *proxy
	recordViolation func(format string, values ...any)

	mu           sync.Mutex
	process      *exec.Cmd
	exitExpected bool      // the process was signaled to exit
	killedAt     time.Time // last time
	startedAt    time.Time // of the process
	closing      bool
	ready        bool // in rotation at the routers
	failedChecks int
	exited       chan struct{} // closed when the process has exited
}

func (v *vm) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(v.ip, port) }

// route routes every packet to this VM.
func (v *vm) route(*flowends.Flow) netip.AddrPort { return v.at(packetsPort) }

func (v *vm) settingsFile() string { return filepath.Join(v.dir, v.name+".toml") }

// writeSettings writes the settings file, with the text extra at the end.
func (v *vm) writeSettings(extra string) error {
	text := fmt.Sprintf(`[vm]
name = %q
domain = %q
[listen]
packets = %q
readiness = %q
beats = %q
control = %q
[store]
address = %q
timeout = "400ms"
[timings]
stop_grace = %q
[cold]
overage = %v
slack = %d
%s`, v.name, v.domain, v.at(packetsPort), v.at(readinessPort), v.at(heartbeatPort), v.at(controlPort), v.storeAddress, stopGrace, coldOverage, coldSlack, extra)
	// A process that starts meanwhile must not read a part of the file.
	temporary := v.settingsFile() + ".new"
	if err := os.WriteFile(temporary, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, v.settingsFile())
}

// start starts the process. Its log is appended to a file.
func (v *vm) start() error {
	log, err := os.OpenFile(filepath.Join(v.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(v.daemon, "run", "--config", v.settingsFile())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.process, v.exitExpected, v.exited, v.startedAt = cmd, false, exited, time.Now()
	v.mu.Unlock()
	go v.wait(cmd, log, exited)
	return nil
}

// wait waits until the process exits, and restarts it unless the VM is closing.
func (v *vm) wait(cmd *exec.Cmd, log *os.File, exited chan struct{}) {
	const restartDelay = 100 * time.Millisecond
	err := cmd.Wait()
	log.Close()
	v.mu.Lock()
	exitExpected, closing := v.exitExpected, v.closing
	v.process, v.ready = nil, false
	v.mu.Unlock()
	close(exited)
	if !exitExpected && !closing {
		v.recordViolation("%s ended by itself: %v", v.name, err)
	}
	if closing {
		return
	}
	time.Sleep(restartDelay)
	v.mu.Lock()
	closing = v.closing
	v.mu.Unlock()
	if closing {
		return
	}
	if err := v.start(); err != nil {
		v.recordViolation("%s can't be started again: %v", v.name, err)
	}
}

// signal sends a signal to the process. endsProcess means that the process is expected to
// exit.
func (v *vm) signal(s syscall.Signal, endsProcess bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return
	}
	if endsProcess {
		v.exitExpected = true
	}
	if s == syscall.SIGKILL {
		v.killedAt = time.Now()
	}
	// Signaling a process that has just exited fails.
	_ = v.process.Process.Signal(s)
}

// killedLately reports whether the VM was killed less than killSettleTime ago.
func (v *vm) killedLately() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.killedAt) < killSettleTime
}

// hasRunFor reports whether the process has run for a time.
func (v *vm) hasRunFor(d time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process != nil && time.Since(v.startedAt) >= d
}

// stop kills the process and does not restart it.
func (v *vm) stop() {
	v.mu.Lock()
	v.closing = true
	exited := v.exited
	v.mu.Unlock()
	v.signal(syscall.SIGKILL, true)
	if exited != nil {
		<-exited
	}
	v.proxy.close()
}

// checkReadiness emulates one readiness check by the routers. Two failures in a row take
// the VM out of rotation.
func (v *vm) checkReadiness(client *http.Client) {
	const maxFailedChecks = 2
	response, err := client.Get("http://" + v.at(readinessPort).String() + "/readyz")
	ok := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		response.Body.Close()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if ok {
		v.failedChecks, v.ready = 0, true
		return
	}
	v.failedChecks++
	if v.failedChecks >= maxFailedChecks {
		v.ready = false
	}
}

func (v *vm) inRotation() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ready
}
