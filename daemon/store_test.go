package daemon

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	standin "github.com/gypsumspan/gypsumspan/standin/store"
	"github.com/gypsumspan/gypsumspan/store"
)

// relayMachine is the state machine of a relay whose table has one key, which the store
// lacks.
type relayMachine struct {
	bindingMachine
	entries chan message.TableEntry
}

func (m *relayMachine) Receive(now time.Duration, in message.Message) []message.Message {
	if delta, ok := in.Body.(*message.TableDelta); ok {
		for _, e := range delta.Entries {
			m.entries <- e
		}
	}
	return m.bindingMachine.Receive(now, in)
}
func (m *relayMachine) IsRelay() bool        { return true }
func (m *relayMachine) TableVersion() uint64 { return 1 }
func (m *relayMachine) TableKeys() []string  { return []string{"gypsumspan/table/old/meta"} }

func (m *relayMachine) next(t *testing.T) message.TableEntry {
	t.Helper()
	select {
	case e := <-m.entries:
		return e
	case <-time.After(testTimeout):
		t.Fatal("no entry of the table arrived")
		return message.TableEntry{}
	}
}

// serveStore runs a store on listener until the returned function is called.
func serveStore(t *testing.T, listener net.Listener, e *standin.Engine) func() {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- standin.ServeEngine(ctx, listener, e) }()
	return func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// Guards against a daemon that does not read the table over HTTP, retains rows that the
// store has deleted, logs nothing while the store is down, or does not reconnect after
// the store's restart.
func TestTableComesFromTheStore(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := listener.Addr().String()
	e := standin.NewEngine(standin.Options{})
	put := func(key string) {
		_, err := e.Txn(store.Txn{Puts: []store.Put{{Key: key, Value: []byte("v")}}})
		is.NoErr(err)
	}
	put("gypsumspan/table/a/meta")
	stop := serveStore(t, listener, e)
	s := testSettings(t)
	s.Store.Endpoints = []string{"http://" + addr}
	m := &relayMachine{entries: make(chan message.TableEntry, 100)}
	p := start(t, s, m, StoreServices)
	first, second := m.next(t), m.next(t)
	is.Equal(first.Key, "gypsumspan/table/a/meta")
	is.Equal(string(first.Value), "v")
	is.Equal(second.Key, "gypsumspan/table/old/meta")
	is.True(second.Value == nil) // deleted
	put("gypsumspan/table/b/meta")
	is.Equal(m.next(t).Key, "gypsumspan/table/b/meta")
	stop()
	p.waitFor(events.StoreFailed)
	put("gypsumspan/table/c/meta")
	listener, err = net.Listen("tcp", addr)
	is.NoErr(err)
	stop = serveStore(t, listener, e)
	is.Equal(m.next(t).Key, "gypsumspan/table/c/meta")
	p.signals <- syscall.SIGTERM
	is.NoErr(p.wait())
	stop()
}

// Guards against invalid endpoints that are detected only at the first call.
func TestStoreEndpointIsChecked(t *testing.T) {
	is := is.New(t)
	s := testSettings(t)
	s.Store.Endpoints = []string{"ftp://127.0.0.1:1"}
	services, err := StoreServices(machineConfig(s))
	is.True(err != nil && strings.Contains(err.Error(), "ftp://"))
	is.Equal(services, []kernel.Service(nil))
}

// Guards against a status without the failure domain, which operators need to see where
// a change of the table is in force.
func TestStatusNamesTheFailureDomain(t *testing.T) {
	is := is.New(t)
	s := testSettings(t)
	machine, err := NewVM(machineConfig(s))
	is.NoErr(err)
	p := start(t, s, machine, nil)
	p.waitFor(events.DaemonStarted)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + s.Listen.Admin.String() + "/v1/status")
	is.NoErr(err)
	var status struct{ VM, Domain string }
	is.NoErr(json.NewDecoder(response.Body).Decode(&status))
	is.NoErr(response.Body.Close())
	is.Equal(status.VM, "vm-1")
	is.Equal(status.Domain, "north")
	p.signals <- syscall.SIGTERM
	is.NoErr(p.wait())
}
