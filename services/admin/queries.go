package admin

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/services/core"
)

// Errors of queries.
var (
	// ErrBusy means that too many commands are queued for the core duty.
	ErrBusy = errors.New("too many queries are queued")
	// ErrTimeout means that the core duty did not respond before the timeout.
	ErrTimeout = errors.New("query timed out")
	// ErrUnsupported means that the state machine does not support the query.
	ErrUnsupported = errors.New("query is not supported")
	// ErrInvalidFlow means that a flow id is not 32 hexadecimal digits.
	ErrInvalidFlow = errors.New("flow is not 32 hexadecimal digits")
	// ErrInvalidRequest means that a request id is not a decimal number above 0.
	ErrInvalidRequest = errors.New("request is not a decimal number above 0")
)

// queryFunc runs on the core duty and returns a response. It must not retain m.
type queryFunc func(m core.Machine) ([]byte, error)

type queryResult struct {
	data []byte
	err  error
}

// query runs q on the core duty and returns its result, ErrBusy or ErrTimeout.
func (s *Service) query(ctx context.Context, q queryFunc) ([]byte, error) {
	results := make(chan queryResult, 1)
	err := s.core.Do(func(_ time.Duration, m core.Machine) []message.Message {
		data, err := q(m)
		results <- queryResult{data: data, err: err}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBusy, err)
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.QueryTimeout)
	defer cancel()
	select {
	case r := <-results:
		return r.data, r.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrTimeout, ctx.Err())
	}
}

func (s *Service) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.healthz)
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("GET /v1/explain", s.explain)
	return mux
}

func (s *Service) healthz(w http.ResponseWriter, r *http.Request) {
	data, err := s.query(r.Context(), func(core.Machine) ([]byte, error) { return []byte("ok\n"), nil })
	s.writeResponse(w, r, "text/plain; charset=utf-8", data, err)
}

func (s *Service) status(w http.ResponseWriter, r *http.Request) {
	data, err := s.query(r.Context(), s.encodeStatus)
	s.writeResponse(w, r, "application/json", data, err)
}

// encodeStatus merges the fields that the service sets with those of the state machine.
func (s *Service) encodeStatus(m core.Machine) ([]byte, error) {
	fields := map[string]any{
		"vm":             s.config.VM,
		"domain":         s.config.Domain,
		"table_revision": uint64(0),
		"leaving":        false,
		"members":        0,
		"owned":          []string{},
	}
	if t, ok := m.(TableVersioner); ok {
		fields["table_revision"] = t.TableVersion()
	}
	if status, ok := m.(StatusReporter); ok {
		data, err := json.Marshal(status.Status())
		if err != nil {
			return nil, fmt.Errorf("encode status: %w", err)
		}
		machineFields := make(map[string]json.RawMessage)
		if err := json.Unmarshal(data, &machineFields); err != nil {
			return nil, fmt.Errorf("status is not a JSON object: %w", err)
		}
		for name, value := range machineFields {
			fields[name] = value
		}
	}
	return json.Marshal(fields)
}

func (s *Service) explain(w http.ResponseWriter, r *http.Request) {
	flow, err := parseFlow(r.URL.Query().Get("flow"))
	if err != nil {
		s.writeResponse(w, r, "", nil, err)
		return
	}
	request, err := parseRequest(r.URL.Query().Get("request"))
	if err != nil {
		s.writeResponse(w, r, "", nil, err)
		return
	}
	data, err := s.query(r.Context(), func(m core.Machine) ([]byte, error) {
		explainer, ok := m.(Explainer)
		if !ok {
			return nil, ErrUnsupported
		}
		return json.Marshal(explainer.Explain(flow, request))
	})
	s.writeResponse(w, r, "application/json", data, err)
}

// parseFlow parses a flow id of 32 hexadecimal digits, the format of FlowID.String.
func parseFlow(text string) (message.FlowID, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != 16 {
		return message.FlowID{}, fmt.Errorf("%q: %w", text, ErrInvalidFlow)
	}
	return message.FlowID{Hi: binary.BigEndian.Uint64(raw), Lo: binary.BigEndian.Uint64(raw[8:])}, nil
}

// parseRequest parses a decimal request id. It returns 0 for an empty text.
func parseRequest(text string) (message.RequestID, error) {
	if text == "" {
		return 0, nil
	}
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil || id == 0 {
		return 0, fmt.Errorf("%q: %w", text, ErrInvalidRequest)
	}
	return message.RequestID(id), nil
}

// writeResponse writes data, or the status and text of err if it is not nil.
func (s *Service) writeResponse(w http.ResponseWriter, r *http.Request, contentType string, data []byte, err error) {
	if err != nil {
		code := statusOf(err)
		if code >= http.StatusInternalServerError {
			s.log.Log(events.AdminAnswerFailed, events.F("path", r.URL.Path), events.F("error", err))
		}
		http.Error(w, err.Error(), code)
		return
	}
	w.Header().Set("Content-Type", contentType)
	// A write error means that the client has disconnected.
	_, _ = w.Write(data)
}

// statusOf returns the HTTP status code of an error.
func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrInvalidFlow), errors.Is(err, ErrInvalidRequest):
		return http.StatusBadRequest
	case errors.Is(err, ErrBusy):
		return http.StatusServiceUnavailable
	case errors.Is(err, ErrTimeout):
		return http.StatusGatewayTimeout
	case errors.Is(err, ErrUnsupported):
		return http.StatusNotImplemented
	default:
		return http.StatusInternalServerError
	}
}
