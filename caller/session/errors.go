package session

import "errors"

// Errors of calls and of the session's methods. A Result's error wraps one or more
// of the first six; errors.Is matches each of them.
var (
	// ErrNotRun means that the request was not executed and never will be.
	ErrNotRun = errors.New("request was not run")
	// ErrMayHaveRun means that it is unknown whether the request was executed.
	ErrMayHaveRun = errors.New("request may have run")
	// ErrDeadline means that no answer came before the call's deadline, or that the
	// timeout of a call is not positive.
	ErrDeadline = errors.New("deadline passed")
	// ErrCancelled means that Cancel ended the call.
	ErrCancelled = errors.New("call was cancelled")
	// ErrFlowClosed means that CloseFlow ended the call.
	ErrFlowClosed = errors.New("flow was closed")
	// ErrBudget means that the retry budget allowed no further attempt.
	ErrBudget = errors.New("retry budget is exhausted")
	// ErrTooLarge means that the payload needs more than message.MaxParts parts.
	ErrTooLarge = errors.New("payload is too large")
	// ErrUnknownFlow means that the session has no such flow.
	ErrUnknownFlow = errors.New("unknown flow")
)
