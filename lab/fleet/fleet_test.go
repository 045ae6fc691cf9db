package fleet

import (
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/table"
	"github.com/gypsumspan/gypsumspan/standin/target"
)

// tracking is a service with a non-idempotent urgent kind and an idempotent one.
func tracking(targets int) ServiceSpec {
	return ServiceSpec{
		Name:    "tracking",
		Targets: targets,
		Slots:   3,
		Kinds: []KindSpec{
			{
				Kind:    table.Kind{Name: "checkin", Urgency: table.Urgent, Share: 4},
				Work:    target.RequestProfile{Median: 5 * time.Millisecond, Sigma: 0.3},
				Timeout: 5 * time.Second,
			},
			{
				Kind:       table.Kind{Name: "map", Urgency: table.Normal, Share: 1},
				Idempotent: true,
				Work:       target.RequestProfile{Median: 20 * time.Millisecond, Sigma: 0.3, AnswerSize: 5000},
				Timeout:    5 * time.Second,
			},
		},
	}
}

// wales is a network like that of the smaller of the two sites.
func wales(seed uint64) Options {
	return Options{
		Seed:          seed,
		Domains:       []string{"a", "b", "c"},
		DomainLatency: 500 * time.Microsecond,
		CallerLatency: time.Millisecond,
		Jitter:        200 * time.Microsecond,
		ListLag:       2 * time.Second,
		FabricLag:     time.Second,
		Codec:         true,
	}
}

// check fails the test for every broken promise.
func check(t *testing.T, f *Fleet) {
	t.Helper()
	for _, v := range f.Oracle().Violations() {
		t.Error(v)
	}
}

// failures counts ended calls by error.
func failures(f *Fleet) (ok int, failed map[string]int) {
	failed = make(map[string]int)
	for _, r := range f.Oracle().Results() {
		if r.Err == nil {
			ok++
			continue
		}
		failed[r.Err.Error()]++
	}
	return ok, failed
}

// Guards against a fleet that does not serve at all.
func TestSteadyFleetAnswersEveryCall(t *testing.T) {
	t.Parallel()
	f := New(wales(1))
	spec := tracking(14)
	f.AddService(spec)
	f.StartVMs(15)
	f.Advance(6 * time.Second)
	if !f.InForce() {
		t.Fatal("the table is not in force everywhere")
	}
	l := f.NewLoad(spec, 100)
	f.Run(5*time.Second, 2*time.Millisecond, l)
	f.Drain(10 * time.Second)
	check(t, f)
	ok, failed := failures(f)
	t.Logf("%d calls answered, failed: %v, broken flows: %d", ok, failed, f.Broken())
	if len(failed) > 0 || f.Broken() > 0 {
		t.Fail()
	}
}
