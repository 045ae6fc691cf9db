// Package pulls is the service "pulls": it asks other VMs over HTTP for the changes
// of the catalog that this VM misses. The service "relay" says whom to ask, and
// takes the answers.
package pulls

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/wire/relaywire"
)

// Name is the service's name.
const Name = "pulls"

// Path is the path of pulls on the control address. Its query holds "after", the
// revision after which changes are wanted.
const Path = "/v1/news"

const (
	// timeout bounds one pull.
	timeout = 800 * time.Millisecond
	// maxNews is the largest answer to a pull, in bytes.
	maxNews = 64 << 20
	// inboxName is the name of the service that takes the answers.
	inboxName = "relay"
)

// ErrPull means that a pull from another VM failed.
var ErrPull = errors.New("pull from another VM failed")

// Result is the outcome of one pull.
type Result struct {
	Peer      string        // name of the VM that was asked
	StartedAt time.Duration // when, since start
	News      relay.News
	Err       error // ErrPull; News is not set then
}

// Inbox takes the answers; it is the service "relay".
type Inbox interface {
	HandlePullResult(a Result) error
}

// Service is the service "pulls".
type Service struct {
	kernel *kernel.Kernel
	inbox  Inbox
	client *http.Client
	wanted *kernel.Ring[relay.Pull]
}

// New returns the service.
func New() *Service {
	return &Service{client: &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	}}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return nil }

// Setup implements kernel.Service.
func (s *Service) Setup(k *kernel.Kernel) error {
	s.kernel = k
	s.wanted = kernel.NewRing[relay.Pull](k, "pulls.wanted", 1, kernel.DropOldest, kernel.NewGate())
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

// Pull asks another VM. It replaces a pull that has not begun.
func (s *Service) Pull(p relay.Pull) { _ = s.wanted.Put(p) }

// run performs pulls until ctx ends.
func (s *Service) run(ctx context.Context) error {
	for {
		p, ok := s.wanted.Wait(ctx)
		if !ok {
			return nil
		}
		answer := Result{Peer: p.Name, StartedAt: s.kernel.Now()}
		answer.News, answer.Err = s.pull(ctx, p.From, p.After)
		if s.inbox.HandlePullResult(answer) != nil {
			return nil
		}
	}
}

func (s *Service) pull(ctx context.Context, from netip.AddrPort, after int64) (relay.News, error) {
	url := "http://" + from.String() + Path + "?after=" + strconv.FormatInt(after, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return relay.News{}, fmt.Errorf("%w: %w", ErrPull, err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return relay.News{}, fmt.Errorf("%w: %w", ErrPull, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return relay.News{}, fmt.Errorf("status %d: %w", response.StatusCode, ErrPull)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxNews))
	if err != nil {
		return relay.News{}, fmt.Errorf("%w: %w", ErrPull, err)
	}
	news, err := relaywire.DecodeNews(body)
	if err != nil {
		return relay.News{}, fmt.Errorf("%w: %w", ErrPull, err)
	}
	return news, nil
}
