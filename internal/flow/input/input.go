// Package input defines the inputs of the decision core of an entry that relays
// requests. The core is deterministic: equal sequences of inputs give equal outputs.
package input

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/blame"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/evac"
	"mustardhook/internal/flow/learn"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/tally"
)

// missedHeartbeats is the number of heartbeat intervals after which a record lapses.
const missedHeartbeats = 3

// The possible outcomes of a probe.
const (
	// ProbeRefused means that the connection was refused: the process of the endpoint has exited.
	ProbeRefused ProbeOutcome = "refused"
	// ProbeAnswered means that the endpoint gave its report.
	ProbeAnswered ProbeOutcome = "answered"
	// ProbeSilent means that it accepted the connection and gave none in time.
	ProbeSilent ProbeOutcome = "silent"
	// ProbeUnknown means that nothing can be told: no report was asked for, or the connection could not be
	// opened or was closed.
	ProbeUnknown ProbeOutcome = "unknown"
)

type (
	// Input is one of the input types of this package.
	Input interface{ isInput() }

	// Started is the first input of an epoch of an entry.
	Started struct {
		Self ident.Entry
		// Epoch grows with every start of the entry.
		Epoch   uint64
		Domain  ident.Domain
		Address string
		// Capacity is the processor share of the entry, in thousandths of a core.
		Capacity int
		Seeds    []string
		Seed     uint64
		Settings Settings
	}

	// Settings holds the settings that the core reads.
	Settings struct {
		// RetryRatio and RetrySlack bound the retries of the requests of a service at all
		// entries in a RetryWindow: the ratio of the requests, plus the slack.
		RetryRatio  float64
		RetrySlack  float64
		RetryWindow clock.Millis
		// NewsRate limits what a hub sends to an entry, in bytes per second on average;
		// zero means no limit.
		NewsRate int
		// StallTimeout is how long a request stalls at an endpoint that waits for another,
		// unresponsive one, before the endpoint reports that it has not run the request.
		StallTimeout clock.Millis
		// GracePeriod is how long a stopping entry may continue to run.
		GracePeriod clock.Millis
		// HeartbeatInterval is the time in which an endpoint renews its record. The record lapses after
		// three such intervals.
		HeartbeatInterval clock.Millis
	}

	// SettingsRead delivers changed settings.
	SettingsRead struct{ Settings Settings }

	// Ticked arrives at a regular interval.
	Ticked struct{}

	// TimerFired reports that the time of an output.SetTimer has passed.
	TimerFired struct{}

	// PlanRead delivers a published configuration and its document.
	PlanRead struct {
		Plan     plan.Plan
		Document []byte
		// Origin is the address of the entry that it comes from; empty if this entry has read it
		// itself.
		Origin string
	}

	// ListRead delivers the complete list of endpoints at a point of its history. Single records may be
	// newer, up to LastAt, and are delivered again.
	ListRead struct {
		List   []pool.Listing
		At     point.Point
		LastAt point.Point
		// Evacuated are all evacuated failure domains.
		Evacuated evac.Set
	}

	// ListReceived delivers the list of endpoints of another entry.
	ListReceived struct {
		List []pool.PeerListing
		At   point.Point
		// LastAt is the point up to which single records of a whole list may be newer.
		LastAt point.Point
		// EraAge is how long ago the sender's list moved to its era, and EraHold how much longer the sender holds
		// what it knew before against records of the list.
		EraAge  clock.Millis
		EraHold clock.Millis
		// IsDelta means that List holds only the changes since the point that this
		// entry asked for, and Departed the runs of endpoints that have left since then. Otherwise Departed
		// holds those that the sender has found to have left lately.
		IsDelta  bool
		Departed []pool.Departure
		// Evacuated are all evacuated failure domains, also in a delta.
		Evacuated evac.Set
	}

	// EndpointRead delivers one changed record of the list of endpoints.
	EndpointRead struct {
		Record pool.Listing
		At     point.Point
	}

	// EndpointRemoved reports that an endpoint was removed from the list.
	EndpointRemoved struct {
		Name ident.Endpoint
		At   point.Point
	}

	// EvacuationRead reports that a failure domain was evacuated.
	EvacuationRead struct {
		Domain ident.Domain
		At     point.Point
	}

	// EvacuationRemoved reports that the evacuation of a failure domain was taken back.
	EvacuationRemoved struct {
		Domain ident.Domain
		At     point.Point
	}

	// FetchEnded reports that a call for published state to another entry has ended.
	FetchEnded struct{}

	// Confirmed reports that this entry has read all published changes up to now, which is the
	// given point of their history.
	Confirmed struct{ At point.Point }

	// SourceLost reports that published state can't be read.
	SourceLost struct{ Reason string }

	// SourceRecovered reports that published state can be read again.
	SourceRecovered struct{}

	// RequestReceived delivers a caller's request after it has been read completely.
	RequestReceived struct{ Request call.Request }

	// FirstEventSent reports that the first event of a stream was sent to the caller.
	FirstEventSent struct{ Number uint64 }

	// EndpointSilent reports that the endpoint of a request has sent nothing for longer than
	// expected.
	EndpointSilent struct{ Number uint64 }

	// EndpointNoticed delivers what an endpoint says of itself in its answer to a request.
	EndpointNoticed struct {
		Endpoint ident.Endpoint
		// Epoch identifies the run of the endpoint that says so.
		Epoch   uint64
		Request ident.Request
		// Leaving reports whether it announces that it is leaving.
		Leaving bool
		// RetryAfter is for how long it asks to be sent nothing; zero if it does not.
		RetryAfter clock.Millis
		// ColdLeft is how much longer it says that it is cold; zero if it does not.
		ColdLeft clock.Millis
	}

	// SendEnded delivers the result of a send.
	SendEnded struct{ Result call.Result }

	// PaceReported delivers the pace that an endpoint reported.
	PaceReported struct {
		Endpoint ident.Endpoint
		Factor   float64
	}

	// EndpointProbed reports what a probe shows of a run of an endpoint.
	EndpointProbed struct {
		Endpoint ident.Endpoint
		Epoch    uint64
		Outcome  ProbeOutcome
	}

	// ProbeOutcome is what a probe of an endpoint shows.
	ProbeOutcome string

	// CallerDisconnected reports that a caller closed its connection while its request
	// was not at an endpoint.
	CallerDisconnected struct{ Number uint64 }

	// NewsReceived delivers a datagram from another entry.
	NewsReceived struct{ Batch Batch }

	// StopRequested asks the entry to finish its work and exit.
	StopRequested struct{}

	// Batch is one datagram between entries.
	Batch struct {
		Sender ident.Entry
		// Forward asks the receiver to forward the news within its failure domain.
		Forward bool
		News    []News
		// DomainsSeenAt holds the time of the last message from each failure domain. All
		// entries there are considered alive, except those in Missing.
		DomainsSeenAt map[ident.Domain]clock.Millis
		Missing       []tally.EntryHash
		// Contribution is the sender's own work, sent to its hub; nil if nothing changed.
		Contribution *tally.Contribution
		// Aggregates hold the added-up work of the entries of a hub.
		Aggregates []tally.Aggregate
		// Costs is evidence on the costs of requests.
		Costs learn.Sketch
	}

	// News is the state that an entry publishes. It replaces earlier news of that entry.
	News struct {
		Entry    ident.Entry
		Epoch    uint64
		Sequence uint64
		// Domain, Address and Capacity are constant during an epoch and empty in brief
		// news. Capacity is the processor share, in thousandths of a core.
		Domain      ident.Domain
		Address     string
		Capacity    int
		PlanVersion plan.Version
		// ListAt is the point of the published state that the list of endpoints comes from.
		ListAt point.Point
		// ConfirmedAt is when the entry itself last read published state completely; zero
		// if it never did.
		ConfirmedAt clock.Millis
		Leaving     bool
		// Members is the largest number of entries that the entry has known at a time. Brief
		// news has none.
		Members int
		// LeavingEndpoints are the runs of endpoints that the entry recently found to be leaving.
		LeavingEndpoints []pool.Run
		// FailureCounts counts the recent failures of the entry's requests by endpoint.
		FailureCounts map[pool.Hash]int
		// Pauses holds when the pauses end that endpoints asked the entry for.
		Pauses map[pool.Hash]clock.Millis
		// Paces holds the paces that endpoints recently reported to the entry.
		Paces map[pool.Hash]pool.Pace
		// QueuedPrompts are the long prompts that wait for engines at the entry.
		QueuedPrompts []QueuedPrompt
		// HubAddresses are the addresses of the hubs that the entry knows. They are empty
		// in brief news.
		HubAddresses []string
		// Crashes are crashes of endpoints that lost answers of the entry, Acquittals and Verdicts what
		// the entry knows of the parts of prompts that crash endpoints. Losses are answers of the entry that
		// were lost whether or not a crash is known, RequestAcquittals and RequestVerdicts what it knows of
		// whole requests. Brief news has only what is recent, and no RequestVerdicts.
		Crashes           []blame.Crash
		Acquittals        []blame.Acquittal
		Verdicts          []blame.Verdict
		Losses            []blame.Loss
		RequestAcquittals []blame.RequestAcquittal
		RequestVerdicts   []blame.RequestVerdict
	}

	// QueuedPrompt is a long prompt that waits for engines.
	QueuedPrompt struct {
		Service ident.Service
		Number  uint64
		// PromptTokens is the length of the prompt.
		PromptTokens int
		// DueAt is when the first event of the answer is due, WaitsUntil when the caller
		// stops waiting for it.
		DueAt      clock.Millis
		WaitsUntil clock.Millis
		// Group is the hash of the group whose share the prompt uses; zero if it has none. Rank is the
		// priority of its caller; 0 is the highest.
		Group pool.Hash
		Rank  int
	}
)

// RecordTTL returns how long the record of an endpoint that doesn't renew it stays in the list.
func (s Settings) RecordTTL() clock.Millis { return missedHeartbeats * s.HeartbeatInterval }

// Brief returns a copy of the news without the fields that rarely change.
func (n News) Brief() News {
	n.Domain = ""
	n.Address = ""
	n.Capacity = 0
	n.Members = 0
	n.HubAddresses = nil
	return n
}

func (Started) isInput()            {}
func (SettingsRead) isInput()       {}
func (Ticked) isInput()             {}
func (TimerFired) isInput()         {}
func (PlanRead) isInput()           {}
func (ListRead) isInput()           {}
func (ListReceived) isInput()       {}
func (FetchEnded) isInput()         {}
func (Confirmed) isInput()          {}
func (EndpointRead) isInput()       {}
func (EndpointRemoved) isInput()    {}
func (EvacuationRead) isInput()     {}
func (EvacuationRemoved) isInput()  {}
func (SourceLost) isInput()         {}
func (SourceRecovered) isInput()    {}
func (RequestReceived) isInput()    {}
func (FirstEventSent) isInput()     {}
func (EndpointSilent) isInput()     {}
func (EndpointNoticed) isInput()    {}
func (SendEnded) isInput()          {}
func (PaceReported) isInput()       {}
func (EndpointProbed) isInput()     {}
func (CallerDisconnected) isInput() {}
func (NewsReceived) isInput()       {}
func (StopRequested) isInput()      {}
