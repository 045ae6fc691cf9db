package events

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// ErrFormat means that a text is not the name of a log format.
var ErrFormat = errors.New("unknown log format")

// Format is the form of log lines.
type Format string

// The formats.
const (
	JSON Format = "json"
	Text Format = "text"
)

// ParseFormat returns the format called name, or ErrFormat.
func ParseFormat(name string) (Format, error) {
	switch f := Format(name); f {
	case JSON, Text:
		return f, nil
	default:
		return "", fmt.Errorf("%q: %w", name, ErrFormat)
	}
}

// Line is one log line: an occurrence of an event.
type Line struct {
	Time       time.Time
	Event      *Event
	Fields     []Field
	Suppressed uint64 // lines of the event that the rate limit suppressed before this one
}

// Logger writes events. Its methods are safe for concurrent use.
type Logger struct {
	level    atomic.Uint32 // a Level
	write    func(Line)
	now      func() time.Time
	limiters map[*Event]*rateLimiter
}

// rateLimiter limits the lines of one event and counts those it suppresses.
type rateLimiter struct {
	limiter    *rate.Limiter
	suppressed atomic.Uint64
}

// New returns a logger that writes events of at least level to w.
func New(w io.Writer, format Format, level Level) *Logger {
	out := logrus.New()
	out.SetOutput(w)
	out.SetLevel(logrus.DebugLevel)
	if format == JSON {
		out.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	} else {
		out.SetFormatter(&logrus.TextFormatter{
			DisableColors:   true,
			FullTimestamp:   true,
			TimestampFormat: time.RFC3339Nano,
		})
	}
	return newLogger(level, func(l Line) { writeLine(out, l) }, time.Now)
}

func newLogger(level Level, write func(Line), now func() time.Time) *Logger {
	l := &Logger{write: write, now: now, limiters: make(map[*Event]*rateLimiter)}
	l.SetLevel(level)
	for _, e := range All() {
		if e.Limited {
			l.limiters[e] = &rateLimiter{limiter: rate.NewLimiter(cmp.Or(e.Rate, defaultRate), cmp.Or(e.Burst, defaultBurst))}
		}
	}
	return l
}

// SetLevel sets the minimum level of events that are written.
func (l *Logger) SetLevel(level Level) { l.level.Store(uint32(level)) }

// Log writes a line of event e, unless its level or its rate limit suppresses it.
// The fields must be those that the event declares, in the declared order.
func (l *Logger) Log(e *Event, fields ...Field) {
	line, ok := l.Admit(e, fields)
	if ok {
		l.Write(line)
	}
}

// Admit applies the level and the rate limit. It returns the line to pass to Write, or
// false if the line is suppressed. It serves callers that write on another duty.
func (l *Logger) Admit(e *Event, fields []Field) (Line, bool) {
	if e.Level < Level(l.level.Load()) {
		return Line{}, false
	}
	now := l.now()
	line := Line{Time: now, Event: e, Fields: fields}
	if lim := l.limiters[e]; lim != nil {
		if !lim.limiter.AllowN(now, 1) {
			lim.suppressed.Add(1)
			return Line{}, false
		}
		line.Suppressed = lim.suppressed.Swap(0)
	}
	return line, true
}

// Write writes a line that Admit returned.
func (l *Logger) Write(line Line) {
	l.write(line)
}

// Suppressed calls yield for every event with suppressed lines that are not yet
// reported, until it returns false.
func (l *Logger) Suppressed(yield func(e *Event, count uint64) bool) {
	for _, e := range All() {
		lim := l.limiters[e]
		if lim == nil {
			continue
		}
		n := lim.suppressed.Load()
		if n > 0 && !yield(e, n) {
			return
		}
	}
}

func writeLine(out *logrus.Logger, line Line) {
	fields := logrus.Fields{"event": line.Event.Number, "name": line.Event.Name}
	for _, f := range line.Fields {
		fields[f.Name] = value(f.Value)
	}
	if line.Suppressed > 0 {
		fields["suppressed"] = line.Suppressed
	}
	out.WithTime(line.Time).WithFields(fields).Log(logrusLevel(line.Event.Level), line.Event.Message)
}

// value converts v so that both formats encode it as text, number or boolean.
func value(v any) any {
	switch v := v.(type) {
	case error:
		return v.Error()
	case fmt.Stringer:
		return v.String()
	default:
		return v
	}
}

func logrusLevel(l Level) logrus.Level {
	switch l {
	case Debug:
		return logrus.DebugLevel
	case Info:
		return logrus.InfoLevel
	case Warn:
		return logrus.WarnLevel
	default:
		return logrus.ErrorLevel
	}
}
