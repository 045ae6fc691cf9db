// Package soak runs gypsumflowd as processes on this machine and injects random faults,
// which a seed determines: processes are killed, stopped, paused and signaled to reload
// changed settings; a proxy resets, delays or blackholes their connections to the store;
// the store has outages; targets crash and drain, and their addresses are reused by
// another service; the configuration changes. Callers send requests on open flows
// meanwhile. Promises are checked from what callers and targets observe.
//
// The package signals only processes that it has started.
package soak

import "errors"

// Errors of this package.
var (
	// ErrPromiseBroken means that at least one promise of the system was broken.
	ErrPromiseBroken = errors.New("a promise was broken")
	// ErrSetup means that the fleet could not be started.
	ErrSetup = errors.New("fleet can't be started")
)
