package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/standin/target"
)

// fetchTimeout bounds the reading of one target's records.
const fetchTimeout = 20 * time.Second

// observation is what a target's oracle endpoints say.
type observation struct {
	stats      target.Stats
	executions []target.Execution
}

// observe reads a target's records. It returns ErrRecordsUnavailable.
func observe(ctx context.Context, health netip.AddrPort) (observation, error) {
	var o observation
	if err := fetch(ctx, health, "/stats", &o.stats); err != nil {
		return o, err
	}
	err := fetch(ctx, health, "/executions", &o.executions)
	return o, err
}

func fetch(ctx context.Context, addr netip.AddrPort, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+path, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRecordsUnavailable, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRecordsUnavailable, err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(v); err != nil {
		return fmt.Errorf("%s%s: %w: %w", addr, path, ErrRecordsUnavailable, err)
	}
	return nil
}

// Violations counts the broken promises of a run by kind. All must be 0.
type Violations struct {
	WrongAnswers     int `json:"wrong_answers"`
	DoubleExecutions int `json:"double_executions"` // non-idempotent requests that ran more than once
	FalseNotRun      int `json:"false_not_run"`     // requests refused "not run" that ran
	ForeignWork      int `json:"foreign_work"`      // executions at a target of another service
}

// Broken reports whether any promise was broken.
func (p Violations) Any() bool {
	return p != Violations{}
}

// judge compares executions with the records of the calls. A payload is in one
// call only, so executions of reopened flows are found too.
func judge(records map[uint64]*record, targets []Target, seen []observation) (Violations, []int) {
	var p Violations
	work := make([]int, len(targets))
	runs := make(map[uint64]int)
	for i, o := range seen {
		for _, e := range o.executions {
			r, ok := records[e.Digest]
			if !ok {
				continue // of an earlier run
			}
			work[i] += e.Count
			runs[e.Digest] += e.Count
			if int(r.service) != targets[i].Service {
				p.ForeignWork++
			}
		}
	}
	for digest, count := range runs {
		r := records[digest]
		if !r.idempotent && count > 1 {
			p.DoubleExecutions++
		}
		if r.notRun {
			p.FalseNotRun++
		}
	}
	return p, work
}
