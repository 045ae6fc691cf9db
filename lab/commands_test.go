package lab

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/sheet"
	"github.com/gypsumspan/gypsumspan/standin/relay"
	standin "github.com/gypsumspan/gypsumspan/standin/store"
	"github.com/gypsumspan/gypsumspan/store"
)

// TestStoreContentsSurviveRestart guards against a store stand-in that loses the
// table on restart, and against a control endpoint that has no effect.
func TestStoreContentsSurviveRestart(t *testing.T) {
	is := is.New(t)
	o := StoreOptions{File: filepath.Join(t.TempDir(), "store.json")}
	for revision := int64(2); revision <= 3; revision++ {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		addr := listener.Addr().String()
		is.NoErr(listener.Close())
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- ServeStore(ctx, addr, o) }()
		ready, cancel := context.WithTimeout(ctx, time.Minute)
		is.NoErr(Await(ready, Condition{URLs: []string{"http://" + addr + standin.PathCalls}}))
		cancel()
		client, err := store.NewHTTP(store.HTTPConfig{Endpoints: []string{"http://" + addr}})
		is.NoErr(err)
		answer, err := client.Txn(ctx, store.Txn{Puts: []store.Put{{Key: fmt.Sprint("k", revision)}}})
		is.NoErr(err)
		is.Equal(answer.Revision, revision)
		_, err = Request(ctx, http.MethodPost, "http://"+addr+standin.PathControl, `{"outage":true}`)
		is.NoErr(err)
		_, err = client.Range(ctx, store.RangeRequest{Span: store.Prefix("")})
		is.True(errors.Is(err, store.ErrUnavailable))
		_, err = Request(ctx, http.MethodPost, "http://"+addr+standin.PathControl, `{"delay_ms":-1}`)
		is.True(errors.Is(err, ErrHTTP))
		client.Close()
		stop()
		is.NoErr(<-ended)
	}
}

// TestTableOfWorkload guards against a CSV that gypsumctl rejects or whose target
// IDs and addresses differ from those of the load generator.
func TestTableOfWorkload(t *testing.T) {
	for _, name := range []string{"wales", "tasmania"} {
		is := is.New(t)
		var out bytes.Buffer
		cmd := Command()
		cmd.SetArgs([]string{"table", "--workload", "../workloads/" + name + ".toml", "--base-port", "22000"})
		cmd.SetOut(&out)
		is.NoErr(cmd.Execute())
		s, faults := sheet.ParseCSV(out.Bytes())
		is.Equal(len(faults), 0)
		services, faults := s.Services()
		is.Equal(len(faults), 0)
		w, err := LoadWorkload("../workloads/" + name + ".toml")
		is.NoErr(err)
		ids := make(map[uint64]netip.AddrPort)
		for _, service := range services {
			for _, target := range service.Targets {
				ids[uint64(target.ID)] = target.Addr
			}
		}
		for _, target := range w.Targets(netip.MustParseAddr("127.0.0.1"), 22000) {
			is.Equal(ids[uint64(target.ID)], target.Requests)
		}
	}
	is := is.New(t)
	w, err := ParseWorkload([]byte(testWorkload))
	is.NoErr(err)
	_, err = Sheet(w, w.Targets(netip.MustParseAddr("127.0.0.1"), 22000))
	is.True(errors.Is(err, ErrInvalidWorkload)) // kinds without urgency and share
}

// TestAwait guards against a wait that ends while VMs disagree, and against an
// error that does not name the unmet part of the condition.
func TestAwait(t *testing.T) {
	cases := []struct {
		name      string
		statuses  []string
		condition Condition
		missing   string // "" if the condition holds
	}{
		{"whole fleet", []string{`{"vm":"a","members":["a","b"],"owned":[{"target":"s/t1","phase":"active","flows":2}]}`,
			`{"vm":"b","members":["a","b"],"owned":[{"target":"s/t2","phase":"active","flows":1},{"target":"s/t1","phase":"idle"}]}`},
			Condition{Members: 2, Targets: 2, MinFlows: 3, DrainedTarget: "s/t3"}, ""},
		{"old table", []string{`{"vm":"a","table_revision":6}`, `{"vm":"b","table_revision":5}`}, Condition{MinRevision: 6}, "b has table revision 5 instead of 6"},
		{"unknown member", []string{`{"vm":"a","members":["a"]}`}, Condition{Members: 2}, "a lists 1 live VMs instead of 2"},
		{"handover", []string{`{"vm":"a","owned":[{"target":"s/t1","phase":"sending"}]}`}, Condition{Targets: 1}, "a has s/t1 in phase sending"},
		{"no owner", []string{`{"vm":"a"}`}, Condition{Targets: 1}, "0 targets have an owner instead of 1"},
		{"two owners", []string{`{"vm":"a","owned":[{"target":"s/t1","phase":"active"}]}`, `{"vm":"b","owned":[{"target":"s/t1","phase":"active"}]}`},
			Condition{Targets: 1}, "target s/t1 has the owners a b"},
		{"few flows", []string{`{"vm":"a","owned":[{"target":"s/t1","phase":"active","flows":2}]}`}, Condition{MinFlows: 3}, "2 flows instead of 3"},
		{"flows stay", []string{`{"vm":"a","owned":[{"target":"s/t1","phase":"active","flows":2}]}`}, Condition{DrainedTarget: "s/t1"}, "still has 2 flows"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for _, status := range c.statuses {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, status) }))
				defer server.Close()
				c.condition.Admins = append(c.condition.Admins, server.Listener.Addr().String())
			}
			is.True(strings.Contains(c.condition.unmet(t.Context()), c.missing))
			ctx, cancel := context.WithCancel(t.Context())
			if c.missing != "" {
				cancel()
				is.True(errors.Is(Await(ctx, c.condition), ErrNotReached))
				return
			}
			is.Equal(c.condition.unmet(ctx), "")
			owner, err := OwnerOf(ctx, c.condition.Admins, "s/t2")
			is.NoErr(err)
			is.Equal(owner, "b")
			_, err = OwnerOf(ctx, c.condition.Admins, "s/t3")
			is.True(errors.Is(err, ErrNotReached))
			is.NoErr(Await(ctx, c.condition))
			cancel()
		})
	}
}

// TestVerdict guards against a run that passes although flows broke or a planned
// change interrupted calls.
func TestVerdict(t *testing.T) {
	is := is.New(t)
	broken := &Report{BrokenFlows: 1}
	is.NoErr(broken.verdict(LoadOptions{}))
	is.True(errors.Is(broken.verdict(LoadOptions{NoBrokenFlows: true}), ErrPromiseBroken))
	for _, o := range []Outcomes{{MayHaveRun: 1}, {Deadline: 1}, {Cancelled: 1}} {
		interrupted := &Report{Kinds: []KindReport{{Outcomes: o}}}
		is.NoErr(interrupted.verdict(LoadOptions{}))
		is.True(errors.Is(interrupted.verdict(LoadOptions{NoInterruptedCalls: true}), ErrPromiseBroken))
	}
	refused := &Report{Kinds: []KindReport{{Outcomes: Outcomes{NotRun: 1}}}}
	is.NoErr(refused.verdict(LoadOptions{NoInterruptedCalls: true, NoBrokenFlows: true}))
}

// TestRelayEndpoints guards against an endpoint with advertised and real address swapped,
// and against malformed endpoints that are accepted.
func TestRelayEndpoints(t *testing.T) {
	is := is.New(t)
	endpoints, err := parseEndpoints([]string{"127.0.0.1:1=127.0.1.1:2"})
	is.NoErr(err)
	is.Equal(endpoints, []relay.Endpoint{{Advertised: netip.MustParseAddrPort("127.0.0.1:1"), Real: netip.MustParseAddrPort("127.0.1.1:2")}})
	for _, entry := range []string{"127.0.0.1:1", "127.0.0.1:1=", "=127.0.0.1:1", "localhost:1=127.0.0.1:1"} {
		_, err := parseEndpoints([]string{entry})
		is.True(errors.Is(err, ErrInvalidOption))
	}
}
