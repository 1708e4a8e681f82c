package board

import (
	"mustardhook/internal/claim/booker"
	"mustardhook/internal/core/action"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/ident"
)

type (
	// Call is a service call in flight at this entry.
	Call struct {
		Input      event.CallAsked
		DeadlineAt clock.Millis
		// CallerAnswered says that the caller was told the result; the call goes on so
		// that witnesses learn a late outcome.
		CallerAnswered bool

		// ForwardedBy is the address of the entry that forwarded the call, if any, and
		// Origin the call's name there.
		ForwardedBy   string
		OriginRequest ident.Request
		Hops          int

		// Scope and Fingerprint are set for calls that are claimed.
		Scope       string
		Fingerprint uint64
		Home        ident.Domain
		Minted      clock.Millis
		Retention   clock.Millis
		Round       *booker.Round
		Attempt     ident.Attempt
		// RetryAt is when a call that waits is tried again.
		RetryAt clock.Millis
		// Reason is why the call waits.
		Reason action.Reason

		// Target is the entry that the call was forwarded to.
		Target ident.Incarnation
		// Forwards lists all entries that the call was forwarded to, and Pass those
		// of the current pass through the candidates.
		Forwards     []ident.Incarnation
		PassForwards []ident.Incarnation

		// Sent says that an endpoint may have received the call.
		Sent bool
		// SentBefore says the same of the tries before the current one.
		SentBefore bool
		Endpoint   ident.Endpoint
		Tried      []ident.Endpoint
	}
)
