package fleet

import (
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/table"
	"github.com/gypsumspan/gypsumspan/standin/target"
)

// trackingService has a non-idempotent urgent kind and an idempotent normal one.
func trackingService(targets int) ServiceSpec {
	return ServiceSpec{
		Name:    "tracking",
		Targets: targets,
		Slots:   3,
		Kinds: []KindSpec{
			{
				Kind:    table.Kind{Name: "checkin", Urgency: table.Urgent, Share: 4},
				Profile: target.RequestProfile{Median: 5 * time.Millisecond, Sigma: 0.3},
				Timeout: 5 * time.Second,
			},
			{
				Kind:       table.Kind{Name: "map", Urgency: table.Normal, Share: 1},
				Idempotent: true,
				Profile:    target.RequestProfile{Median: 20 * time.Millisecond, Sigma: 0.3, AnswerSize: 5000},
				Timeout:    5 * time.Second,
			},
		},
	}
}

// walesOptions returns the network of the smaller of the two sites of lab/measure.
func walesOptions(seed uint64) Options {
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

// checkOracle fails the test if a promise was broken.
func checkOracle(t *testing.T, f *Fleet) {
	t.Helper()
	for _, v := range f.Oracle().Violations() {
		t.Error(v)
	}
}

// countOutcomes returns the number of calls that succeeded, and of failed calls by error.
func countOutcomes(f *Fleet) (ok int, failed map[string]int) {
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

// Guards against failed calls and broken flows in a fleet without faults.
func TestSteadyFleetAnswersEveryCall(t *testing.T) {
	t.Parallel()
	f := New(walesOptions(1))
	spec := trackingService(14)
	f.AddService(spec)
	f.StartVMs(15)
	f.Advance(6 * time.Second)
	if !f.TableInForce() {
		t.Fatal("the table is not in force at every VM")
	}
	l := f.NewLoad(spec, 100)
	f.Run(5*time.Second, 2*time.Millisecond, l)
	f.FinishCalls(10 * time.Second)
	checkOracle(t, f)
	ok, failed := countOutcomes(f)
	t.Logf("%d calls answered, failed: %v, broken flows: %d", ok, failed, f.BrokenFlows())
	if len(failed) > 0 || f.BrokenFlows() > 0 {
		t.Fail()
	}
}
