// Package httpget fetches small JSON documents over HTTP with bounded time, size
// and connections. It follows no redirects and uses no proxy.
package httpget

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// Errors of GetJSON.
var (
	// ErrUnreachable means that there was no complete response before the timeout.
	ErrUnreachable = errors.New("no response")
	// ErrStatus means that the response's status is not 200.
	ErrStatus = errors.New("unexpected status")
	// ErrMalformed means that the response is not the expected JSON or is too large.
	ErrMalformed = errors.New("malformed response")
)

// idleTimeout is the time after which an unused connection is closed. It is
// above the intervals of the pollers, so that they reuse connections.
const idleTimeout = 10 * time.Second

// Client makes GET requests. It is safe for concurrent use.
type Client struct {
	http     *http.Client
	timeout  time.Duration
	maxBytes int64
}

// New returns a client whose requests are bounded by timeout and whose responses
// are at most maxBytes long. local is the local address of its connections;
// if it is invalid, the system chooses.
func New(timeout time.Duration, maxBytes int64, local netip.Addr) *Client {
	dialer := &net.Dialer{Timeout: timeout}
	if local.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: local.AsSlice()}
	}
	return &Client{
		timeout:  timeout,
		maxBytes: maxBytes,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxIdleConnsPerHost: 1,
				IdleConnTimeout:     idleTimeout,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// GetJSON decodes the response to a GET of url into v. It returns ErrUnreachable,
// ErrStatus or ErrMalformed.
func (c *Client) GetJSON(ctx context.Context, url string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w %s", ErrStatus, response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, c.maxBytes+1))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if int64(len(data)) > c.maxBytes {
		return fmt.Errorf("%w: more than %d bytes", ErrMalformed, c.maxBytes)
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// Close closes unused connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}
