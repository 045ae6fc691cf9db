package relay

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/decide/revision"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/catalogwatch"
	"github.com/gypsumspan/gypsumspan/services/packets"
	"github.com/gypsumspan/gypsumspan/services/pulls"
	"github.com/gypsumspan/gypsumspan/store"
	"github.com/gypsumspan/gypsumspan/wire/relaywire"
)

// decoder takes every key for a target.
type decoder struct{}

func (decoder) Decode(key string, _ []byte, _ bool, at revision.Revision) (catalog.Change, bool, error) {
	return catalog.Change{Revision: at, RemovedTarget: key}, true, nil
}

// fakes stand for the services that the service "relay" uses.
type fakes struct {
	logged    []*events.Event
	writes    []catalogwatch.Write
	shortened int
}

func (f *fakes) Log(e *events.Event, _ ...events.Field) { f.logged = append(f.logged, e) }
func (f *fakes) SetWatching(bool, revision.Revision)    {}
func (f *fakes) SetSlowRetry(bool)                      {}
func (f *fakes) RetryNow()                              {}
func (f *fakes) ShortenPauses()                         { f.shortened++ }
func (f *fakes) Transact(catalogwatch.Transaction)      {}
func (f *fakes) Write(w catalogwatch.Write)             { f.writes = append(f.writes, w) }
func (f *fakes) Pull(relay.Pull)                        {}
func (f *fakes) TryPut(packets.Input) bool              { return false }
func (f *fakes) receive(s *Service, u relay.Update) error {
	return s.HandleStoreResult(catalogwatch.Result{Update: u})
}

func newTestService(t *testing.T) (*Service, *fakes) {
	t.Helper()
	s, f := New(Config{Machine: relay.Config{Self: relay.Member{Name: "vm", Domain: "a"}, MemberPrefix: "vms/", MaxAge: time.Minute}, Decoder: decoder{}}), &fakes{}
	s.log, s.watch, s.pulls, s.packets = f, f, f, f
	s.gate = kernel.NewGate()
	s.kernel = kernel.NewStepped(kernel.NewClock())
	s.in = kernel.NewRing[input](s.kernel, "in", inputCapacity, kernel.Block, s.gate)
	return s, f
}

// read returns a complete read with one key.
func read(era uint32, key string) relay.Update {
	at := revision.New(era, 5)
	return relay.Update{Revision: at, Complete: true, Items: []relay.Item{{Key: key, Revision: at}}}
}

// Guards against a catalog that receives changes of a new era before it knows of that era, or
// late changes of the earlier one after it, when all arrive within one step.
func TestNewErasPrecedeTheirChanges(t *testing.T) {
	is := is.New(t)
	s, f := newTestService(t)
	is.NoErr(f.receive(s, read(1, "a")))
	is.NoErr(f.receive(s, relay.Update{Revision: revision.New(1, 6), Items: []relay.Item{{Key: "b", Revision: revision.New(1, 6)}}}))
	is.NoErr(f.receive(s, read(2, "c")))
	is.NoErr(f.receive(s, relay.Update{Revision: revision.New(4, 0), Complete: true})) // rewound to an empty store
	s.step(time.Second)
	var got []string
	for _, in := range s.pending {
		switch {
		case in.Store == packets.StoreRegained:
			got = append(got, "regained")
		case in.Store == packets.StoreRewound:
			got = append(got, "rewound")
		case in.Change.Synced:
			got = append(got, "synced")
		default:
			got = append(got, fmt.Sprint(in.Change.RemovedTarget, " ", in.Change.Revision))
		}
	}
	is.Equal(got, []string{
		"regained", "a 1/5", "b 1/6", "rewound", "c 2/5", "a 2/5", "b 2/5", "rewound", "c 4/0", "synced",
	})
	rewinds := 0
	for _, e := range f.logged {
		if e == events.StoreRewound {
			rewinds++
		}
	}
	is.Equal(rewinds, 2)
}

// Guards against an own entry that is missing for 5 s after a rewind, and against a rewind that
// counts as a loss of the store.
func TestOwnEntryIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	s, f := newTestService(t)
	is.NoErr(f.receive(s, read(1, "a")))
	s.step(time.Second)
	is.Equal(len(f.writes), 1)
	s.step(2 * time.Second)
	is.Equal(len(f.writes), 1) // not again before registerInterval
	is.NoErr(s.HandleStoreResult(catalogwatch.Result{Err: fmt.Errorf("%w: %w", catalogwatch.ErrHistoryLost, store.ErrRewound)}))
	is.NoErr(f.receive(s, read(2, "a")))
	s.step(3 * time.Second)
	is.Equal(len(f.writes), 2)
	is.Equal(f.writes[1].Item.Revision, revision.Revision(0))
	for _, e := range f.logged {
		is.True(e != events.StoreLost)
	}
}

// Guards against pulls of an older build that get the changes after a revision of another era.
func TestPullsOfAnOlderBuild(t *testing.T) {
	is := is.New(t)
	s, f := newTestService(t)
	is.NoErr(f.receive(s, read(1, "a")))
	is.NoErr(f.receive(s, read(2, "c")))
	s.step(time.Second)
	pull := func(query string) relay.Update {
		recorder, done := httptest.NewRecorder(), make(chan struct{})
		go func() {
			defer close(done)
			s.servePull(recorder, httptest.NewRequestWithContext(t.Context(), "GET", pulls.Path+query, nil))
		}()
		in, ok := s.in.Wait(t.Context())
		is.True(ok)
		s.handle(time.Second, in)
		<-done
		sent, ok := s.in.Take()
		is.True(ok)
		is.Equal(sent.sentBytes, recorder.Body.Len())
		update, err := relaywire.DecodeUpdate(recorder.Body.Bytes())
		is.NoErr(err)
		return update
	}
	is.Equal(pull("?after=5&era=2").Complete, false)
	is.Equal(pull("?after=5&era=1").Complete, true)
	is.Equal(pull("?after=5").Complete, true)
	recorder := httptest.NewRecorder()
	s.servePull(recorder, httptest.NewRequestWithContext(t.Context(), "GET", pulls.Path+"?after=5&era=x", nil))
	is.Equal(recorder.Code, 400)
}
