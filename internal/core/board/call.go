package board

import (
	"mustardhook/internal/claim/quorum"
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
		// CallerAnswered reports that the caller already has the result. The call stays
		// open so that the witnesses learn a late outcome.
		CallerAnswered bool

		// ForwardedBy is the address of the entry that forwarded the call, or empty.
		// OriginRequest is the name of the request at that entry.
		ForwardedBy   string
		OriginRequest ident.Request
		// Hops is how often the call was forwarded before it reached this entry.
		Hops int

		// Scope and Fingerprint are set for calls that need a claim.
		Scope       string
		Fingerprint uint64
		// Home is the failure domain whose witnesses store the claim.
		Home ident.Domain
		// Minted is the time at which an entry generated the key, or zero.
		Minted    clock.Millis
		Retention clock.Millis
		// Round collects the votes for the current attempt.
		Round   *quorum.Round
		Attempt ident.Attempt
		// RetryAt is the time of the next attempt of a waiting call.
		RetryAt clock.Millis
		// Reason is why the call is waiting.
		Reason action.Reason

		// Target is the entry that the call is currently forwarded to.
		Target ident.Incarnation
		// Forwards lists every entry that the call was forwarded to. PassForwards lists
		// those of the current pass through the candidates.
		Forwards     []ident.Incarnation
		PassForwards []ident.Incarnation

		// Sent reports whether an endpoint may have received the call.
		Sent bool
		// SentBefore reports the same for the attempts before the current one.
		SentBefore bool
		Endpoint   ident.Endpoint
		// Tried lists the endpoints that the call was sent to.
		Tried []ident.Endpoint
	}
)
