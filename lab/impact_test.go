package lab

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/caller/session"
)

// Guards against calls that are counted for the wrong failure domain or second.
func TestImpact(t *testing.T) {
	is := is.New(t)
	i := newImpactCounter([]Target{{ID: 1, Domain: "a"}, {ID: 2, Domain: "b"}}, 4*time.Second)
	i.record(time.Second, time.Second, session.Result{Target: 2})
	i.record(3900*time.Millisecond, time.Second, session.Result{Target: 2, Err: session.ErrDeadline})
	i.record(time.Second, 10*time.Millisecond, session.Result{Target: 1})
	i.record(time.Minute, 0, session.Result{Err: session.ErrDeadline})
	is.Equal(i.report(), []DomainImpact{
		{Domain: "", Calls: 1, Failed: []int{0, 0, 0, 0, 1}, Slow: []int{0, 0, 0, 0, 0}},
		{Domain: "a", Calls: 1, Failed: []int{0, 0, 0, 0, 0}, Slow: []int{0, 0, 0, 0, 0}},
		{Domain: "b", Calls: 2, Failed: []int{0, 0, 0, 1, 0}, Slow: []int{0, 1, 0, 0, 0}},
	})
	is.Equal(i.report()[2].String(), "targets in b: 2 calls, failed 1 (seconds 3 to 3), above 500 ms 1 (seconds 1 to 1)")
}

// Guards against a run under partitions that passes although calls failed without a
// typed refusal or deadline.
func TestUntypedFailuresFailTheRun(t *testing.T) {
	is := is.New(t)
	r := &Report{Kinds: []KindReport{{Outcomes: Outcomes{Deadline: 3, NotRun: 2, MayHaveRun: 1}}}}
	is.NoErr(r.verdict(LoadOptions{NoUntypedFailures: true}))
	r.Kinds[0].Cancelled = 1
	is.NoErr(r.verdict(LoadOptions{}))
	is.True(r.verdict(LoadOptions{NoUntypedFailures: true}) != nil)
}
