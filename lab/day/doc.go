// Package day is a discrete-event emulator of a deployment. It plays days on one
// thread and a virtual clock: callers and targets that exchange opaque flows, routers,
// the platform's store, several failure domains, and the real services "packets" and
// "relay" of every VM on stepped kernels. Runs are deterministic: the same day and seed
// give the same result.
//
// It does not model processor time, memory and bandwidth. The services that block in
// the operating system (HTTP, sockets, calls to the store) are replaced by fakes.
//
// The emulator is made of services on one kernel: "timeline" is the event queue;
// "network", "store", "targets", "fleet" (the VMs and routers) and "callers" emulate
// what they are named after; "operator" changes the configuration; "troubles" injects
// disruptions; and "oracle" checks the promises.
package day

import "errors"

// Errors of this package.
var (
	// ErrDay means that a day file is invalid.
	ErrDay = errors.New("invalid day")
	// ErrPromiseBroken means that at least one promise of the system was broken.
	ErrPromiseBroken = errors.New("a promise was broken")
	// ErrReport means that a report can't be read, written, plotted or compared.
	ErrReport = errors.New("report can't be read or written")
)
