package earlysignal

import (
	"os"
	"os/signal"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Guards against a SIGHUP that terminates a process before its daemon handles signals. It
// terminated one in three new processes if it arrived within their first 12 ms.
func TestHangupIsIgnored(t *testing.T) {
	is := is.New(t)
	is.True(signal.Ignored(syscall.SIGHUP))
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))

	// signal.Notify overrides the ignored state, so that the daemon still receives SIGHUP.
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	defer signal.Stop(ch)
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	is.Equal(<-ch, os.Signal(syscall.SIGHUP))
}
