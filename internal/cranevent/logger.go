package cranevent

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Level is how serious an event is.
type Level string

// Levels, from the least serious on.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

func (l Level) library() log.Level {
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

// timeFormat has milliseconds and ends in Z, since times are UTC. With the
// library's own default it would read the system's clock behind the back of
// package time, so that tests with a virtual clock would see real time.
const timeFormat = "2006-01-02T15:04:05.000Z"

// Logger writes events, one line each. It may be used from any goroutine.
type Logger struct {
	inner   log.Logger
	strict  bool
	limiter *limiter
}

type options struct {
	level   Level
	console bool
	process string
	strict  bool
	burst   int
}

// defaultBurst is the number of lines a second of one limited event.
const defaultBurst = 10

// Option changes how a Logger writes.
type Option func(*options)

// WithLevel drops events below a level; it is LevelInfo when not given.
func WithLevel(l Level) Option { return func(o *options) { o.level = l } }

// WithConsole writes lines for people instead of JSON.
func WithConsole() Option { return func(o *options) { o.console = true } }

// WithProcess adds the id of the process to every line.
func WithProcess(id string) Option { return func(o *options) { o.process = id } }

// WithStrict makes Emit panic on an event that isn't defined and on a field
// that its definition doesn't list. It is for tests.
func WithStrict() Option { return func(o *options) { o.strict = true } }

// WithRateLimit sets how many lines a second are written of one event that others
// can cause at will; it is 10 when not given. A later line of the event tells
// how many were left out.
func WithRateLimit(lines int) Option { return func(o *options) { o.burst = lines } }

// New returns a logger that writes to w, which stays the caller's to close.
func New(w io.Writer, opts ...Option) *Logger {
	o := options{level: LevelInfo, burst: defaultBurst}
	for _, set := range opts {
		set(&o)
	}
	l := &Logger{strict: o.strict, limiter: &limiter{most: o.burst, windows: make(map[Event]*window)}}
	l.inner = log.Logger{
		Level:        o.level.library(),
		TimeFormat:   timeFormat,
		TimeLocation: time.UTC,
		Writer:       writer(w, o.console),
	}
	if o.process != "" {
		l.inner.Context = log.NewContext(nil).Str("process", o.process).Value()
	}
	return l
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return New(io.Discard, WithLevel(LevelError)) }

func writer(w io.Writer, console bool) log.Writer {
	locked := &lockedWriter{w: w}
	if console {
		return &log.ConsoleWriter{Writer: locked, QuoteString: true, EndWithMessage: true}
	}
	return log.IOWriter{Writer: locked}
}

// Emit writes one event. An event that isn't defined is written as an error
// with its number, so that nothing is lost.
func (l *Logger) Emit(event Event, fields ...Field) {
	d, ok := event.Definition()
	if l.strict {
		check(event, d, ok, fields)
	}
	if !ok {
		d = Definition{event: event, name: "undefined", level: LevelError, text: "an event that has no definition"}
	}
	if d.level.library() < l.inner.Level {
		return
	}
	if d.limited {
		skipped, taken := l.limiter.take(event, time.Now())
		if !taken {
			return
		}
		if skipped > 0 {
			fields = append(slices.Clone(fields), suppressed(skipped))
		}
	}
	e := l.inner.WithLevel(d.level.library())
	e = e.Int("event", d.event.Number()).Str("name", d.name)
	for _, f := range fields {
		f.write(e, string(f.key))
	}
	e.Msg(d.text)
}

func check(event Event, d Definition, defined bool, fields []Field) {
	if !defined {
		panic(fmt.Sprintf("event %d has no definition; add it to the catalogue", event.Number()))
	}
	for _, f := range fields {
		if !slices.Contains(d.fields, f.key) {
			panic(fmt.Sprintf("event %s doesn't list the field %s; add it to the definition", d.name, f.key))
		}
	}
}

// lockedWriter keeps lines whole when goroutines write at once.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write passes one line on.
func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}
