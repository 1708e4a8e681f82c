// Package clock defines the type for instants and durations that all packages share.
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
	// Millis is an instant in milliseconds since the Unix epoch, or a duration in
	// milliseconds.
	Millis int64
)

// FromTime returns t in milliseconds since the Unix epoch.
func FromTime(t time.Time) Millis { return Millis(t.UnixMilli()) }

// FromDuration returns d, truncated to whole milliseconds.
func FromDuration(d time.Duration) Millis { return Millis(d.Milliseconds()) }

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Time returns m as a time.Time.
func (m Millis) Time() time.Time { return time.UnixMilli(int64(m)) }

// String formats m as a decimal number with the suffix "ms".
func (m Millis) String() string { return strconv.FormatInt(int64(m), 10) + "ms" }
