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

// Errors of questions.
var (
	// ErrBusy means that too many commands wait for the core duty.
	ErrBusy = errors.New("too many questions wait")
	// ErrNoAnswer means that the core duty did not answer in time.
	ErrNoAnswer = errors.New("no answer in time")
	// ErrUnsupported means that the machine can't answer the question.
	ErrUnsupported = errors.New("question is not supported")
	// ErrInvalidFlow means that a flow id is not 32 hexadecimal digits.
	ErrInvalidFlow = errors.New("flow is not 32 hexadecimal digits")
	// ErrInvalidRequest means that a request id is not a decimal number above 0.
	ErrInvalidRequest = errors.New("request is not a decimal number above 0")
)

// question is answered on the core duty. It must not keep the machine.
type question func(m core.Machine) ([]byte, error)

type reply struct {
	data []byte
	err  error
}

// ask runs q on the core duty and waits for its answer.
func (s *Service) ask(ctx context.Context, q question) ([]byte, error) {
	answers := make(chan reply, 1)
	err := s.core.Do(func(_ time.Duration, m core.Machine) []message.Message {
		data, err := q(m)
		answers <- reply{data: data, err: err}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBusy, err)
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.QueryTimeout)
	defer cancel()
	select {
	case r := <-answers:
		return r.data, r.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, ctx.Err())
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
	data, err := s.ask(r.Context(), func(core.Machine) ([]byte, error) { return []byte("ok\n"), nil })
	s.write(w, r, "text/plain; charset=utf-8", data, err)
}

func (s *Service) status(w http.ResponseWriter, r *http.Request) {
	data, err := s.ask(r.Context(), s.encodeStatus)
	s.write(w, r, "application/json", data, err)
}

// encodeStatus merges the fields that the service knows with those of the machine.
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
		own := make(map[string]json.RawMessage)
		if err := json.Unmarshal(data, &own); err != nil {
			return nil, fmt.Errorf("status is not a JSON object: %w", err)
		}
		for name, value := range own {
			fields[name] = value
		}
	}
	return json.Marshal(fields)
}

func (s *Service) explain(w http.ResponseWriter, r *http.Request) {
	flow, err := parseFlow(r.URL.Query().Get("flow"))
	if err != nil {
		s.write(w, r, "", nil, err)
		return
	}
	request, err := parseRequest(r.URL.Query().Get("request"))
	if err != nil {
		s.write(w, r, "", nil, err)
		return
	}
	data, err := s.ask(r.Context(), func(m core.Machine) ([]byte, error) {
		explainer, ok := m.(Explainer)
		if !ok {
			return nil, ErrUnsupported
		}
		return json.Marshal(explainer.Explain(flow, request))
	})
	s.write(w, r, "application/json", data, err)
}

// parseFlow returns the flow of 32 hexadecimal digits, as FlowID.String writes it.
func parseFlow(text string) (message.FlowID, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != 16 {
		return message.FlowID{}, fmt.Errorf("%q: %w", text, ErrInvalidFlow)
	}
	return message.FlowID{Hi: binary.BigEndian.Uint64(raw), Lo: binary.BigEndian.Uint64(raw[8:])}, nil
}

// parseRequest returns the request id in decimal digits, or 0 for no text.
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

// write sends an answer, or the status of an error.
func (s *Service) write(w http.ResponseWriter, r *http.Request, contentType string, data []byte, err error) {
	if err != nil {
		code := statusOf(err)
		if code >= http.StatusInternalServerError {
			s.log.Log(events.AdminAnswerFailed, events.F("path", r.URL.Path), events.F("error", err))
		}
		http.Error(w, err.Error(), code)
		return
	}
	w.Header().Set("Content-Type", contentType)
	// An error here means that the client has gone.
	_, _ = w.Write(data)
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrInvalidFlow), errors.Is(err, ErrInvalidRequest):
		return http.StatusBadRequest
	case errors.Is(err, ErrBusy):
		return http.StatusServiceUnavailable
	case errors.Is(err, ErrNoAnswer):
		return http.StatusGatewayTimeout
	case errors.Is(err, ErrUnsupported):
		return http.StatusNotImplemented
	default:
		return http.StatusInternalServerError
	}
}
