// Package earlysignal makes a process ignore SIGHUP as early as possible. A SIGHUP that
// arrives before the daemon handles signals would terminate the process; ignoring it is
// safe, since the settings are read later. Commands import the package for its side effect.
//
// With cgo, a constructor ignores the signal before the Go runtime starts. Without cgo,
// the package's init function does. The package has few imports, so that it is
// initialized before nearly all others: Go initializes packages in the order of their
// import paths, each after its imports.
package earlysignal

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }
