package lab

import "errors"

// Errors of package lab.
var (
	// ErrInvalidWorkload means that a workload file is invalid.
	ErrInvalidWorkload = errors.New("invalid workload")
	// ErrInvalidOption means that an option is invalid.
	ErrInvalidOption = errors.New("invalid option")
	// ErrFlowsNotOpen means that not all flows were bound before the timeout.
	ErrFlowsNotOpen = errors.New("flows could not be opened")
	// ErrPromiseBroken means that a run completed and violated an invariant of the
	// system: a wrong answer, a double execution, a false "not run", an execution at
	// a target of another service, or a condition that LoadOptions adds.
	ErrPromiseBroken = errors.New("a promise was broken")
	// ErrRecordsUnavailable means that a target's oracle endpoints could not be read.
	ErrRecordsUnavailable = errors.New("target's records are not available")
	// ErrHTTP means that an HTTP request failed or its response is not usable.
	ErrHTTP = errors.New("HTTP request failed")
	// ErrNotReached means that VMs did not reach the expected state in time.
	ErrNotReached = errors.New("expected state was not reached in time")
)
