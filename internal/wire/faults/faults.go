// Package faults decodes the failures that tests and operators inject into simulated
// engines and services.
package faults

import (
	"encoding/json"

	"mustardhook/internal/core/clock"
)

// Path is the path at which a simulated endpoint accepts its faults.
const Path = "/fake/faults"

type (
	// FormatError reports faults that could not be decoded.
	FormatError struct{ Err error }

	// Engine lists the faults of a simulated engine. The zero value has none.
	Engine struct {
		// DisconnectAfter is the number of tokens after which the engine closes the connection.
		DisconnectAfter int
		// WrongAttempt makes answers carry the name of another attempt.
		WrongAttempt bool
		// TruncateAfter is the number of tokens after which an answer ends without its end
		// marker.
		TruncateAfter int
		// Refuse makes the engine refuse all new attempts.
		Refuse bool
		// Leaving makes load reports mark the engine as leaving.
		Leaving bool
		// Delay is the delay of every answer.
		Delay clock.Millis
		// SkipCacheEvents is n if load reports leave out every n-th cache event.
		SkipCacheEvents int
		// IgnoreCancels makes the engine refuse requests to cancel attempts.
		IgnoreCancels bool
	}

	// Service lists the faults of a simulated service. The zero value has none.
	Service struct {
		// Delay is the delay of every answer, after the call was executed.
		Delay clock.Millis
		// DisconnectAfterCall closes the connection without an answer after the call was
		// executed.
		DisconnectAfterCall bool
		// DisconnectBeforeCall closes the connection before the call is executed.
		DisconnectBeforeCall bool
		// WrongAttempt makes answers carry the name of another attempt.
		WrongAttempt bool
		// TruncateBody closes the connection in the middle of the body.
		TruncateBody bool
	}

	engineWire struct {
		DisconnectAfter int   `json:"cutAfter"`
		WrongAttempt    bool  `json:"cross"`
		TruncateAfter   int   `json:"truncate"`
		Refuse          bool  `json:"refuse"`
		Leaving         bool  `json:"leaving"`
		DelayMillis     int64 `json:"delayMillis"`
		SkipCacheEvents int   `json:"skipEvents"`
		IgnoreCancels   bool  `json:"deaf"`
	}

	serviceWire struct {
		DelayMillis          int64 `json:"delayMillis"`
		DisconnectAfterCall  bool  `json:"cut"`
		DisconnectBeforeCall bool  `json:"cutBefore"`
		WrongAttempt         bool  `json:"cross"`
		TruncateBody         bool  `json:"truncate"`
	}
)

// Error returns the text of the decoding error.
func (e *FormatError) Error() string { return "faults: " + e.Err.Error() }

// Unwrap returns the decoding error.
func (e *FormatError) Unwrap() error { return e.Err }

// DecodeEngine decodes the faults of an engine. The error is a *FormatError.
func DecodeEngine(text []byte) (Engine, error) {
	var w engineWire
	if err := json.Unmarshal(text, &w); err != nil {
		return Engine{}, &FormatError{err}
	}
	return Engine{
		DisconnectAfter: w.DisconnectAfter, WrongAttempt: w.WrongAttempt, TruncateAfter: w.TruncateAfter, Refuse: w.Refuse,
		Leaving: w.Leaving, Delay: clock.Millis(w.DelayMillis), SkipCacheEvents: w.SkipCacheEvents, IgnoreCancels: w.IgnoreCancels,
	}, nil
}

// DecodeService decodes the faults of a service. The error is a *FormatError.
func DecodeService(text []byte) (Service, error) {
	var w serviceWire
	if err := json.Unmarshal(text, &w); err != nil {
		return Service{}, &FormatError{err}
	}
	return Service{
		Delay: clock.Millis(w.DelayMillis), DisconnectAfterCall: w.DisconnectAfterCall, DisconnectBeforeCall: w.DisconnectBeforeCall,
		WrongAttempt: w.WrongAttempt, TruncateBody: w.TruncateBody,
	}, nil
}
