package kernel

import "errors"

// Errors of the kernel. Errors of services and blockers are wrapped with their name.
var (
	// ErrUnknownService is returned when no service has the requested name.
	ErrUnknownService = errors.New("unknown service")
	// ErrWrongType is returned when a service does not implement the requested interface.
	ErrWrongType = errors.New("service does not implement the requested interface")
	// ErrDuplicateName is returned when two services have the same name.
	ErrDuplicateName = errors.New("duplicate service name")
	// ErrDependencyCycle is returned when services depend on each other in a cycle.
	ErrDependencyCycle = errors.New("services depend on each other in a cycle")
	// ErrRingFull is returned by Put on a full ring with policy Refuse, and on a
	// full ring with policy Block in a stepped kernel.
	ErrRingFull = errors.New("ring is full")
	// ErrRingClosed is returned by Put after Close.
	ErrRingClosed = errors.New("ring is closed")
	// ErrPanic is returned after a panic in a duty or blocker. The text of the error that
	// wraps it has the panic's value.
	ErrPanic = errors.New("panic in duty")
)
