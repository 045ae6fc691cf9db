package ops

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// PathStatus and PathExplain are paths of a VM's admin endpoint.
	PathStatus  = "/v1/status"
	PathExplain = "/v1/explain"
	// DefaultWaitInterval is the time between two questions to a VM.
	DefaultWaitInterval = 200 * time.Millisecond
	// parallelAsks bounds the questions in flight.
	parallelAsks = 32
	// maxAdminAnswer is the largest answer that is read, in bytes.
	maxAdminAnswer = 4 << 20
)

// VMStatus is what a VM says about itself.
type VMStatus struct {
	VM            string `json:"vm"`
	Domain        string `json:"domain"`
	TableRevision int64  `json:"table_revision"`
	Admin         string `json:"admin"`           // address that was asked
	Error         string `json:"error,omitempty"` // why there is no answer
}

// Status asks the admin endpoints ("10.0.0.1:7400") and returns their answers in
// the order of the addresses.
func (o *Operations) Status(ctx context.Context, admins []string) []VMStatus {
	statuses := make([]VMStatus, len(admins))
	var group errgroup.Group
	group.SetLimit(parallelAsks)
	for i, admin := range admins {
		group.Go(func() error {
			statuses[i] = o.status(ctx, admin)
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
	return statuses
}

func (o *Operations) status(ctx context.Context, admin string) VMStatus {
	data, err := o.ask(ctx, admin, PathStatus)
	var s VMStatus
	if err == nil {
		if err = json.Unmarshal(data, &s); err != nil {
			err = fmt.Errorf("%w %s: %w", ErrAdmin, admin, err)
		}
	}
	if err != nil {
		s = VMStatus{Error: err.Error()}
	}
	s.Admin = admin
	return s
}

// Explain asks a VM how it routes the flow with the given hexadecimal id, or one
// request of the flow if request is not 0. It
// returns the VM's JSON, or ErrAdmin.
func (o *Operations) Explain(ctx context.Context, admin, flow string, request uint64) (json.RawMessage, error) {
	query := url.Values{"flow": {flow}}
	if request != 0 {
		query.Set("request", strconv.FormatUint(request, 10))
	}
	data, err := o.ask(ctx, admin, PathExplain+"?"+query.Encode())
	if err != nil {
		return nil, err
	}
	if !json.Valid(data) {
		return nil, fmt.Errorf("%w %s: answer is not JSON", ErrAdmin, admin)
	}
	return data, nil
}

func (o *Operations) ask(ctx context.Context, admin, path string) ([]byte, error) {
	base := admin
	if !strings.Contains(base, "://") {
		scheme := "http://"
		if o.config.TLS != nil {
			scheme = "https://"
		}
		base = scheme + base
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+path, nil)
	if err != nil {
		return nil, fmt.Errorf("%w %s: %w", ErrAdmin, admin, err)
	}
	response, err := o.config.HTTP.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w %s: %w", ErrAdmin, admin, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAdminAnswer))
	if err != nil {
		return nil, fmt.Errorf("%w %s: %w", ErrAdmin, admin, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w %s: %s: %s", ErrAdmin, admin, response.Status, strings.TrimSpace(string(data)))
	}
	return data, nil
}

// DomainStatus is the progress of a revision in one failure domain.
type DomainStatus struct {
	Domain       string        `json:"domain"` // "unknown" for VMs that never answered
	VMs          int           `json:"vms"`
	InForce      int           `json:"in_force"` // VMs with the revision
	Missing      []string      `json:"missing"`  // admin addresses of the other VMs
	InForceAfter time.Duration `json:"after_ns"` // until all VMs had it; 0 if they don't
}

// Done reports whether the revision is in force in the whole failure domain.
func (d DomainStatus) Done() bool { return d.InForce == d.VMs }

// UnknownDomain groups the VMs that never answered.
const UnknownDomain = "unknown"

// WaitRequest says what Wait waits for.
type WaitRequest struct {
	Revision int64
	Admins   []string      // admin addresses of the VMs
	Interval time.Duration // between two questions; 0 is DefaultWaitInterval
	// Report is called for each failure domain when the revision is in force on
	// all of its VMs that have answered so far; it may be nil.
	Report func(DomainStatus)
}

// Wait asks the VMs until the revision is in force on all of them or ctx ends.
// It returns the failure domains sorted by name; with ErrNotInForce some of them
// are not done.
func (o *Operations) Wait(ctx context.Context, r WaitRequest) ([]DomainStatus, error) {
	w := &wait{WaitRequest: r, start: o.config.Now(), statuses: make(map[string]VMStatus), after: make(map[string]time.Duration)}
	if w.Interval == 0 {
		w.Interval = DefaultWaitInterval
	}
	for {
		for _, s := range o.Status(ctx, w.pending()) {
			w.note(s)
		}
		domains := w.domains(o.config.Now().Sub(w.start))
		if len(w.pending()) == 0 {
			return domains, nil
		}
		if err := o.config.Sleep(ctx, w.Interval); err != nil {
			return domains, fmt.Errorf("revision %d: %w: %w", r.Revision, ErrNotInForce, err)
		}
	}
}

// wait is the state of one Wait.
type wait struct {
	WaitRequest
	start    time.Time
	statuses map[string]VMStatus // last answers by admin address
	after    map[string]time.Duration
}

func (w *wait) has(admin string) bool {
	s, ok := w.statuses[admin]
	return ok && s.TableRevision >= w.Revision
}

// pending returns the VMs that are not known to have the revision. A VM never
// goes back to an older one, so the others need not be asked again.
func (w *wait) pending() []string {
	var admins []string
	for _, admin := range w.Admins {
		if !w.has(admin) {
			admins = append(admins, admin)
		}
	}
	return admins
}

func (w *wait) note(s VMStatus) {
	if s.Error == "" {
		w.statuses[s.Admin] = s
	}
}

// domains returns the progress and reports domains that are newly done.
func (w *wait) domains(now time.Duration) []DomainStatus {
	byName := make(map[string]*DomainStatus)
	for _, admin := range w.Admins {
		name := UnknownDomain
		if s, ok := w.statuses[admin]; ok {
			name = s.Domain
		}
		d, ok := byName[name]
		if !ok {
			d = &DomainStatus{Domain: name, Missing: []string{}}
			byName[name] = d
		}
		d.VMs++
		if w.has(admin) {
			d.InForce++
		} else {
			d.Missing = append(d.Missing, admin)
		}
	}
	var all []DomainStatus
	for _, d := range byName {
		all = append(all, *d)
	}
	slices.SortFunc(all, func(a, b DomainStatus) int { return cmp.Compare(a.Domain, b.Domain) })
	for i := range all {
		w.reportDone(&all[i], now)
	}
	return all
}

func (w *wait) reportDone(d *DomainStatus, now time.Duration) {
	if !d.Done() {
		// A VM that answers for the first time may still miss the revision.
		delete(w.after, d.Domain)
		return
	}
	after, known := w.after[d.Domain]
	if known {
		d.InForceAfter = after
		return
	}
	w.after[d.Domain] = now
	d.InForceAfter = now
	if w.Report != nil {
		w.Report(*d)
	}
}
