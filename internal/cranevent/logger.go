package cranevent

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Level is the severity of an event.
type Level string

// Levels in order of increasing severity.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// libraryLevel returns the corresponding level of the logging library.
func (l Level) libraryLevel() log.Level {
	switch l {
	case LevelDebug:
		return log.DebugLevel
	case LevelWarn:
		return log.WarnLevel
	case LevelError:
		return log.ErrorLevel
	}
	return log.InfoLevel
}

// timeFormat has milliseconds and ends in Z, since times are in UTC. An explicit
// format also makes the library take the time from package time: with its default
// format, it reads the system clock directly, and tests with a virtual clock would
// see real time.
const timeFormat = "2006-01-02T15:04:05.000Z"

// Logger writes one line per event. It is safe for concurrent use.
type Logger struct {
	inner   log.Logger
	strict  bool
	limiter *limiter
}

type options struct {
	level          Level
	console        bool
	process        string
	strict         bool
	linesPerSecond int
}

// defaultLinesPerSecond is the default limit for each rate-limited event.
const defaultLinesPerSecond = 10

// Option configures a Logger.
type Option func(*options)

// WithLevel drops events below a level. The default is LevelInfo.
func WithLevel(l Level) Option { return func(o *options) { o.level = l } }

// WithConsole writes lines in a format for a console instead of JSON.
func WithConsole() Option { return func(o *options) { o.console = true } }

// WithProcess adds the id of the process to every line.
func WithProcess(id string) Option { return func(o *options) { o.process = id } }

// WithStrict makes Emit panic on an event without a definition and on a field that
// the definition doesn't list. It is for tests.
func WithStrict() Option { return func(o *options) { o.strict = true } }

// WithRateLimit limits the lines per second of each event that remote parties can
// trigger at any rate. The default is 10. A later line of the event has the number of
// lines that were dropped.
func WithRateLimit(lines int) Option { return func(o *options) { o.linesPerSecond = lines } }

// New returns a logger that writes to w. The caller remains responsible for closing
// w.
func New(w io.Writer, opts ...Option) *Logger {
	o := options{level: LevelInfo, linesPerSecond: defaultLinesPerSecond}
	for _, apply := range opts {
		apply(&o)
	}
	l := &Logger{strict: o.strict, limiter: &limiter{maxLines: o.linesPerSecond, windows: make(map[Event]*window)}}
	l.inner = log.Logger{
		Level:        o.level.libraryLevel(),
		TimeFormat:   timeFormat,
		TimeLocation: time.UTC,
		Writer:       newLogWriter(w, o.console),
	}
	if o.process != "" {
		l.inner.Context = log.NewContext(nil).Str("process", o.process).Value()
	}
	return l
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return New(io.Discard, WithLevel(LevelError)) }

func newLogWriter(w io.Writer, console bool) log.Writer {
	locked := &lockedWriter{w: w}
	if console {
		return &log.ConsoleWriter{Writer: locked, QuoteString: true, EndWithMessage: true}
	}
	return log.IOWriter{Writer: locked}
}

// Emit writes one event. An event without a definition is written as an error with
// its number, so that it isn't lost.
func (l *Logger) Emit(event Event, fields ...Field) {
	d, ok := event.Definition()
	if l.strict {
		checkDefinition(event, d, ok, fields)
	}
	if !ok {
		d = Definition{event: event, name: "undefined", level: LevelError, text: "an event without a definition"}
	}
	if d.level.libraryLevel() < l.inner.Level {
		return
	}
	if d.rateLimited {
		dropped, allowed := l.limiter.allow(event, time.Now())
		if !allowed {
			return
		}
		if dropped > 0 {
			fields = append(slices.Clone(fields), suppressed(dropped))
		}
	}
	e := l.inner.WithLevel(d.level.libraryLevel())
	e = e.Int("event", d.event.Number()).Str("name", d.name)
	for _, f := range fields {
		f.write(e, string(f.key))
	}
	e.Msg(d.text)
}

func checkDefinition(event Event, d Definition, defined bool, fields []Field) {
	if !defined {
		panic(fmt.Sprintf("event %d has no definition; add it to the catalogue", event.Number()))
	}
	for _, f := range fields {
		if !slices.Contains(d.fields, f.key) {
			panic(fmt.Sprintf("event %s doesn't list the field %s; add it to the definition", d.name, f.key))
		}
	}
}

// lockedWriter serialises writes, so that lines of different goroutines don't mix.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write writes one line to the underlying writer.
func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}
