package lab

import "errors"

// Errors of the lab.
var (
	// ErrInvalidWorkload means that a workload file is invalid.
	ErrInvalidWorkload = errors.New("invalid workload")
	// ErrInvalidOption means that an option is invalid.
	ErrInvalidOption = errors.New("invalid option")
	// ErrFlowsNotOpen means that the fleet did not bind all flows in time.
	ErrFlowsNotOpen = errors.New("flows could not be opened")
	// ErrPromiseBroken means that a run ended and broke an invariant of the
	// system: a wrong answer, a double execution, a false "not run", or work at a
	// target of another service.
	ErrPromiseBroken = errors.New("a promise was broken")
	// ErrRecordsUnavailable means that a target's oracle can't be read.
	ErrRecordsUnavailable = errors.New("target's records are not available")
	// ErrHTTP means that an HTTP request got no usable answer.
	ErrHTTP = errors.New("no usable answer over HTTP")
	// ErrNotReached means that VMs did not reach the wanted state in time.
	ErrNotReached = errors.New("wanted state was not reached in time")
)
