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
	// DefaultWaitInterval is the time between two status requests to a VM.
	DefaultWaitInterval = 200 * time.Millisecond
	// maxParallelRequests limits the status requests in flight.
	maxParallelRequests = 32
	// maxAdminResponseBytes limits how much of a response is read.
	maxAdminResponseBytes = 4 << 20
)

// VMStatus is the response of a VM to a status request, or the reason why there is none.
type VMStatus struct {
	VM            string `json:"vm"`
	Domain        string `json:"domain"`
	TableRevision int64  `json:"table_revision"`
	Admin         string `json:"admin"`           // address of the admin endpoint
	Error         string `json:"error,omitempty"` // why the request failed
}

// Status requests the status of VMs from their admin endpoints ("10.0.0.1:7400"). The
// results are in the order of the addresses.
func (o *Operations) Status(ctx context.Context, admins []string) []VMStatus {
	statuses := make([]VMStatus, len(admins))
	var group errgroup.Group
	group.SetLimit(maxParallelRequests)
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
	data, err := o.get(ctx, admin, PathStatus)
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

// Explain asks a VM how it routes the flow with the given hexadecimal id, or one request
// of the flow if request is not 0. It returns the VM's JSON, or ErrAdmin.
func (o *Operations) Explain(ctx context.Context, admin, flow string, request uint64) (json.RawMessage, error) {
	query := url.Values{"flow": {flow}}
	if request != 0 {
		query.Set("request", strconv.FormatUint(request, 10))
	}
	data, err := o.get(ctx, admin, PathExplain+"?"+query.Encode())
	if err != nil {
		return nil, err
	}
	if !json.Valid(data) {
		return nil, fmt.Errorf("%w %s: answer is not JSON", ErrAdmin, admin)
	}
	return data, nil
}

func (o *Operations) get(ctx context.Context, admin, path string) ([]byte, error) {
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAdminResponseBytes))
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
	Domain       string        `json:"domain"` // UnknownDomain for VMs that have not responded yet
	VMs          int           `json:"vms"`
	InForce      int           `json:"in_force"` // number of VMs with the revision
	Missing      []string      `json:"missing"`  // admin addresses of the other VMs
	InForceAfter time.Duration `json:"after_ns"` // since the start of Wait; 0 if some VM lacks the revision
}

// Done reports whether the revision is in force in the whole failure domain.
func (d DomainStatus) Done() bool { return d.InForce == d.VMs }

// UnknownDomain is the domain in DomainStatus of the VMs that have not responded yet.
const UnknownDomain = "unknown"

// WaitRequest holds the arguments of Wait.
type WaitRequest struct {
	Revision int64
	Admins   []string      // admin addresses of the VMs
	Interval time.Duration // between two requests to a VM; 0 means DefaultWaitInterval
	// Report is called for each failure domain when the revision is in force on all of
	// its VMs that have responded so far. It may be nil.
	Report func(DomainStatus)
}

// Wait polls the VMs until the revision is in force on all of them or ctx ends. It
// returns the status of the failure domains, sorted by name. It returns ErrNotInForce
// with them if the revision is not in force in all of them.
func (o *Operations) Wait(ctx context.Context, r WaitRequest) ([]DomainStatus, error) {
	w := &waitState{WaitRequest: r, start: o.config.Now(), statuses: make(map[string]VMStatus), inForceAfter: make(map[string]time.Duration)}
	if w.Interval == 0 {
		w.Interval = DefaultWaitInterval
	}
	for {
		for _, s := range o.Status(ctx, w.missingAdmins()) {
			w.recordStatus(s)
		}
		domains := w.domainStatuses(o.config.Now().Sub(w.start))
		if len(w.missingAdmins()) == 0 {
			return domains, nil
		}
		if err := o.config.Sleep(ctx, w.Interval); err != nil {
			return domains, fmt.Errorf("revision %d: %w: %w", r.Revision, ErrNotInForce, err)
		}
	}
}

// waitState is the state of one call of Wait.
type waitState struct {
	WaitRequest
	start        time.Time
	statuses     map[string]VMStatus // last status by admin address
	inForceAfter map[string]time.Duration
}

func (w *waitState) hasRevision(admin string) bool {
	s, ok := w.statuses[admin]
	return ok && s.TableRevision >= w.Revision
}

// missingAdmins returns the VMs that are not known to have the revision. The others need
// not be polled again, since a VM never returns to an older revision.
func (w *waitState) missingAdmins() []string {
	var admins []string
	for _, admin := range w.Admins {
		if !w.hasRevision(admin) {
			admins = append(admins, admin)
		}
	}
	return admins
}

func (w *waitState) recordStatus(s VMStatus) {
	if s.Error == "" {
		w.statuses[s.Admin] = s
	}
}

// domainStatuses returns the status of each failure domain and reports those in which
// the revision has come into force.
func (w *waitState) domainStatuses(elapsed time.Duration) []DomainStatus {
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
		if w.hasRevision(admin) {
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
		w.updateInForce(&all[i], elapsed)
	}
	return all
}

// updateInForce sets d.InForceAfter and calls Report when the domain is done for the
// first time.
func (w *waitState) updateInForce(d *DomainStatus, elapsed time.Duration) {
	if !d.Done() {
		// A VM that responds for the first time may not have the revision yet.
		delete(w.inForceAfter, d.Domain)
		return
	}
	inForceAfter, known := w.inForceAfter[d.Domain]
	if known {
		d.InForceAfter = inForceAfter
		return
	}
	w.inForceAfter[d.Domain] = elapsed
	d.InForceAfter = elapsed
	if w.Report != nil {
		w.Report(*d)
	}
}
