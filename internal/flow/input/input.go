// Package input lists what can happen to an entry that relays requests. Inputs
// are all that its deciding core gets; equal inputs give equal outputs.
package input

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/tally"
)

type (
	// Input is one of the types of this package.
	Input interface{ isInput() }

	// Started is the first input of every life of an entry.
	Started struct {
		Self ident.Entry
		// Epoch grows with every life of the entry.
		Epoch   uint64
		Domain  ident.Domain
		Address string
		// Capacity is the processor share of the entry, in thousandths of a core.
		Capacity int
		Seeds    []string
		Seed     uint64
		Settings Settings
	}

	// Settings are the parts of the settings that the core reads.
	Settings struct {
		// RetryRatio and RetrySlack bound the sends beyond the first of each request
		// of a service, over all entries, in a RetryWindow.
		RetryRatio  float64
		RetrySlack  float64
		RetryWindow clock.Millis
		// NewsRate bounds what a hub tells an entry, in bytes a second on average; zero for
		// no bound.
		NewsRate int
		// StallTimeout is how long work waits at an endpoint that depends on a dead one.
		StallTimeout clock.Millis
		// GracePeriod is how long a stopped entry may go on.
		GracePeriod clock.Millis
	}

	// SettingsRead brings changed settings.
	SettingsRead struct{ Settings Settings }

	// Ticked comes every tick.
	Ticked struct{}

	// TimerFired comes when a span that was asked for has passed.
	TimerFired struct{}

	// PlanRead brings a published configuration and its document.
	PlanRead struct {
		Plan     plan.Plan
		Document []byte
	}

	// ListRead brings the whole list of endpoints as of the revision.
	ListRead struct {
		List     []pool.Listing
		Revision uint64
	}

	// ListReceived brings the list that another entry has.
	ListReceived struct {
		List     []pool.PeerListing
		Revision uint64
		// IsDelta says that only what changed is there, and Gone what is gone.
		IsDelta bool
		Removed []ident.Endpoint
	}

	// EndpointRead brings one changed entry of the list.
	EndpointRead struct {
		Entry    pool.Listing
		Revision uint64
	}

	// EndpointRemoved says that an entry of the list was removed.
	EndpointRemoved struct {
		Name     ident.Endpoint
		Revision uint64
	}

	// FetchEnded says that a call for published state of another entry has ended.
	FetchEnded struct{}

	// Confirmed says that all published changes up to now were read.
	Confirmed struct{}

	// SourceLost says that published state can't be read.
	SourceLost struct{ Reason string }

	// SourceRecovered says that published state can be read again.
	SourceRecovered struct{}

	// RequestReceived is a caller's request, read whole.
	RequestReceived struct{ Request call.Request }

	// FirstEventSent says that the first event of a stream was passed on.
	FirstEventSent struct{ Number uint64 }

	// SendEnded says how a send ended.
	SendEnded struct{ Result call.Result }

	// PaceReported brings the pace that an endpoint reported.
	PaceReported struct {
		Endpoint ident.Endpoint
		Factor   float64
	}

	// CallerDisconnected says that a caller left while its request was not sent.
	CallerDisconnected struct{ Number uint64 }

	// NewsReceived brings a datagram of another entry.
	NewsReceived struct{ Batch Batch }

	// StopRequested says that the entry must finish its work and end.
	StopRequested struct{}

	// Batch is one datagram between entries.
	Batch struct {
		Sender ident.Entry
		// Forward asks the receiver to pass the news on within its failure domain.
		Forward bool
		News    []News
		// DomainsSeenAt says when the failure domains were last heard. All entries there are taken
		// to live that are not missing.
		DomainsSeenAt map[ident.Domain]clock.Millis
		Missing       []tally.EntryHash
		// Contribution is the sender's own work, told to its hub; nil when nothing changed.
		Contribution *tally.Contribution
		// Aggregates are the work of the entries that tell a hub.
		Aggregates []tally.Aggregate
	}

	// News is what an entry tells others; it replaces what it said before.
	News struct {
		Entry    ident.Entry
		Epoch    uint64
		Sequence uint64
		// Domain, Address and Capacity are empty in brief news; they don't change in a
		// life.
		Domain       ident.Domain
		Address      string
		Capacity     int
		PlanVersion  plan.Version
		ListRevision uint64
		// ConfirmedAt is when the entry itself last read published state whole; zero
		// when it never did.
		ConfirmedAt clock.Millis
		Leaving     bool
		// LeavingEndpoints are endpoints that the entry found to leave lately.
		LeavingEndpoints []pool.Hash
		// FailureCounts counts the requests of the entry that endpoints failed lately.
		FailureCounts map[pool.Hash]int
		// Paces are what endpoints reported to the entry lately.
		Paces map[pool.Hash]pool.Pace
		// QueuedPrompts are the long prompts that wait for engines.
		QueuedPrompts []QueuedPrompt
		// HubAddresses are addresses of entries that pass news on.
		HubAddresses []string
		CrashCounts  map[uint64]int
	}

	// QueuedPrompt is a long prompt that waits for engines.
	QueuedPrompt struct {
		Service ident.Service
		Number  uint64
		// PromptTokens is the size of the prompt.
		PromptTokens int
		// DueAt is until when its first event is on time, UntilAt until when its
		// caller waits for one.
		DueAt      clock.Millis
		WaitsUntil clock.Millis
	}
)

// Brief returns the news without what seldom changes.
func (n News) Brief() News {
	n.Domain = ""
	n.Address = ""
	n.Capacity = 0
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
func (SourceLost) isInput()         {}
func (SourceRecovered) isInput()    {}
func (RequestReceived) isInput()    {}
func (FirstEventSent) isInput()     {}
func (SendEnded) isInput()          {}
func (PaceReported) isInput()       {}
func (CallerDisconnected) isInput() {}
func (NewsReceived) isInput()       {}
func (StopRequested) isInput()      {}
