package vmlist

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLag guards against a list that shows changes before the lag has passed.
func TestLag(t *testing.T) {
	is := is.New(t)
	l := New([]VM{{Name: "a"}})
	l.SetLag(2 * time.Second)
	is.NoErr(l.Set(time.Second, Document{VMs: []VM{{Name: "b"}}}))
	is.NoErr(l.Set(2*time.Second, Document{VMs: []VM{{Name: "c", Leaving: true}}}))
	is.Equal(l.Get(2 * time.Second).VMs[0].Name, "a")
	is.Equal(l.Get(3 * time.Second).VMs[0].Name, "b")
	is.Equal(l.Get(9 * time.Second).VMs[0].Name, "c")
}

// TestInvalidList guards against a list with empty or repeated names.
func TestInvalidList(t *testing.T) {
	is := is.New(t)
	l := New(nil)
	is.True(errors.Is(l.Set(0, Document{VMs: []VM{{Name: "a"}, {Name: "a"}}}), ErrInvalid))
	is.True(errors.Is(l.Set(0, Document{VMs: []VM{{}}}), ErrInvalid))
}
