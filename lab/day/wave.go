package day

import (
	"errors"
	"math"
	"time"
)

// Wave makes the rates of all kinds of request vary as a sine.
type Wave struct {
	Swing  float64   `toml:"swing"`  // amplitude relative to the mean rate, 0 to 1
	Period Duration  `toml:"period"` // of the sine
	Phases []float64 `toml:"phases"` // of each failure domain, in periods; missing ones are 0
}

// Tail makes a random part of all requests take longer.
type Tail struct {
	Share  float64 `toml:"share"`
	Factor float64 `toml:"factor"` // multiplier of the time at a target
}

// factor returns the multiplier of the request rates in a failure domain.
func (w Wave) factor(now time.Duration, domain int) float64 {
	if w.Swing == 0 {
		return 1
	}
	phase := 0.0
	if domain < len(w.Phases) {
		phase = w.Phases[domain]
	}
	return 1 + w.Swing*math.Sin(2*math.Pi*(now.Seconds()/w.Period.D().Seconds()+phase))
}

func (w Wave) validate(domains int) (errs []error) {
	if w.Swing < 0 || w.Swing > 1 {
		errs = append(errs, errors.New("wave: swing must be from 0 to 1"))
	}
	if w.Swing > 0 && w.Period <= 0 {
		errs = append(errs, errors.New("wave: period must be above 0"))
	}
	if len(w.Phases) > domains {
		errs = append(errs, errors.New("wave: more phases than failure domains"))
	}
	return errs
}
