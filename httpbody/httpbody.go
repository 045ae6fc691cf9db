// Package httpbody bounds the time of HTTP calls whose answers may be large: a call fails when it
// makes no progress, not because its answer takes long on a slow link.
package httpbody

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// ErrTooLarge means that an answer is larger than its limit.
var ErrTooLarge = errors.New("answer is too large")

// minRate is the lowest rate in bytes per second at which an answer counts as in progress: a fifth
// of the slowest link of a VM, 10 Mbit/s, which packets of callers and other answers share.
const minRate = 250_000

// Allowance returns the time that an answer of the given size may take beyond the timeout of its
// call.
func Allowance(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / minRate
}

// Deadline ends one call. It is not safe for concurrent use.
type Deadline struct {
	at     time.Time
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// Start returns a context for one call and its deadline. The context ends after timeout, and later
// as the answer is read by ReadAll. Stop must be called at the end of the call.
func Start(ctx context.Context, timeout time.Duration) (context.Context, *Deadline) {
	ctx, cancel := context.WithCancelCause(ctx)
	d := &Deadline{at: time.Now().Add(timeout), cancel: cancel}
	d.timer = time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	return ctx, d
}

// Stop ends the call's context.
func (d *Deadline) Stop() {
	d.timer.Stop()
	d.cancel(context.Canceled)
}

// ReadAll reads an answer of at most limit bytes. size is its announced size, -1 if there is none.
// It returns ErrTooLarge, as soon as that is known, or the error of r.
func (d *Deadline) ReadAll(r io.Reader, size, limit int64) ([]byte, error) {
	if size > limit {
		return nil, fmt.Errorf("%d bytes: %w", size, ErrTooLarge)
	}
	data, err := io.ReadAll(&progressReader{deadline: d, reader: io.LimitReader(r, limit+1)})
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("more than %d bytes: %w", limit, ErrTooLarge)
	}
	return data, nil
}

// progressReader moves the deadline with each byte that is read.
type progressReader struct {
	deadline *Deadline
	reader   io.Reader
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.reader.Read(b)
	if n > 0 {
		p.deadline.at = p.deadline.at.Add(Allowance(n))
		p.deadline.timer.Reset(time.Until(p.deadline.at))
	}
	return n, err
}
