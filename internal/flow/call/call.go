// Package call holds the vocabulary of relayed requests: what a caller asks for,
// a send to an endpoint, how the send ended and what the caller is told.
package call

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/plan"
)

// How a send ended.
const (
	// EndComplete means that the endpoint's whole answer is there.
	EndComplete End = "whole"
	// EndNotRun means that the request did not run and never will.
	EndNotRun End = "notRun"
	// EndAnswerLost means that the request may have run and its answer is lost.
	EndAnswerLost End = "broken"
	// EndDisconnected means that the caller closed its connection.
	EndDisconnected End = "callerGone"
	// EndTimeout means that the time of the request was over.
	EndTimeout End = "timeout"
)

// Why a caller gets no answer of an endpoint.
const (
	ReasonNoPlan           Reason = "noPlan"
	ReasonNoRoute          Reason = "noRoute"
	ReasonBadKey           Reason = "badKey"
	ReasonNoEndpoint       Reason = "noEndpoint"
	ReasonOverload         Reason = "overload"
	ReasonTooLong          Reason = "promptTooLong"
	ReasonTooLate          Reason = "deadlineTooShort"
	ReasonCrashesEndpoints Reason = "crashesEndpoints"
	ReasonAnswerLost       Reason = "answerLost"
	ReasonTimeout          Reason = "timeout"
	ReasonBodyLimit        Reason = "bodyLimit"
	ReasonStopping         Reason = "stopping"
	ReasonBadRequest       Reason = "badRequest"
)

type (
	// End says how a send ended.
	End string

	// Reason says why a caller gets no answer of an endpoint.
	Reason string

	// Request is what a caller asks for, in the terms of the product.
	Request struct {
		// Number names the request inside this entry.
		Number uint64
		// Name is the caller's name for this attempt; endpoints echo it.
		Name ident.Request
		Host string
		Path string
		Key  string
		// CallerTimeout is how long the caller waits from the start of the request.
		CallerTimeout clock.Millis
		// PromptTokens and OutputTokens are zero for plain services.
		PromptTokens int
		OutputTokens int
		// OutputEstimate is the caller's estimate of the answer; zero if there is none.
		OutputEstimate int
		// ResumeAfter is the last event that the caller already has.
		ResumeAfter string
		// Fingerprint is equal for requests with equal path, caller and body.
		Fingerprint uint64
	}

	// Send is one try of a request at an endpoint.
	Send struct {
		Number       uint64
		Endpoint     ident.Endpoint
		Address      string
		Organisation ident.Organisation
		// TimeLeft is the time the endpoint has for its answer.
		TimeLeft clock.Millis
		// Urgency orders requests at the endpoint; 0 is first.
		Urgency int
		Stream  bool
		// Helpers read parts of the prompt.
		Helpers []Helper
		// Predicted is the expected time to the first event.
		Predicted clock.Millis
		Basis     Basis
		// FirstEventTimeout and NextWithin bound the silence before the first event of a
		// stream and between two events; a longer one means a dead endpoint.
		FirstEventTimeout clock.Millis
		NextEventTimeout  clock.Millis
	}

	// Basis is what a decision on a request rested on; it is logged.
	Basis struct {
		Route       string
		PlanVersion plan.Version
		// Usable counts the endpoints that could get the request, Entries the other
		// entries whose work is known.
		Usable  int
		Entries int
		// ListAge is for how long the list of endpoints could not be read.
		ListAge clock.Millis
	}

	// Helper is an endpoint that reads a part of a prompt and, with a lease, keeps
	// a part of its memory.
	Helper struct {
		Endpoint ident.Endpoint
		Address  string
		// Lease names memory that is reserved there; empty for none.
		Lease string
		// LeaseTokens is how much memory is reserved.
		LeaseTokens int
	}

	// LeaseOrder asks an endpoint to reserve memory, or to release it.
	LeaseOrder struct {
		Lease string
		// Tokens is how much to reserve; zero releases the lease.
		Tokens int
		// TTL is how long the lease holds unless it is renewed.
		TTL clock.Millis
	}

	// Reply ends a request without an endpoint's answer.
	Reply struct {
		Number uint64
		Reason Reason
		Status int
		// RetryAfter is when it is worth asking again; zero for no hint.
		RetryAfter clock.Millis
		Basis      Basis
	}

	// Result says how a send ended.
	Result struct {
		Number uint64
		End    End
		// Status is the endpoint's status, zero when there was none.
		Status int
		// Delivered says that the caller has got a part of the answer.
		Delivered bool
		// FailedAddress is the address that the endpoint names as the cause.
		FailedAddress string
		// Refused says that the endpoint had no room; Moved that another endpoint
		// has its address.
		Refused bool
		Moved   bool
		// LeaseRefused says that an endpoint had no memory for a lease.
		LeaseRefused bool
		// Unreachable says that no connection could be opened.
		Unreachable bool
		// Dead says that the connection was refused: the endpoint's process is gone.
		Dead bool
		Err  error
	}
)

// RoutedRequest joins a request with the route that it was matched to.
type RoutedRequest struct {
	Request Request
	Route   plan.Route
	Service ident.Service
	// Organisation is empty on anonymous routes.
	Organisation ident.Organisation
	Rank         int
}
