// Package logs provides the structured logger. Every line names the part of the program
// that wrote it and carries one short message.
package logs

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	fieldPart    = "part"
	fieldMessage = "msg"

	// partEntry is the part that logs the start and the stop of the process.
	partEntry = "entry"
)

type (
	// Logger writes log lines in logfmt. Warnings and the lines of partEntry are essential:
	// the other lines can't use up their rate limit.
	Logger struct {
		out       log.Logger
		essential log.Logger
	}
)

// New returns a logger that writes lines of at least the given level: debug, info, warn
// or error. Any other level means info.
func New(out io.Writer, minLevel string) Logger {
	ordinary := newLogfmt(out, minLevel)
	if bounded, ok := out.(*Bounded); ok {
		return Logger{ordinary, newLogfmt(essentialWriter{bounded}, minLevel)}
	}
	return Logger{ordinary, ordinary}
}

func newLogfmt(out io.Writer, minLevel string) log.Logger {
	logger := log.With(log.NewLogfmtLogger(log.NewSyncWriter(out)), "ts", log.DefaultTimestampUTC)
	return level.NewFilter(logger, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
}

// Discard returns a logger that discards all lines.
func Discard() Logger { return Logger{log.NewNopLogger(), log.NewNopLogger()} }

// Part returns a logger whose lines carry the name of a part of the program.
func (l Logger) Part(name string) Logger {
	part := Logger{log.With(l.out, fieldPart, name), log.With(l.essential, fieldPart, name)}
	if name == partEntry {
		part.out = part.essential
	}
	return part
}

// Info logs a message with alternating names and values.
func (l Logger) Info(message string, pairs ...any) { write(level.Info(l.out), message, pairs) }

// Warn logs a failure that the process can continue after.
func (l Logger) Warn(message string, pairs ...any) { write(level.Warn(l.essential), message, pairs) }

// Debug logs details that help to find the cause of a failure.
func (l Logger) Debug(message string, pairs ...any) { write(level.Debug(l.out), message, pairs) }

func write(out log.Logger, message string, pairs []any) {
	// There is no place to report a log line that can't be written.
	_ = out.Log(append([]any{fieldMessage, message}, pairs...)...)
}
