// Package day plays days of a deployment on one thread and a virtual clock: callers
// and targets that speak in opaque flows, routers, the platform's store, several
// failure domains, and the real services "packets" and "relay" of every VM on
// stepped kernels. The same day and seed give the same result.
//
// What it does not model: processor time, memory, bandwidth, and the services that
// wait in the operating system (HTTP, sockets, the calls to the store), which have
// fakes here.
//
// The parts are services of one kernel: "timeline" holds what is due, "network",
// "store", "targets", "fleet" and "callers" play their namesakes, "operator" changes
// the configuration, "troubles" disturbs them, and "oracle" checks the promises.
package day

import "errors"

// Errors of days.
var (
	// ErrDay means that a day file is invalid.
	ErrDay = errors.New("invalid day")
	// ErrPromise means that a promise of the system was broken.
	ErrPromise = errors.New("a promise was broken")
	// ErrReport means that a report can't be read or written.
	ErrReport = errors.New("report can't be read or written")
)
