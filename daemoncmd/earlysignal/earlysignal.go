// Package earlysignal makes a process ignore SIGHUP from its first moments on. A
// signal that arrives before the daemon waits for signals would end the process; the
// settings are read later anyway. Commands import it for its effect only.
//
// A constructor does it before the Go runtime starts; without cgo, the initializer of
// this package does. It imports little, so that it is initialized before nearly all
// other packages: Go initializes packages in the order of their paths as soon as their
// imports are.
package earlysignal

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }
