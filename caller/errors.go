package caller

import (
	"errors"
	"fmt"

	"github.com/gypsumspan/gypsumspan/caller/session"
	"github.com/gypsumspan/gypsumspan/kernel"
)

// Errors of the client. An error of Flow.Do wraps one or two of them, and the
// error of package session that caused it.
var (
	// ErrNotRun means that the request was not executed and never will be. It is
	// safe to send it again.
	ErrNotRun = errors.New("request was not run")
	// ErrMayHaveRun means that it is unknown whether the request was executed.
	ErrMayHaveRun = errors.New("request may have run")
	// ErrDeadline means that no answer came before the deadline.
	ErrDeadline = errors.New("deadline passed")
	// ErrCancelled means that the context was cancelled.
	ErrCancelled = errors.New("cancelled")
	// ErrTooLarge means that the payload exceeds 64 parts of 1200 bytes each.
	ErrTooLarge = errors.New("payload is too large")
	// ErrClosed means that the flow or the client was closed.
	ErrClosed = errors.New("closed")
	// ErrOverloaded means that the client's command queue is full. Nothing was sent.
	ErrOverloaded = errors.New("too many calls wait for the session")
	// ErrNoFabric means that Config names neither addresses nor a transport.
	ErrNoFabric = errors.New("no fabric address and no transport")
)

// translations maps errors of the layers below to errors of this package.
var translations = []struct{ from, to error }{
	{session.ErrDeadline, ErrDeadline},
	{session.ErrCancelled, ErrCancelled},
	{session.ErrFlowClosed, ErrClosed},
	{session.ErrUnknownFlow, ErrClosed},
	{session.ErrTooLarge, ErrTooLarge},
	{session.ErrNotRun, ErrNotRun},
	{session.ErrMayHaveRun, ErrMayHaveRun},
	{kernel.ErrRingClosed, ErrClosed},
	{kernel.ErrRingFull, ErrOverloaded},
}

// callError wraps errors of this package and their cause.
type callError struct {
	sentinels []error
	cause     error
}

// Error implements error.
func (e *callError) Error() string {
	return fmt.Sprintf("call: %v", e.cause)
}

// Unwrap returns the sentinel errors of this package and the cause.
func (e *callError) Unwrap() []error {
	return append(e.sentinels[:len(e.sentinels):len(e.sentinels)], e.cause)
}

// Translate wraps an error of package session or kernel in the errors of this package
// that it stands for. It returns nil for nil.
func Translate(cause error) error {
	if cause == nil {
		return nil
	}
	e := &callError{cause: cause}
	for _, t := range translations {
		if errors.Is(cause, t.from) {
			e.sentinels = append(e.sentinels, t.to)
		}
	}
	return e
}
