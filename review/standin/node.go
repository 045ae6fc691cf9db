package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is a machine of the system with its one process.
type node struct {
	name       string
	ip         netip.Addr
	settings   string
	inRotation bool // guarded by the router

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	exit    error
}

func (n *node) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(n.ip, port) }

// writeSettings fills in the template of the deploy file as the platform does.
func (n *node) writeSettings(folder string, d *deployment, seeds []netip.AddrPort) error {
	template, err := os.ReadFile("deploy/vm.toml.template")
	if err != nil {
		return err
	}
	list := make([]string, 0, len(seeds))
	for _, s := range seeds {
		list = append(list, fmt.Sprintf("%q", s))
	}
	quote := func(v any) string { return fmt.Sprintf("%q", fmt.Sprint(v)) }
	text := strings.NewReplacer(
		"{{node_name|json}}", quote(n.name),
		"{{zone|json}}", quote(zoneName),
		"{{listen_addrs.datagram_addr|json}}", quote(n.at(d.datagramPort)),
		"{{listen_addrs.ready|json}}", quote(n.at(d.readyPort)),
		"{{listen_addrs.control|json}}", quote(n.at(d.controlPort)),
		"{{ip}}", n.ip.String(),
		"{{internal_port_range.0}}", fmt.Sprint(d.internalPort),
		"{{platform.address|json}}", quote(d.storeAddress),
		"{{bounds.config_apply_ms}}", "3000",
		"{{bounds.grace_s}}", "6",
		"{{#seeds}}{{.|json}}{{,}}{{/seeds}}", strings.Join(list, ","),
	).Replace(string(template))
	n.settings = filepath.Join(folder, n.name+".toml")
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start(folder string) error {
	log, err := os.OpenFile(filepath.Join(folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/gypsumflowd", "run", "--config-env", "GYPSUMSPAN_BOOT")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GYPSUMSPAN_BOOT=" + n.settings}
	command.Stdout, command.Stderr = log, log
	// The process ends with this one, whatever ends it.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		log.Close()
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.command, n.exited = command, exited
	n.mu.Unlock()
	go func() {
		err := command.Wait()
		log.Close()
		n.mu.Lock()
		n.exit = err
		n.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.command.Process.Signal(s)
}

// hasExited reports whether the process has ended.
func (n *node) hasExited() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// end kills the process and waits for its end.
func (n *node) end() {
	n.mu.Lock()
	command, exited := n.command, n.exited
	n.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Process.Kill()
	select {
	case <-exited:
	case <-time.After(5 * time.Second):
	}
}
