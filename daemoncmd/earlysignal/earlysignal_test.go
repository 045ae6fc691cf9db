package earlysignal

import (
	"os"
	"os/signal"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Guards against a process that ends by a SIGHUP before its daemon waits for signals:
// one in three new processes did when the signal came within their first 12 ms.
func TestHangupIsIgnored(t *testing.T) {
	is := is.New(t)
	is.True(signal.Ignored(syscall.SIGHUP))
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))

	// A daemon gets it all the same once it waits for it.
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	defer signal.Stop(ch)
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	is.Equal(<-ch, os.Signal(syscall.SIGHUP))
}
