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

// fetchTimeout bounds one request to an oracle endpoint of a target.
const fetchTimeout = 20 * time.Second

// targetRecords holds the responses of a target's oracle endpoints.
type targetRecords struct {
	stats      target.Stats
	executions []target.Execution
}

// fetchRecords reads a target's records. It returns ErrRecordsUnavailable.
func fetchRecords(ctx context.Context, health netip.AddrPort) (targetRecords, error) {
	var records targetRecords
	if err := fetchJSON(ctx, health, "/stats", &records.stats); err != nil {
		return records, err
	}
	err := fetchJSON(ctx, health, "/executions", &records.executions)
	return records, err
}

// fetchJSON decodes the JSON response to a GET request into v. It returns
// ErrRecordsUnavailable.
func fetchJSON(ctx context.Context, addr netip.AddrPort, path string, v any) error {
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
	FalseNotRun      int `json:"false_not_run"`     // requests refused as "not run" that ran
	ForeignWork      int `json:"foreign_work"`      // executions at a target of another service
}

// Any reports whether any promise was broken.
func (v Violations) Any() bool {
	return v != Violations{}
}

// checkExecutions compares the executions of the targets with the calls by digest of
// the payload. It returns the violations and the number of executions of each target.
// A payload belongs to one call, so executions on reopened flows are matched too.
func checkExecutions(calls map[uint64]*callRecord, targets []Target, observed []targetRecords) (Violations, []int) {
	var violations Violations
	executions := make([]int, len(targets))
	runs := make(map[uint64]int)
	for i, o := range observed {
		for _, e := range o.executions {
			r, ok := calls[e.Digest]
			if !ok {
				continue // of an earlier run
			}
			executions[i] += e.Count
			runs[e.Digest] += e.Count
			if int(r.service) != targets[i].Service {
				violations.ForeignWork++
			}
		}
	}
	for digest, count := range runs {
		r := calls[digest]
		if !r.idempotent && count > 1 {
			violations.DoubleExecutions++
		}
		if r.notRun {
			violations.FalseNotRun++
		}
	}
	return violations, executions
}
