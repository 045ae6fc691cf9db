package caller

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/caller/session"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/kernel"
)

const (
	// DefaultTimeout is the timeout of a call whose context has no deadline.
	DefaultTimeout = 10 * time.Second
	// closeTimeout limits the time that Close waits for queued datagrams to be sent.
	closeTimeout = 2 * time.Second
)

// Config holds the settings of a client.
type Config struct {
	// Fabric lists the addresses at which entry VMs receive datagrams. Each datagram is
	// sent to one of them, and its retransmissions to the next ones. It is ignored if Transport is set.
	Fabric []netip.AddrPort
	// Transport replaces plain UDP sockets.
	Transport Transport
	// Sockets is the number of UDP sockets; 0 means 1.
	Sockets int
	// Timeout is the timeout of calls without a deadline; 0 means DefaultTimeout.
	Timeout time.Duration
	// Session holds the protocol settings; zero fields mean the defaults.
	Session session.Config
}

// Request is one request to a service.
type Request struct {
	// Kind is the number of the kind of work, counted from 0 in the order of the
	// operators' table.
	Kind message.KindID
	// Idempotent allows the request to be executed more than once.
	Idempotent bool
	// Payload must not be changed until Do returns.
	Payload []byte
}

// Client holds the flows to services. All methods are safe for concurrent use.
type Client struct {
	sessions  *SessionService
	sockets   *Sockets
	timeout   time.Duration
	cancel    context.CancelFunc
	done      chan struct{} // closed when the kernel has stopped
	kernelErr error         // error of Kernel.Run; valid after done is closed
}

// Flow is one flow to a service. All its requests go to one target, as long as that
// target is available.
type Flow struct {
	client *Client
	id     session.FlowID
}

// Dial opens the sockets and starts the client. It sends no datagram. It returns
// ErrNoFabric or an error of the transport.
func Dial(config Config) (*Client, error) {
	transport := config.Transport
	if transport == nil && len(config.Fabric) == 0 {
		return nil, fmt.Errorf("dial: %w", ErrNoFabric)
	}
	if transport == nil {
		transport = fabricAddresses(config.Fabric)
	}
	var seed [32]byte
	// Read of crypto/rand never fails.
	_, _ = rand.Read(seed[:])
	c := &Client{
		sessions: NewSessionService(session.New(config.Session, seed)),
		sockets:  NewSockets(transport, config.Sockets),
		timeout:  config.Timeout,
		done:     make(chan struct{}),
	}
	if c.timeout <= 0 {
		c.timeout = DefaultTimeout
	}
	if err := c.start(); err != nil {
		return nil, err
	}
	return c, nil
}

// start assembles the client's kernel and runs it in the background.
func (c *Client) start() error {
	k := kernel.New(kernel.NewClock())
	for _, s := range []kernel.Service{c.sockets, c.sessions} {
		if err := k.Register(s); err != nil {
			return fmt.Errorf("dial: %w", err)
		}
	}
	if err := k.Assemble(); err != nil {
		c.sockets.closeAll()
		return fmt.Errorf("dial: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go func() {
		defer close(c.done)
		c.kernelErr = k.Run(ctx, closeTimeout)
	}()
	return nil
}

// Close closes all flows, ends their calls with ErrClosed and waits until the client
// has stopped. It returns the error that stopped the client before, if any.
func (c *Client) Close() error {
	c.cancel()
	<-c.done
	if c.kernelErr != nil {
		return fmt.Errorf("close client: %w", c.kernelErr)
	}
	return nil
}

// OpenFlow opens a flow to a service and waits until it is bound to a target. It
// returns ErrDeadline, ErrCancelled, ErrOverloaded or ErrClosed.
func (c *Client) OpenFlow(ctx context.Context, service string) (*Flow, error) {
	if c.isDone() {
		return nil, fmt.Errorf("open flow: %w", ErrClosed)
	}
	opened := make(chan session.FlowID, 1)
	handle, err := c.sessions.Open(message.ServiceIDOf(service), func(id session.FlowID) { opened <- id })
	if err != nil {
		return nil, Translate(err)
	}
	select {
	case id := <-opened:
		return &Flow{client: c, id: id}, nil
	case <-c.done:
		return nil, fmt.Errorf("open flow: %w", ErrClosed)
	case <-ctx.Done():
		_ = c.sessions.Abandon(handle)
		return nil, contextError("open flow", ctx)
	}
}

// isDone reports whether the client has stopped.
func (c *Client) isDone() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// contextError returns ErrDeadline or ErrCancelled for a context that has ended.
func contextError(operation string, ctx context.Context) error {
	sentinel := ErrCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		sentinel = ErrDeadline
	}
	return fmt.Errorf("%s: %w: %w", operation, sentinel, ctx.Err())
}

// Do sends a request and waits for the complete answer. The context's deadline is
// the request's deadline. It returns ErrNotRun, ErrMayHaveRun, ErrDeadline,
// ErrCancelled, ErrTooLarge, ErrOverloaded or ErrClosed. ErrDeadline, ErrCancelled
// and ErrClosed come with ErrMayHaveRun or ErrNotRun if one of them is known to apply
// to the request.
func (f *Flow) Do(ctx context.Context, request Request) ([]byte, error) {
	if f.client.isDone() {
		return nil, fmt.Errorf("call: %w", ErrClosed)
	}
	timeout := f.client.timeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	call := session.Call{
		Kind:       request.Kind,
		Idempotent: request.Idempotent,
		Timeout:    timeout,
		Payload:    request.Payload,
	}
	results := make(chan session.Result, 1)
	handle, err := f.client.sessions.Do(f.id, call, func(r session.Result) { results <- r })
	if err != nil {
		return nil, Translate(err)
	}
	result, err := f.wait(ctx, handle, results)
	if err != nil {
		return nil, err
	}
	return result.Payload, Translate(result.Err)
}

// wait returns the call's result. The session ends the call at the context's
// deadline; if the context is cancelled, wait cancels the call.
func (f *Flow) wait(ctx context.Context, handle *CallHandle, results <-chan session.Result) (session.Result, error) {
	cancelled := ctx.Done()
	for {
		select {
		case r := <-results:
			return r, nil
		case <-f.client.done:
			return f.resultAfterStop(results)
		case <-cancelled:
			cancelled = nil
			if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
				_ = f.client.sessions.Cancel(handle)
			}
		}
	}
}

// resultAfterStop returns the result if it came before the client stopped. Otherwise
// it returns ErrMayHaveRun, since it is unknown whether the request was sent.
func (f *Flow) resultAfterStop(results <-chan session.Result) (session.Result, error) {
	select {
	case r := <-results:
		return r, nil
	default:
		return session.Result{}, fmt.Errorf("call: %w: %w", ErrClosed, ErrMayHaveRun)
	}
}

// Close ends the flow. Its calls fail with ErrClosed.
func (f *Flow) Close() error {
	return Translate(f.client.sessions.Close(f.id))
}

// Counters returns the counters of the client's session. It returns ErrClosed
// or ErrOverloaded.
func (c *Client) Counters() (session.Counters, error) {
	result := make(chan session.Counters, 1)
	err := c.sessions.Inspect(func(s *session.Session) { result <- s.Counters() })
	if err != nil {
		return session.Counters{}, Translate(err)
	}
	select {
	case counters := <-result:
		return counters, nil
	case <-c.done:
		return session.Counters{}, fmt.Errorf("counters: %w", ErrClosed)
	}
}

// WireID returns the flow's current id in datagrams, which operators pass to
// gypsumctl explain. It returns ErrClosed or ErrOverloaded.
func (f *Flow) WireID() (message.FlowID, error) {
	type found struct {
		id message.FlowID
		ok bool
	}
	result := make(chan found, 1)
	err := f.client.sessions.Inspect(func(s *session.Session) {
		id, ok := s.WireID(f.id)
		result <- found{id, ok}
	})
	if err != nil {
		return message.FlowID{}, Translate(err)
	}
	select {
	case r := <-result:
		if !r.ok {
			return message.FlowID{}, fmt.Errorf("flow: %w", ErrClosed)
		}
		return r.id, nil
	case <-f.client.done:
		return message.FlowID{}, fmt.Errorf("flow: %w", ErrClosed)
	}
}
