package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// ErrControl means that a Control has a value out of range.
var ErrControl = errors.New("invalid control")

// HTTP paths of fault injection and call counters. They are not part of the etcd API.
const (
	PathControl = "/standin/control"
	PathCalls   = "/standin/calls"
)

// maxQueuedFaults is the largest value of each of Control.LoseAnswers and LoseWrites.
const maxQueuedFaults = 10_000

// Control injects or clears faults. Nil and zero fields change nothing.
type Control struct {
	Outage  *bool `json:"outage,omitempty"`
	DelayMS *int  `json:"delay_ms,omitempty"` // delay before each call is executed, in milliseconds
	// LoseAnswers is the number of next writes that are applied but get no response.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseWrites is the number of writes after those that are neither applied nor get a
	// response.
	LoseWrites  int  `json:"lose_writes,omitempty"`
	DropWatches bool `json:"drop_watches,omitempty"` // terminate all open watches
}

// Apply injects or clears faults. If it returns ErrControl, nothing has changed.
func (e *Engine) Apply(c Control) error {
	if c.DelayMS != nil && *c.DelayMS < 0 {
		return fmt.Errorf("negative delay of %d ms: %w", *c.DelayMS, ErrControl)
	}
	for _, n := range []int{c.LoseAnswers, c.LoseWrites} {
		if n < 0 || n > maxQueuedFaults {
			return fmt.Errorf("number of lost writes %d is not from 0 to %d: %w", n, maxQueuedFaults, ErrControl)
		}
	}
	if c.Outage != nil {
		e.SetOutage(*c.Outage)
	}
	if c.DelayMS != nil {
		e.SetDelay(time.Duration(*c.DelayMS) * time.Millisecond)
	}
	for range c.LoseAnswers {
		e.LoseAnswer(true)
	}
	for range c.LoseWrites {
		e.LoseAnswer(false)
	}
	if c.DropWatches {
		e.DropWatches()
	}
	return nil
}

// handleControl registers the endpoints of fault injection and call counters:
//
//	POST /standin/control  Control
//	GET  /standin/calls    Calls
func handleControl(mux *http.ServeMux, e *Engine) {
	mux.HandleFunc("POST "+PathControl, func(w http.ResponseWriter, r *http.Request) {
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		decoder.DisallowUnknownFields()
		var c Control
		err := decoder.Decode(&c)
		if err == nil {
			err = e.Apply(c)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, c)
	})
	mux.HandleFunc("GET "+PathCalls, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, e.Calls())
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
