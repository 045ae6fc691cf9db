package kernel

import (
	"context"
	"time"
)

const (
	// freeFailures is the number of consecutive failures without a pause: errors of earlier
	// datagrams, which ICMP reports at a socket, come one by one.
	freeFailures = 8
	// failurePause is the pause after each further failure.
	failurePause = 10 * time.Millisecond
)

// ErrorPause paces a blocker that repeats a failing call, so that an error that lasts does
// not make it spin. The zero value is ready for use. It is not safe for concurrent use.
type ErrorPause struct {
	failures int
}

// Succeeded records a call without an error.
func (p *ErrorPause) Succeeded() { p.failures = 0 }

// Wait records a failed call and pauses if many have failed in a row, until ctx ends at the
// latest.
func (p *ErrorPause) Wait(ctx context.Context) {
	d := p.next()
	if d == 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// next records a failed call and returns the pause after it.
func (p *ErrorPause) next() time.Duration {
	p.failures++
	if p.failures <= freeFailures {
		return 0
	}
	return failurePause
}
