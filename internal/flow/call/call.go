// Package call defines the types of a relayed request: the caller's request, a send to
// an endpoint, the result of the send and the reply to the caller.
package call

import (
	"strconv"
	"strings"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/point"
)

// The possible ends of a send.
const (
	// EndComplete means that the endpoint answered completely.
	EndComplete End = "whole"
	// EndNotRun means that the endpoint has not run the request and never will.
	EndNotRun End = "notRun"
	// EndAnswerLost means that the request may have run and its answer is lost.
	EndAnswerLost End = "broken"
	// EndDisconnected means that the caller closed its connection.
	EndDisconnected End = "callerGone"
	// EndTimeout means that the request reached its deadline.
	EndTimeout End = "timeout"
	// EndCancelled means that this entry cancelled the send after the endpoint may have
	// run the request.
	EndCancelled End = "cancelled"
)

// The reasons for a reply without an answer of an endpoint.
const (
	ReasonNoPlan           Reason = "noPlan"
	ReasonNoRoute          Reason = "noRoute"
	ReasonBadKey           Reason = "badKey"
	ReasonNoEndpoint       Reason = "noEndpoint"
	ReasonPaused           Reason = "paused"
	ReasonEvacuated        Reason = "evacuated"
	ReasonCold             Reason = "cold"
	ReasonOverShare        Reason = "overShare"
	ReasonOverload         Reason = "overload"
	ReasonPromptTooLong    Reason = "promptTooLong"
	ReasonDeadlineTooShort Reason = "deadlineTooShort"
	ReasonCrashesEndpoints Reason = "crashesEndpoints"
	ReasonAnswerLost       Reason = "answerLost"
	ReasonTimeout          Reason = "timeout"
	ReasonBodyLimit        Reason = "bodyLimit"
	ReasonStopping         Reason = "stopping"
	ReasonBadRequest       Reason = "badRequest"
)

// The causes for which a request waits for an endpoint.
const (
	// WaitEngines means that too few engines have little prefill pending.
	WaitEngines Wait = "engines"
	// WaitQueue means that the engines are left to the prompts ahead in the queue.
	WaitQueue Wait = "queue"
	// WaitSpareEngines means that an oversized prompt finds too few engines that can prefill a
	// shard of it without delaying their answers, WaitSpareTime that these can't be on time.
	WaitSpareEngines Wait = "spareEngines"
	WaitSpareTime    Wait = "spareTime"
	// WaitOthers means that an oversized prompt would make a prompt late that can be on time.
	WaitOthers Wait = "others"
	// WaitLatestStart means that an oversized prompt, which can't be on time, leaves the engines to
	// prompts that can until its latest start.
	WaitLatestStart Wait = "latestStart"
	// WaitShare means that an oversized prompt whose organisation exceeds its share would make a
	// prompt of another one late.
	WaitShare Wait = "share"
	// WaitMemory means that the engines have too little free memory for the KV cache, WaitLease
	// that an engine refused to reserve it.
	WaitMemory Wait = "memory"
	WaitLease  Wait = "lease"
	// WaitEndpoint means that no endpoint is usable.
	WaitEndpoint Wait = "endpoint"
	// WaitCold means that all usable endpoints are cold and have got their requests.
	WaitCold Wait = "cold"
)

type (
	// End is the way in which a send ended.
	End string

	// Wait is why a request waits for an endpoint.
	Wait string

	// Reason is why a request ends without an answer of an endpoint.
	Reason string

	// Part identifies a part of a prompt. Equal parts of different prompts have equal values.
	Part uint64

	// Request is a caller's request, independent of the wire format.
	Request struct {
		// Number identifies the request within this entry.
		Number uint64
		// Name is the caller's identifier for this attempt. Endpoints echo it.
		Name ident.Request
		Host string
		Path string
		Key  string
		// CallerTimeout is how long the caller waits from the start of the request; zero
		// if it gives no limit.
		CallerTimeout clock.Millis
		// BodyBytes is the size of the body.
		BodyBytes int
		// PromptTokens and OutputTokens are zero for plain services.
		PromptTokens int
		OutputTokens int
		// OutputEstimate is the caller's estimate of the length of the answer in tokens;
		// zero if there is none.
		OutputEstimate int
		// ResumeAfter identifies the last event that the caller has already received.
		ResumeAfter string
		// Fingerprint is a hash of the path, the caller and the body.
		Fingerprint uint64
		// Parts are the parts of the prompt that other prompts may share, in their order. The
		// last part of a prompt, which is its own, is not among them.
		Parts []Part
	}

	// Send is one attempt to run a request at an endpoint.
	Send struct {
		Number   uint64
		Endpoint ident.Endpoint
		// Epoch identifies the run of the endpoint that the request is sent to.
		Epoch        uint64
		Address      string
		Organisation ident.Organisation
		// TimeLeft is the time that the endpoint has for its answer.
		TimeLeft clock.Millis
		// Urgency is the priority of the request at the endpoint; 0 is the highest.
		Urgency int
		Stream  bool
		// IsCold reports whether the endpoint is cold.
		IsCold bool
		// Helpers prefill shards of the prompt.
		Helpers []Helper
		// Predicted is the predicted time to the first event.
		Predicted clock.Millis
		Basis     Basis
		// FirstEventTimeout bounds the time to the start of the answer; the send fails after
		// it. After NextEventTimeout without an event, a stream fails only if there are
		// signs that its endpoint is dead.
		FirstEventTimeout clock.Millis
		NextEventTimeout  clock.Millis
	}

	// Basis is the state that a decision on a request was based on. It is logged.
	Basis struct {
		Route string
		// Organisation is empty on anonymous routes.
		Organisation ident.Organisation
		PlanVersion  plan.Version
		// ReadTo is the point up to which the entry itself has read published state, ListAt that of its
		// list of endpoints.
		ReadTo point.Point
		ListAt point.Point
		// Usable is the number of endpoints that could run the request, Entries the
		// number of other entries whose load is known.
		Usable  int
		Entries int
		// Wait is the last cause for which the request waited; empty if it did not.
		Wait Wait
		// IsCallerRetry reports whether the caller was refused before, TimeLeft is the time until its
		// deadline, and StartsIn the time until the queue would start the prompt; zero if it was not queued.
		IsCallerRetry bool
		TimeLeft      clock.Millis
		StartsIn      clock.Millis
		// Share is the share of the organisation and Use what it used of it, in requests; zero unless the
		// request was refused for it.
		Share int
		Use   int
		// ListAge is how long the list of endpoints has been unreadable; zero if it is
		// readable.
		ListAge clock.Millis
		// LoadsDeferred is for how long the news of the loads at endpoints was deferred.
		LoadsDeferred clock.Millis
	}

	// Helper is an endpoint that prefills a shard of a prompt and, if it has a lease,
	// stores a part of its KV cache.
	Helper struct {
		Endpoint ident.Endpoint
		Address  string
		// Lease is the name of the memory reservation at the helper; empty if there is none.
		Lease string
		// LeaseTokens is the size of the reservation in tokens.
		LeaseTokens int
	}

	// LeaseOrder asks an endpoint to reserve memory or to release it.
	LeaseOrder struct {
		Lease string
		// Tokens is the number of tokens to reserve; zero releases the lease.
		Tokens int
		// TTL is how long the lease lasts unless it is renewed.
		TTL clock.Millis
	}

	// Reply ends a request without an answer of an endpoint.
	Reply struct {
		Number uint64
		Reason Reason
		Status int
		// RetryAfter is the delay after which the caller should retry; zero for no hint.
		RetryAfter clock.Millis
		Basis      Basis
	}

	// Result is the result of a send.
	Result struct {
		Number uint64
		End    End
		// Status is the status code of the endpoint, zero if there was none.
		Status int
		// Delivered reports whether the caller received a part of the answer.
		Delivered bool
		// FailedAddress is the address that the endpoint names as the cause of the
		// failure; empty if it names none.
		FailedAddress string
		// Refused means that the endpoint had no capacity, Moved that another endpoint
		// uses the address now.
		Refused bool
		Moved   bool
		// LeaseRefused means that an endpoint had no memory for a lease.
		LeaseRefused bool
		// Withdrawn means that nothing was sent, because an endpoint of the send was evacuated first.
		Withdrawn bool
		// Unreachable means that no connection could be opened.
		Unreachable bool
		// Exited means that the connection was refused, so the process of the endpoint has
		// exited.
		Exited bool
		// Closed means that the endpoint closed or reset the connection before the end of the
		// answer.
		Closed bool
		// Unframed means that a complete answer had neither a length nor chunks and ended with its connection, as
		// it does when its endpoint crashes.
		Unframed bool
		Err      error
	}
)

// RoutedRequest is a request with its matching route and the chosen service.
type RoutedRequest struct {
	Request Request
	Route   plan.Route
	Service ident.Service
	// Organisation is empty on anonymous routes.
	Organisation ident.Organisation
	// Rank is the priority of the request; 0 is the highest.
	Rank int
}

// String returns the identifier as callers write it, if it is a hexadecimal number.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// FormatParts returns the identifiers of the parts, separated by commas.
func FormatParts(parts []Part) string {
	texts := make([]string, 0, len(parts))
	for _, part := range parts {
		texts = append(texts, part.String())
	}
	return strings.Join(texts, ",")
}
