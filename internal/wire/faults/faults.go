// Package faults maps what stand-ins are told to do wrong.
package faults

import (
	"encoding/json"

	"mustardhook/internal/core/clock"
)

// Path is the path at which a stand-in takes its faults.
const Path = "/fake/faults"

type (
	// FormatError says that faults can't be read.
	FormatError struct{ Err error }

	// Engine is what an engine does wrong. Zero means nothing.
	Engine struct {
		// DisconnectAfter cuts streams after that many tokens.
		DisconnectAfter int
		// WrongAttempt answers with the name of another attempt.
		WrongAttempt bool
		// TruncateAfter ends streams without the end mark after that many tokens.
		TruncateAfter int
		// Refuse refuses all new attempts.
		Refuse bool
		// Leaving says in reports that the engine is leaving.
		Leaving bool
		// Delay holds back every answer.
		Delay clock.Millis
		// SkipCacheEvents drops every n-th cache event from reports.
		SkipCacheEvents int
		// IgnoreCancels ignores cancels.
		IgnoreCancels bool
	}

	// Service is what a service does wrong. Zero means nothing.
	Service struct {
		// Delay holds back every answer, after the run.
		Delay clock.Millis
		// DisconnectAfterCall closes the connection after the run, without an answer.
		DisconnectAfterCall bool
		// DisconnectBeforeCall closes the connection before the run.
		DisconnectBeforeCall bool
		// WrongAttempt answers with the name of another attempt.
		WrongAttempt bool
		// TruncateBody cuts the answer in the middle of the body.
		TruncateBody bool
	}

	engineWire struct {
		CutAfter    int   `json:"cutAfter"`
		Cross       bool  `json:"cross"`
		Truncate    int   `json:"truncate"`
		Refuse      bool  `json:"refuse"`
		Leaving     bool  `json:"leaving"`
		DelayMillis int64 `json:"delayMillis"`
		SkipEvents  int   `json:"skipEvents"`
		Deaf        bool  `json:"deaf"`
	}

	serviceWire struct {
		DelayMillis int64 `json:"delayMillis"`
		Cut         bool  `json:"cut"`
		CutBefore   bool  `json:"cutBefore"`
		Cross       bool  `json:"cross"`
		Truncate    bool  `json:"truncate"`
	}
)

// Error names the cause.
func (e *FormatError) Error() string { return "faults: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Err }

// DecodeEngine maps the faults of an engine.
func DecodeEngine(text []byte) (Engine, error) {
	var w engineWire
	if err := json.Unmarshal(text, &w); err != nil {
		return Engine{}, &FormatError{err}
	}
	return Engine{
		DisconnectAfter: w.CutAfter, WrongAttempt: w.Cross, TruncateAfter: w.Truncate, Refuse: w.Refuse, Leaving: w.Leaving,
		Delay: clock.Millis(w.DelayMillis), SkipCacheEvents: w.SkipEvents, IgnoreCancels: w.Deaf,
	}, nil
}

// DecodeService maps the faults of a service.
func DecodeService(text []byte) (Service, error) {
	var w serviceWire
	if err := json.Unmarshal(text, &w); err != nil {
		return Service{}, &FormatError{err}
	}
	return Service{
		Delay: clock.Millis(w.DelayMillis), DisconnectAfterCall: w.Cut, DisconnectBeforeCall: w.CutBefore, WrongAttempt: w.Cross, TruncateBody: w.Truncate,
	}, nil
}
