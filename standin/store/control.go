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

// Paths of the control of faults. They lie outside the paths of the protocol.
const (
	PathControl = "/standin/control"
	PathCalls   = "/standin/calls"
)

// maxLosses bounds the losses of one Control.
const maxLosses = 10_000

// Control changes the faults in force. Nil and zero fields change nothing.
type Control struct {
	Outage  *bool `json:"outage,omitempty"`
	DelayMS *int  `json:"delay_ms,omitempty"` // wait before each call is made
	// LoseAnswers is the number of next writes that are made without an answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseWrites is the number of writes after those that are not made and get no answer.
	LoseWrites  int  `json:"lose_writes,omitempty"`
	DropWatches bool `json:"drop_watches,omitempty"` // end the waiting watches
}

// Apply changes the faults. It returns ErrControl, and then nothing is changed.
func (e *Engine) Apply(c Control) error {
	if c.DelayMS != nil && *c.DelayMS < 0 {
		return fmt.Errorf("delay of %d ms: %w", *c.DelayMS, ErrControl)
	}
	for _, n := range []int{c.LoseAnswers, c.LoseWrites} {
		if n < 0 || n > maxLosses {
			return fmt.Errorf("%d losses, from 0 to %d are possible: %w", n, maxLosses, ErrControl)
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

// handleControl adds the control of faults to the handler of the protocol:
//
//	POST /standin/control  Control
//	GET  /standin/calls    Calls
func handleControl(mux *http.ServeMux, e *Engine) {
	mux.HandleFunc("POST "+PathControl, func(w http.ResponseWriter, r *http.Request) {
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
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
	// A failed write means that the client has gone.
	_ = json.NewEncoder(w).Encode(v)
}
