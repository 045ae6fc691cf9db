package httpbody

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// sendSlowly writes chunks of the given size to a pipe, one each interval of the bubble's clock, and
// closes it.
func sendSlowly(t *testing.T, size, chunks int, interval time.Duration) *io.PipeReader {
	r, w := io.Pipe()
	ticker := time.NewTicker(interval)
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		defer w.Close()
		defer ticker.Stop()
		for range chunks {
			select {
			case <-ticker.C:
			case <-done:
				return
			}
			if _, err := w.Write(make([]byte, size)); err != nil {
				return
			}
		}
	}()
	return r
}

// readAll reads an answer with a timeout of 700 ms, and returns its length and the cause with which
// the call's context has ended by then.
func readAll(t *testing.T, body *io.PipeReader, size, limit int64) (n int, err, cause error) {
	ctx, deadline := Start(t.Context(), 700*time.Millisecond)
	defer deadline.Stop()
	stop := context.AfterFunc(ctx, func() { _ = body.CloseWithError(context.Cause(ctx)) })
	defer stop()
	data, err := deadline.ReadAll(body, size, limit)
	return len(data), err, context.Cause(ctx)
}

// Guards against an answer that is abandoned although it makes progress on a slow link.
func TestAnswerInProgressIsReadToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const mbit10 = 10e6 / 8 / 10 // bytes in a tenth of a second
		n, err, cause := readAll(t, sendSlowly(t, int(mbit10), 30, 100*time.Millisecond), -1, 16<<20)
		is.NoErr(err)
		is.NoErr(cause)
		is.Equal(n, 30*int(mbit10))
	})
}

// Guards against a call that waits for an answer that has stopped or trickles.
func TestAnswerWithoutProgressFails(t *testing.T) {
	for _, interval := range []time.Duration{100 * time.Millisecond, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			started := time.Now()
			_, err, cause := readAll(t, sendSlowly(t, 100, 1000, interval), -1, 16<<20)
			is.True(err != nil)
			is.Equal(cause, context.DeadlineExceeded)
			is.True(time.Since(started) < time.Second)
		})
	}
}

// Guards against an answer above the limit that is read to its end, or taken for a complete one.
func TestAnswerAboveTheLimit(t *testing.T) {
	is := is.New(t)
	_, deadline := Start(t.Context(), time.Minute)
	defer deadline.Stop()
	for _, size := range []int64{-1, 11} {
		_, err := deadline.ReadAll(bytes.NewReader(make([]byte, 11)), size, 10)
		is.True(err != nil)
	}
	data, err := deadline.ReadAll(bytes.NewReader(make([]byte, 10)), 10, 10)
	is.NoErr(err)
	is.Equal(len(data), 10)
}
