package tableview

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/core"
)

// idle is a machine without answers for the service.
type idle struct{}

func (idle) Receive(time.Duration, message.Message) []message.Message { return nil }
func (idle) Tick(time.Duration) []message.Message                     { return nil }
func (idle) Leave(time.Duration) []message.Message                    { return nil }
func (idle) HasLeft() bool                                            { return false }

// relay is a relay with one key.
type relay struct{ idle }

func (relay) IsRelay() bool        { return true }
func (relay) TableVersion() uint64 { return 7 }
func (relay) TableKeys() []string  { return []string{"k"} }

// directCore runs commands at once, or refuses them.
type directCore struct {
	machine core.Machine
	full    bool
}

func (c *directCore) Do(command core.Command) error {
	if c.full {
		return kernel.ErrRingFull
	}
	command(0, c.machine)
	return nil
}

// Guards against a busy core duty that ends a relay's watch of the store or has
// the table read again, and against decisions without a role that hold up the
// watch.
func TestAnswers(t *testing.T) {
	is := is.New(t)
	c := &directCore{machine: idle{}}
	s := &Service{core: c}
	is.True(!s.IsRelay())
	is.True(!s.HasTable())
	is.Equal(len(s.LiveKeys()), 0)
	c.machine = relay{}
	is.True(s.IsRelay())
	is.True(s.HasTable())
	is.Equal(s.LiveKeys(), []string{"k"})
	c.full = true
	is.True(s.IsRelay())
	is.True(s.HasTable())
	is.Equal(len(s.LiveKeys()), 0)
}
