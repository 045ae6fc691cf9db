package store

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gypsumspan/gypsumspan/store/etcdjson"
)

const (
	// DefaultTimeout is the default of HTTPConfig.Timeout.
	DefaultTimeout = 3 * time.Second
	// maxAnswerSize is the size of the largest answer that the client reads, in bytes. A
	// page of 32 values of 1 MB in base64 is smaller.
	maxAnswerSize = 64 << 20
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive so that
	// a peer behind a partition is detected within 5 s: a watch that waits for events
	// sends nothing itself.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// HTTPConfig configures an HTTP.
type HTTPConfig struct {
	// Endpoints are base URLs such as "http://10.0.0.5:2379", at least one.
	Endpoints []string
	// Timeout is the timeout of one call other than a watch, and of the confirmation
	// of a watch, at one endpoint. A call that tries several endpoints may take that long
	// at each. 0 means DefaultTimeout.
	Timeout time.Duration
	// LocalAddr is the local address of connections; if it is invalid, the system
	// chooses.
	LocalAddr netip.Addr
	// TLS returns the configuration for one connection to the https endpoint at host. If
	// it is nil, the system's CAs are trusted.
	TLS func(host string) *tls.Config
}

// HTTP is a client for the JSON form of the etcd v3 API; it implements Store. It uses
// one endpoint until a call there returns ErrUnavailable or ErrUncertain, then the next.
type HTTP struct {
	endpoints []string
	timeout   time.Duration
	client    *http.Client
	current   atomic.Uint32 // index of the endpoint in use, modulo their number
}

// NewHTTP returns a client. It opens no connection. It returns ErrProtocol if there is
// no endpoint or one that is not an http or https URL.
func NewHTTP(config HTTPConfig) (*HTTP, error) {
	if len(config.Endpoints) == 0 {
		return nil, fmt.Errorf("no endpoint of the store is configured: %w", ErrProtocol)
	}
	h := &HTTP{timeout: config.Timeout}
	if h.timeout == 0 {
		h.timeout = DefaultTimeout
	}
	for _, endpoint := range config.Endpoints {
		if !strings.HasPrefix(endpoint, "http://") && !strings.HasPrefix(endpoint, "https://") {
			return nil, fmt.Errorf("endpoint %q does not start with http:// or https://: %w", endpoint, ErrProtocol)
		}
		h.endpoints = append(h.endpoints, strings.TrimRight(endpoint, "/"))
	}
	h.client = &http.Client{Transport: newTransport(h.timeout, config)}
	return h, nil
}

func newTransport(timeout time.Duration, config HTTPConfig) *http.Transport {
	dialer := &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	if config.LocalAddr.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: config.LocalAddr.AsSlice()}
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		TLSHandshakeTimeout: timeout,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,
	}
	if config.TLS != nil {
		transport.DialTLSContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			return dialTLS(ctx, dialer, network, addr, config.TLS)
		}
	}
	return transport
}

// dialTLS opens a TLS connection. It calls config for each connection, so that changed
// certificates take effect without a restart.
func dialTLS(ctx context.Context, dialer *net.Dialer, network, addr string, config func(host string) *tls.Config) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialer.Timeout)
	defer cancel()
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := tls.Client(conn, config(host))
	if err := c.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// Close closes the idle connections.
func (h *HTTP) Close() { h.client.CloseIdleConnections() }

// Range implements Store.
func (h *HTTP) Range(ctx context.Context, r RangeRequest) (RangeResponse, error) {
	in := etcdjson.RangeRequest{Key: []byte(r.Span.Key), RangeEnd: []byte(r.Span.End()), Limit: r.Limit, Revision: r.Revision, KeysOnly: r.KeysOnly}
	if r.After != "" {
		in.Key = []byte(r.After + "\x00")
	}
	var out etcdjson.RangeResponse
	if err := h.call(ctx, etcdjson.PathRange, in, &out, false); err != nil {
		return RangeResponse{}, err
	}
	answer := RangeResponse{Revision: out.Header.Revision, More: out.More, Count: out.Count}
	for _, kv := range out.KVs {
		answer.KVs = append(answer.KVs, kvFromJSON(kv))
	}
	if r.KeysOnly {
		for i := range answer.KVs {
			answer.KVs[i].Value = nil
		}
	}
	return answer, nil
}

func kvFromJSON(kv etcdjson.KeyValue) KV {
	value := kv.Value
	if value == nil {
		// Empty values are omitted in the JSON form.
		value = []byte{}
	}
	return KV{
		Key:            string(kv.Key),
		Value:          value,
		CreateRevision: kv.CreateRevision,
		ModRevision:    kv.ModRevision,
		Lease:          LeaseID(kv.Lease),
	}
}

// Txn implements Store.
func (h *HTTP) Txn(ctx context.Context, t Txn) (TxnResponse, error) {
	var in etcdjson.TxnRequest
	for _, c := range t.Compares {
		in.Compare = append(in.Compare, etcdjson.Compare{Result: "EQUAL", Target: "MOD", Key: []byte(c.Key), ModRevision: c.ModRevision})
	}
	for _, p := range t.Puts {
		put := &etcdjson.PutRequest{Key: []byte(p.Key), Value: p.Value, Lease: int64(p.Lease)}
		in.Success = append(in.Success, etcdjson.RequestOp{Put: put})
	}
	for _, key := range t.Deletes {
		in.Success = append(in.Success, etcdjson.RequestOp{Delete: &etcdjson.DeleteRangeRequest{Key: []byte(key)}})
	}
	var out etcdjson.TxnResponse
	if err := h.call(ctx, etcdjson.PathTxn, in, &out, true); err != nil {
		return TxnResponse{}, err
	}
	return TxnResponse{Revision: out.Header.Revision, Succeeded: out.Succeeded}, nil
}

// Grant implements Store.
func (h *HTTP) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	in := etcdjson.GrantRequest{TTL: int64((ttl + time.Second - 1) / time.Second)}
	var out etcdjson.GrantResponse
	if err := h.call(ctx, etcdjson.PathGrant, in, &out, true); err != nil {
		return 0, err
	}
	if out.ID == 0 {
		return 0, fmt.Errorf("granted lease has no id: %s: %w", out.Error, ErrProtocol)
	}
	return LeaseID(out.ID), nil
}

// KeepAlive implements Store.
func (h *HTTP) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	var out etcdjson.Stream[etcdjson.KeepAliveResponse]
	if err := h.call(ctx, etcdjson.PathKeepAlive, etcdjson.KeepAliveRequest{ID: int64(id)}, &out, false); err != nil {
		return 0, err
	}
	if out.Error != nil {
		return 0, streamError(out.Error)
	}
	if out.Result == nil {
		return 0, fmt.Errorf("keep-alive without result: %w", ErrProtocol)
	}
	if out.Result.TTL <= 0 {
		return 0, fmt.Errorf("lease %d: %w", id, ErrLeaseUnknown)
	}
	return time.Duration(out.Result.TTL) * time.Second, nil
}

// streamError returns the error for the error message of a stream.
func streamError(e *etcdjson.StreamError) error {
	code := max(e.Code, e.GRPCCode)
	status := http.StatusOK
	switch code {
	case etcdjson.CodeUnavailable, etcdjson.CodeInternal:
		status = http.StatusServiceUnavailable
	case etcdjson.CodeResourceExhausted:
		status = http.StatusTooManyRequests
	}
	return fmt.Errorf("%w: %s", classify(status, code, e.Message, false), e.Message)
}

// call makes one call and decodes the answer into out. While the endpoint in use is
// unavailable it tries the next, in at most as many attempts as endpoints. write means
// that the call may change the store: it is not repeated if its answer was lost.
func (h *HTTP) call(ctx context.Context, path string, in, out any, write bool) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode %s: %w: %w", path, ErrProtocol, err)
	}
	for range h.endpoints {
		err = h.callOnce(ctx, path, body, out, write)
		unavailable := errors.Is(err, ErrUnavailable)
		if unavailable || errors.Is(err, ErrUncertain) {
			h.current.Add(1)
		}
		if !unavailable || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (h *HTTP) callOnce(ctx context.Context, path string, body []byte, out any, write bool) error {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	response, err := h.post(ctx, path, body, write)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerSize)).Decode(out); err != nil {
		return fmt.Errorf("%s: read answer: %w: %w", path, lostAnswerError(write), err)
	}
	return nil
}

// post sends a request to the current endpoint. It returns the response if its status is
// 200; any other status is an error.
func (h *HTTP) post(ctx context.Context, path string, body []byte, write bool) (*http.Response, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})
	endpoint := h.endpoints[int(h.current.Load())%len(h.endpoints)]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", path, ErrProtocol, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := h.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", lostAnswerError(write && sent.Load()), err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	const maxErrorBody = 64 << 10
	answer, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	return nil, fmt.Errorf("%s%s: %w", endpoint, path, statusError(response.StatusCode, answer, write))
}

// lostAnswerError returns the error of a call without an answer.
func lostAnswerError(mayHaveTakenEffect bool) error {
	if mayHaveTakenEffect {
		return ErrUncertain
	}
	return ErrUnavailable
}
