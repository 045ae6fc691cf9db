// Package soak runs gypsumflowd as separate processes on this machine and disturbs
// them from outside, by a seeded plan: processes are killed, stopped, paused and told
// to read changed settings, their connections to the store are reset, delayed and
// silenced by a proxy, the store has outages, targets crash, drain and give their
// addresses to another service, the configuration changes. Callers use open flows all
// the while. Promises are checked from what callers and targets see.
//
// It ends only processes that it has started.
package soak

import "errors"

// Errors of a soak.
var (
	// ErrPromise means that a promise was broken.
	ErrPromise = errors.New("a promise was broken")
	// ErrSetup means that the fleet could not be started.
	ErrSetup = errors.New("fleet can't be started")
)
