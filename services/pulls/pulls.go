// Package pulls is the service "pulls": it fetches over HTTP, from other VMs, the
// changes of the catalog that this VM misses. The service "relay" selects the VM and
// receives the results.
package pulls

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/decide/revision"
	"github.com/gypsumspan/gypsumspan/httpbody"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/wire/relaywire"
)

// Name is the service's name.
const Name = "pulls"

// Path is the HTTP path of pulls on the control address. The query parameters state the
// revision after which changes are requested: its number and its era, which VMs of builds that
// know no eras do not send.
const (
	Path           = "/v1/news"
	AfterParameter = "after"
	EraParameter   = "era"
)

const (
	// Timeout bounds one pull. A large response may take longer while it makes progress; see package
	// httpbody.
	Timeout = 800 * time.Millisecond
	// maxResponseSize is the largest response to a pull, in bytes.
	maxResponseSize = 64 << 20
	// inboxName is the name of the service that implements Inbox.
	inboxName = "relay"
)

// ErrPull means that a pull from another VM failed.
var ErrPull = errors.New("pull from another VM failed")

// Result is the outcome of one pull.
type Result struct {
	Peer      string        // name of the VM that was requested
	StartedAt time.Duration // kernel time at which the pull started
	Update    relay.Update
	Err       error // wraps ErrPull; Update is not set then
}

// Inbox receives the results; it is the service "relay".
type Inbox interface {
	HandlePullResult(r Result) error
}

// Service is the service "pulls".
type Service struct {
	kernel   *kernel.Kernel
	inbox    Inbox
	client   *http.Client
	requests *kernel.Ring[relay.Pull]
}

// New returns the service.
func New() *Service {
	return &Service{client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return nil }

// Setup implements kernel.Service.
func (s *Service) Setup(k *kernel.Kernel) error {
	s.kernel = k
	s.requests = kernel.NewRing[relay.Pull](k, "pulls.wanted", 1, kernel.DropOldest, kernel.NewGate())
	return nil
}

// Connect implements kernel.Service.
func (s *Service) Connect(k *kernel.Kernel) error {
	var err error
	if s.inbox, err = kernel.Lookup[Inbox](k, inboxName); err != nil {
		return err
	}
	k.AddBlocker(kernel.Blocker{Name: "pulls", Run: s.run})
	return nil
}

// Pull queues a pull from another VM. It replaces a queued pull that has not started.
func (s *Service) Pull(p relay.Pull) { _ = s.requests.Put(p) }

// run performs pulls until ctx ends.
func (s *Service) run(ctx context.Context) error {
	for {
		p, ok := s.requests.Wait(ctx)
		if !ok {
			return nil
		}
		result := Result{Peer: p.Name, StartedAt: s.kernel.Now()}
		result.Update, result.Err = s.pull(ctx, p.From, p.After)
		if s.inbox.HandlePullResult(result) != nil {
			return nil
		}
	}
}

func (s *Service) pull(ctx context.Context, from netip.AddrPort, after revision.Revision) (relay.Update, error) {
	url := fmt.Sprintf("http://%s%s?%s=%d&%s=%d", from, Path, AfterParameter, after.Number(), EraParameter, after.Era())
	ctx, deadline := httpbody.Start(ctx, Timeout)
	defer deadline.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return relay.Update{}, fmt.Errorf("%w: %w", ErrPull, err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return relay.Update{}, fmt.Errorf("%w: %w", ErrPull, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return relay.Update{}, fmt.Errorf("status %d: %w", response.StatusCode, ErrPull)
	}
	body, err := deadline.ReadAll(response.Body, response.ContentLength, maxResponseSize)
	if err != nil {
		return relay.Update{}, fmt.Errorf("%w: %w", ErrPull, err)
	}
	update, err := relaywire.DecodeUpdate(body)
	if err != nil {
		return relay.Update{}, fmt.Errorf("%w: %w", ErrPull, err)
	}
	return update, nil
}
