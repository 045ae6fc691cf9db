package lab

import "errors"

// Errors of the lab.
var (
	// ErrWorkload means that a workload file is invalid.
	ErrWorkload = errors.New("invalid workload")
	// ErrOption means that an option is invalid.
	ErrOption = errors.New("invalid option")
	// ErrNotOpen means that the fleet did not bind all flows in time.
	ErrNotOpen = errors.New("flows could not be opened")
	// ErrPromiseBroken means that a run ended and broke an invariant of the
	// system: a wrong answer, a double execution, a false "not run", or work at a
	// target of another service.
	ErrPromiseBroken = errors.New("a promise was broken")
	// ErrTarget means that a target's oracle can't be read.
	ErrTarget = errors.New("target's records are not available")
	// ErrHTTP means that an HTTP request got no usable answer.
	ErrHTTP = errors.New("no usable answer over HTTP")
	// ErrNotReached means that VMs did not reach the wanted state in time.
	ErrNotReached = errors.New("wanted state was not reached in time")
)
