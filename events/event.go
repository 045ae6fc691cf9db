package events

import (
	"errors"
	"fmt"
	"slices"

	"golang.org/x/time/rate"
)

// ErrLevel means that a text is not the name of a level.
var ErrLevel = errors.New("unknown log level")

// ErrFields means that the fields of a line differ from those that its event declares.
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
	// defaultRate is the sustained rate of a limited event, in lines per second.
	defaultRate = rate.Limit(1)
	// defaultBurst is the burst of a limited event, in lines.
	defaultBurst = 5
	// decisionBurst is the burst of events of the state machine, in lines. One change can
	// affect all targets that a VM owns, or all VMs of a failure domain of the current size.
	decisionBurst = 50
	// catalogRate and flowRate are the sustained rates, in lines per second, of events of
	// the catalog and of single flows. A VM that places more than flowRate flows per
	// second is flooded; the metrics count the flows without a line.
	catalogRate = rate.Limit(20)
	flowRate    = rate.Limit(50)
	// flowBurst is the burst of events of single flows, in lines.
	flowBurst = 200
)

// Event is the declaration of one kind of log line.
type Event struct {
	Number  string // "GS" and four digits; never reused
	Level   Level
	Name    string // snake_case
	Message string
	Fields  []string
	// Limited is set if callers, targets or other VMs can cause the event. A token
	// bucket with Rate and Burst then limits its lines.
	Limited bool
	Rate    rate.Limit // lines per second; 0 means defaultRate
	Burst   int        // lines; 0 means defaultBurst
}

// Field is one named value of a log line.
type Field struct {
	Name  string
	Value any
}

// F returns a field with the given name and value.
func F(name string, value any) Field {
	return Field{Name: name, Value: value}
}

// Check returns ErrFields unless the names of fields are those that the event
// declares, in the declared order.
func (e *Event) Check(fields []Field) error {
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		names = append(names, f.Name)
	}
	if !slices.Equal(names, e.Fields) {
		return fmt.Errorf("event %s: fields %v, want %v: %w", e.Number, names, e.Fields, ErrFields)
	}
	return nil
}
