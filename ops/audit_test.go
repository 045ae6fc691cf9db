package ops

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	standin "github.com/gypsumspan/gypsumspan/standin/store"
)

// Guards against an audit trail that grows without limit, and filters that miss records.
func TestAudit(t *testing.T) {
	f := newFixture(t, standin.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	var middle time.Time
	for i := range 9 {
		f.apply(f.ops, f.withWeight("t1", fmt.Sprint(i+2)))
		snapshot, err := f.ops.Export(t.Context())
		f.NoErr(err)
		f.exported = snapshot.Sheet
		if i == 6 {
			middle = time.Unix(0, f.clock.now.Load())
		}
	}
	for _, c := range []struct {
		filter Filter
		want   []string
	}{
		{Filter{}, []string{"a5", "a6", "a7", "a8", "a9"}},
		{Filter{Limit: 2}, []string{"a8", "a9"}},
		{Filter{Since: middle}, []string{"a8", "a9"}},
		{Filter{Change: "a6", Who: "ann", Service: "live"}, []string{"a6"}},
		{Filter{Who: "bob"}, nil},
		{Filter{Service: "docs"}, nil},
	} {
		records, err := f.ops.Audit(t.Context(), c.filter)
		f.NoErr(err)
		var got []string
		for _, record := range records {
			got = append(got, record.Change)
		}
		f.Equal(got, c.want)
	}
}

// Guards against a change that is reported as in force before every VM has it.
func TestWait(t *testing.T) {
	f := newFixture(t, standin.Options{})
	asked := 0
	vm := func(domain string, from int) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			revision := 0
			if asked >= from {
				revision = 12
			}
			fmt.Fprintf(w, `{"vm":"v","domain":%q,"table_revision":%d}`, domain, revision)
		}))
		t.Cleanup(server.Close)
		return server.URL
	}
	admins := []string{vm("a", 0), vm("a", 2), vm("b", 1)}
	f.onSleep = func() { asked++ }
	var reported []string
	request := WaitRequest{Revision: 12, Admins: admins, Report: func(d DomainStatus) { reported = append(reported, d.Domain) }}
	domains, err := f.ops.Wait(t.Context(), request)
	f.NoErr(err)
	f.Equal(reported, []string{"b", "a"})
	f.Equal([]int{domains[0].VMs, domains[0].InForce, domains[1].VMs}, []int{2, 2, 1})
	f.True(domains[1].InForceAfter < domains[0].InForceAfter)

	ctx, cancel := context.WithCancel(t.Context())
	f.onSleep = cancel
	request.Admins = append(slices.Clone(admins), "127.0.0.1:1")
	domains, err = f.ops.Wait(ctx, request)
	f.True(errors.Is(err, ErrNotInForce))
	f.Equal(domains[2].Domain, UnknownDomain)
	f.Equal(domains[2].Missing, []string{"127.0.0.1:1"})
}
