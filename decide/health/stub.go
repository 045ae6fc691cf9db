package health

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

type OutcomeKind int

const (
	Success OutcomeKind = iota
	Shed
	Timeout
	Unreachable
)

type State int

const (
	Unknown State = iota
	Cold
	Healthy
	Ejected
	Lost
)

type Config struct{}
type Tracker struct{}

func New(Config, time.Duration) *Tracker                             { return &Tracker{} }
func (t *Tracker) Outcome(time.Duration, OutcomeKind)                {}
func (t *Tracker) Report(time.Duration, *message.TargetReport)       {}
func (t *Tracker) State(time.Duration) State                         { return Healthy }
func (t *Tracker) Concurrency(now time.Duration, limit int) int      { return limit }
func (t *Tracker) Share(time.Duration) float64                       { return 1 }
func (t *Tracker) Draining(time.Duration) bool                       { return false }
func MayEject(a, b int) bool                                         { return a >= 3*(b+1) }
