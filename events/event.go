package events

import (
	"errors"
	"fmt"
	"slices"

	"golang.org/x/time/rate"
)

// ErrLevel means that a text is not the name of a level.
var ErrLevel = errors.New("unknown log level")

// ErrFields means that a line does not have the fields that its event declares.
var ErrFields = errors.New("fields differ from the event's declaration")

// Level is the severity of an event.
type Level uint8

// The levels, from the least severe.
const (
	Debug Level = iota + 1
	Info
	Warn
	Error
)

// Levels returns the names of all levels, from the least severe.
func Levels() []string {
	return []string{"debug", "info", "warn", "error"}
}

// String returns the level's name as it appears in settings and log lines.
func (l Level) String() string {
	if l < Debug || l > Error {
		return fmt.Sprintf("level(%d)", uint8(l))
	}
	return Levels()[l-Debug]
}

// ParseLevel returns the level called name, or ErrLevel.
func ParseLevel(name string) (Level, error) {
	i := slices.Index(Levels(), name)
	if i < 0 {
		return 0, fmt.Errorf("%q: %w", name, ErrLevel)
	}
	return Debug + Level(i), nil
}

const (
	// limitRate is the sustained rate of a limited event, in lines per second.
	limitRate = rate.Limit(1)
	// limitBurst is the number of lines that a limited event may write at once.
	limitBurst = 5
	// decisionBurst is the burst of events of decisions: one change concerns all
	// targets that a VM owns, or all VMs of a failure domain of today's size.
	decisionBurst = 50
	// changeRate and flowRate are sustained rates, in lines per second, of events of
	// the catalog and of single flows. A VM that places more than flowRate flows a
	// second is flooded; the counters tell the rest.
	changeRate = rate.Limit(20)
	flowRate   = rate.Limit(50)
	// flowBurst is the number of lines on flows that a VM may write at once.
	flowBurst = 200
)

// Event is the declaration of one kind of log line.
type Event struct {
	Number  string // "GS" and four digits; never reused
	Level   Level
	Name    string // snake_case
	Message string
	Fields  []string
	// Limited events can be caused by callers, targets or other VMs. They are
	// written at a bounded rate after a burst.
	Limited bool
	Rate    rate.Limit // lines per second; 0 means 1
	Burst   int        // lines; 0 means 5
}

// Field is one named value of a log line.
type Field struct {
	Name  string
	Value any
}

// F returns a field.
func F(name string, value any) Field {
	return Field{Name: name, Value: value}
}

// Check returns ErrFields unless fields are those that the event declares, in
// the declared order.
func (e *Event) Check(fields []Field) error {
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		names = append(names, f.Name)
	}
	if !slices.Equal(names, e.Fields) {
		return fmt.Errorf("event %s has fields %v, declared are %v: %w", e.Number, names, e.Fields, ErrFields)
	}
	return nil
}
