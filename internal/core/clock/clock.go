// Package clock holds the one time type of the system.
package clock

import (
	"strconv"
	"time"
)

const (
	// Second is one second.
	Second Millis = 1000
	// Minute is one minute.
	Minute = 60 * Second
	// Hour is one hour.
	Hour = 60 * Minute
)

type (
	// Millis counts milliseconds: an instant since the Unix epoch, or the span
	// between two instants.
	Millis int64
)

// FromTime returns the instant of t.
func FromTime(t time.Time) Millis { return Millis(t.UnixMilli()) }

// FromDuration returns the span d, cut to whole milliseconds.
func FromDuration(d time.Duration) Millis { return Millis(d.Milliseconds()) }

// Duration returns m as a duration of the standard library.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Time returns m as an instant of the standard library.
func (m Millis) Time() time.Time { return time.UnixMilli(int64(m)) }

// String returns the decimal count with its unit.
func (m Millis) String() string { return strconv.FormatInt(int64(m), 10) + "ms" }
