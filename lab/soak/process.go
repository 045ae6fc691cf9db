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

// Ports of a VM and, packetsPort, of callers. Each run has addresses of its own.
const (
	packetsPort   = 7400
	beatsPort     = 7401
	controlPort   = 7402
	readinessPort = 7403
	storePort     = 7404
)

// stopGrace is the time that a VM has for a planned stop.
const stopGrace = 4 * time.Second

// vm is one VM: a process that is started again when it has ended.
type vm struct {
	name   string
	domain string
	ip     netip.Addr
	dir    string
	daemon string // path of gypsumflowd
	store  netip.AddrPort
	proxy  *proxy
	broken func(format string, values ...any)

	mu       sync.Mutex
	process  *exec.Cmd
	expected bool // the end of the process is ours
	closing  bool
	ready    bool // as the routers see it
	misses   int
	ended    chan struct{} // closed when the process has ended
}

func (v *vm) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(v.ip, port) }

// route leads every packet to this VM.
func (v *vm) route(*flowends.Flow) netip.AddrPort { return v.at(packetsPort) }

func (v *vm) settingsFile() string { return filepath.Join(v.dir, v.name+".toml") }

// writeSettings writes the settings, with extra lines at the end.
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
%s`, v.name, v.domain, v.at(packetsPort), v.at(readinessPort), v.at(beatsPort), v.at(controlPort), v.store, stopGrace, extra)
	return os.WriteFile(v.settingsFile(), []byte(text), 0o600)
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
	ended := make(chan struct{})
	v.mu.Lock()
	v.process, v.expected, v.ended = cmd, false, ended
	v.mu.Unlock()
	go v.wait(cmd, log, ended)
	return nil
}

// wait waits for the end of the process and starts it again.
func (v *vm) wait(cmd *exec.Cmd, log *os.File, ended chan struct{}) {
	const restartDelay = 100 * time.Millisecond
	err := cmd.Wait()
	log.Close()
	v.mu.Lock()
	expected, closing := v.expected, v.closing
	v.process, v.ready = nil, false
	v.mu.Unlock()
	close(ended)
	if !expected && !closing {
		v.broken("%s ended by itself: %v", v.name, err)
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
		v.broken("%s can't be started again: %v", v.name, err)
	}
}

// signal sends a signal; end says that the process ends by it.
func (v *vm) signal(s syscall.Signal, end bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return
	}
	if end {
		v.expected = true
	}
	// A process that has just ended takes no signal.
	_ = v.process.Process.Signal(s)
}

// stop ends the process for good.
func (v *vm) stop() {
	v.mu.Lock()
	v.closing = true
	ended := v.ended
	v.mu.Unlock()
	v.signal(syscall.SIGKILL, true)
	if ended != nil {
		<-ended
	}
	v.proxy.close()
}

// check plays one check of the routers: two misses take the VM out of rotation.
func (v *vm) check(client *http.Client) {
	const misses = 2
	response, err := client.Get("http://" + v.at(readinessPort).String() + "/readyz")
	ok := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		response.Body.Close()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if ok {
		v.misses, v.ready = 0, true
		return
	}
	v.misses++
	if v.misses >= misses {
		v.ready = false
	}
}

func (v *vm) inRotation() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ready
}
