package tableview

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/core"
)

// plainMachine is a state machine that does not implement Machine.
type plainMachine struct{}

func (plainMachine) Receive(time.Duration, message.Message) []message.Message { return nil }
func (plainMachine) Tick(time.Duration) []message.Message                     { return nil }
func (plainMachine) Leave(time.Duration) []message.Message                    { return nil }
func (plainMachine) HasLeft() bool                                            { return false }

// relayMachine is the state machine of a relay whose table has one key.
type relayMachine struct{ plainMachine }

func (relayMachine) IsRelay() bool        { return true }
func (relayMachine) TableVersion() uint64 { return 7 }
func (relayMachine) TableKeys() []string  { return []string{"k"} }

// directCore runs commands immediately, or refuses them if full is set.
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

// Guards against a busy core duty that ends a relay's watch of the store or causes
// another read of the table, and against a state machine without a role that blocks
// the service.
func TestAnswers(t *testing.T) {
	is := is.New(t)
	c := &directCore{machine: plainMachine{}}
	s := &Service{core: c}
	is.True(!s.IsRelay())
	is.True(!s.HasTable())
	is.Equal(len(s.LiveKeys()), 0)
	c.machine = relayMachine{}
	is.True(s.IsRelay())
	is.True(s.HasTable())
	is.Equal(s.LiveKeys(), []string{"k"})
	c.full = true
	is.True(s.IsRelay())
	is.True(s.HasTable())
	is.Equal(len(s.LiveKeys()), 0)
}
