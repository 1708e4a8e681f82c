// Package event defines the inputs of the decision core. Events are its only inputs, so
// the same sequence of events always produces the same actions.
package event

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/msgs"
)

// Outcomes of an attempt at an engine.
const (
	// VerdictComplete means that the stream ended with an end marker that carries the
	// name of the attempt.
	VerdictComplete Verdict = "complete"
	// VerdictBroken means that the connection closed before the end marker.
	VerdictBroken Verdict = "broken"
	// VerdictRefused means that the endpoint did not accept the attempt.
	VerdictRefused Verdict = "refused"
	// VerdictCrossed means that the answer carried the name of another attempt.
	VerdictCrossed Verdict = "crossed"
)

type (
	// Verdict is the outcome of an attempt.
	Verdict string

	// Event is an input of the decision core. Its implementations are the types of this
	// package.
	Event interface{ isEvent() }

	// Started is the first event after a process starts and begins a new epoch.
	Started struct {
		Self    ident.Incarnation
		Domain  ident.Domain
		Address string
		// Seeds are the addresses of entries to contact first.
		Seeds []string
		// Seed is the seed of the core's random numbers.
		Seed     uint64
		Settings Settings
	}

	// Settings is the part of the settings file that the core uses.
	Settings struct {
		DefaultDeadline clock.Millis
		MaximalDeadline clock.Millis
		MaximalPrompt   int
		MaximalInFlight int
		OrdersEnabled   bool
		// StopTimeout is the time after the request to stop at which the remaining
		// requests are ended. Zero means that the entry waits for all of them.
		StopTimeout clock.Millis
	}

	// Ticked is delivered every 100 ms.
	Ticked struct{}

	// TicketsRead delivers tickets from the platform, oldest first.
	TicketsRead struct {
		Tickets []fleet.Ticket
		// Era and Revision are the point in the platform's history to read on from.
		Era      uint64
		Revision uint64
		// More reports whether the platform has further changes.
		More bool
	}

	// HistoryChanged reports an answer of the platform that doesn't continue what was read
	// before: the platform came back from an older copy. Nothing of the answer was used.
	HistoryChanged struct {
		Era      uint64
		Revision uint64
	}

	// TicketRefused reports a published ticket that could not be parsed.
	TicketRefused struct {
		// Place is the key of the ticket on the platform.
		Place  string
		Reason string
	}

	// PlatformFailed reports a failed read from the platform.
	PlatformFailed struct{ Reason string }

	// InstancesRead delivers the instance list of the platform.
	InstancesRead struct {
		Instances []Instance
		Revision  uint64
		// Anew reports whether the list was read from the start. The platform may then have
		// come back from an older copy.
		Anew bool
	}

	// Instance is one row of the platform's instance list.
	Instance struct {
		Name    string
		Domain  ident.Domain
		Address string
		// IsEntry is true for an entry and false for an endpoint.
		IsEntry bool
		Leaving bool
		// Revision is the revision that last wrote the row.
		Revision uint64
	}

	// CompletionAsked is a prompt submitted by a caller.
	CompletionAsked struct {
		Request      ident.Request
		Organisation ident.Organisation
		Model        ident.Model
		Adapter      ident.Adapter
		PromptTokens int
		MaxTokens    int
		// Prefixes holds hashes of the prompt's leading blocks, shortest first.
		Prefixes []uint64
		// Fingerprint is a hash of the whole prompt.
		Fingerprint uint64
		Deadline    clock.Millis
	}

	// TokenCame reports that the first token of an attempt was relayed to the caller.
	TokenCame struct{ Attempt ident.Attempt }

	// AttemptEnded reports the end of an attempt at an engine.
	AttemptEnded struct {
		Attempt ident.Attempt
		Verdict Verdict
		// Tokens is the number of tokens of the request delivered to the caller so far.
		Tokens int
		// Cached is the number of prompt tokens that the engine found in its cache.
		Cached int
	}

	// CallerGone reports that the caller closed its connection.
	CallerGone struct{ Request ident.Request }

	// CallAsked is a call to a plain service submitted by a caller.
	CallAsked struct {
		Request      ident.Request
		Organisation ident.Organisation
		Service      ident.Service
		Key          string
		Content      msgs.Content
		Deadline     clock.Millis
	}

	// CallAnswered delivers the complete answer of a service endpoint.
	CallAnswered struct {
		Attempt ident.Attempt
		Answer  msgs.Answer
	}

	// CallFailed reports a failed call to a service endpoint.
	CallFailed struct {
		Attempt ident.Attempt
		// NotSent reports that no byte of the call left this process.
		NotSent bool
	}

	// ReportRead delivers the load report of an engine.
	ReportRead struct {
		Endpoint    ident.Endpoint
		Report      Report
		RequestedAt clock.Millis
	}

	// ReportFailed reports that an endpoint did not answer a report request.
	ReportFailed struct {
		Endpoint ident.Endpoint
		// Refused reports that the instance refused the connection: it is running, but
		// its process is not.
		Refused     bool
		RequestedAt clock.Millis
	}

	// Report is the load that an engine reported Age ago.
	Report struct {
		Age clock.Millis
		// QueuedTokens is the number of prompt tokens that are still to be prefilled.
		QueuedTokens int
		// Decoding is the number of requests that are decoding.
		Decoding int
		// FreeTokens and TotalTokens are the free and total memory, in tokens.
		FreeTokens  int
		TotalTokens int
		// PrefillRate is in tokens per second.
		PrefillRate int
		Leaving     bool
		// Boot identifies the engine process and changes with every restart.
		Boot uint64
		// Fence is the fencing token of the last accepted order.
		Fence         fleet.Number
		Models        []Loaded
		Allocations   []Allocation
		CacheEvents   []CacheEvent
		CacheSequence uint64
	}

	// Loaded is a model that an engine has loaded.
	Loaded struct {
		Model    ident.Model
		Version  string
		Adapters []fleet.Adapter
	}

	// Allocation is memory that an engine holds for an owner.
	Allocation struct {
		Name   string
		Owner  ident.Incarnation
		Tokens int
		Age    clock.Millis
	}

	// CacheEvent reports that an engine stored or evicted a prefix.
	CacheEvent struct {
		Sequence uint64
		Prefix   uint64
		Stored   bool
	}

	// MessageCame delivers a message from another entry.
	MessageCame struct {
		From    msgs.Member
		Message msgs.Message
	}

	// MessageLost reports that a message could not be delivered to another entry.
	MessageLost struct {
		To      string
		Message msgs.Message
	}

	// OrderEnded reports whether an engine accepted an order.
	OrderEnded struct {
		Endpoint ident.Endpoint
		Number   fleet.Number
		Taken    bool
	}

	// StopAsked requests a graceful stop: the entry finishes its requests and exits.
	StopAsked struct{}
)

// TakenAt returns the earliest time that the report may describe. The report may have
// been under way since it was requested, and events of that time may have overtaken it.
func (r ReportRead) TakenAt() clock.Millis { return r.RequestedAt - r.Report.Age }

func (Started) isEvent()         {}
func (Ticked) isEvent()          {}
func (TicketsRead) isEvent()     {}
func (TicketRefused) isEvent()   {}
func (HistoryChanged) isEvent()  {}
func (PlatformFailed) isEvent()  {}
func (InstancesRead) isEvent()   {}
func (CompletionAsked) isEvent() {}
func (TokenCame) isEvent()       {}
func (AttemptEnded) isEvent()    {}
func (CallerGone) isEvent()      {}
func (CallAsked) isEvent()       {}
func (CallAnswered) isEvent()    {}
func (CallFailed) isEvent()      {}
func (ReportRead) isEvent()      {}
func (ReportFailed) isEvent()    {}
func (MessageCame) isEvent()     {}
func (MessageLost) isEvent()     {}
func (OrderEnded) isEvent()      {}
func (StopAsked) isEvent()       {}
